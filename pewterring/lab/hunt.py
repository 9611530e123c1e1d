"""The hunt: random scenarios until a rule breaks, then the smallest schedule that still breaks it."""

from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from typing import Any

import msgspec

from pewterring.lab import schema
from pewterring.lab.faults import draw_fault, prepare
from pewterring.lab.streams import Stream

LONGEST_S, SHORTEST_S = 16.0, 4.0
MOST_FAULTS = 6
SHRINKS = 200  # runs at most to make a schedule smaller


def draw(base: schema.Scenario, seed: int) -> schema.Scenario:
    """A random scenario: the base's classes and plans, other sizes, load, zones and faults."""
    stream = Stream(seed, "hunt")
    duration = round(stream.uniform(SHORTEST_S + 2, LONGEST_S), 1)
    zones = ("a", "b", "c")[: 1 + stream.below(3)]
    replace = msgspec.structs.replace
    faults = tuple(draw_fault(stream, duration, zones) for _ in range(1 + stream.below(MOST_FAULTS)))
    gatekeepers = replace(
        base.gatekeepers, count=1 + stream.below(12), mail_per_s=round(stream.uniform(10, 120), 1),
        may_duplicate=stream.uniform() < 0.6, max_attempts=2 + stream.below(3),
    )  # fmt: skip
    workers = replace(
        base.workers, count=2 + stream.below(14), cores=1 + stream.below(4),
        cold_share=round(stream.uniform(0.1, 0.6), 2), cold_s=round(stream.uniform(2, 15), 1),
        fall_multiple=round(stream.uniform(2, 4), 2), tip_after_s=round(stream.uniform(0.5, 2.0), 2),
        cancel=("all", "queued", "none")[stream.below(3)], queue_per_core=round(stream.uniform(1, 20), 1),
        connections=20 + stream.below(1000),
    )  # fmt: skip
    load = schema.Load(part=round(stream.uniform(0.2, 1.2), 2))
    network = replace(base.network, peer_loss=round(stream.uniform(0, 0.4), 2))
    return replace(
        base, name=f"hunt-{seed}", seed=seed, duration_s=duration, zones=zones, faults=faults,
        gatekeepers=gatekeepers,
        workers=workers, load=load, network=network,
    )  # fmt: skip


def breaks(scenario: schema.Scenario, policy: str = "") -> tuple[int, str]:
    """The number of the rule that a scenario breaks with its own seed, and how; 0 where it breaks none."""
    world = prepare(scenario, scenario.seed, policy)
    world.run()
    return (world.broken.rule, str(world.broken)) if world.broken else (0, "")


def shrink(
    scenario: schema.Scenario, rule: int, policy: str = "", most: int = SHRINKS
) -> tuple[schema.Scenario, int]:
    """The smallest schedule that was found to break the same rule, and how many runs that took."""
    replace = msgspec.structs.replace
    runs = 0

    def still(candidate: schema.Scenario) -> bool:
        nonlocal runs
        runs += 1
        return breaks(candidate, policy)[0] == rule

    def candidates(s: schema.Scenario) -> Iterator[schema.Scenario]:
        for n in range(len(s.faults)):
            yield replace(s, faults=s.faults[:n] + s.faults[n + 1 :])
        for n, fault in enumerate(s.faults):
            if fault.for_s > 0.2:
                shorter = replace(fault, for_s=round(fault.for_s / 2, 3))
                yield replace(s, faults=(*s.faults[:n], shorter, *s.faults[n + 1 :]))
        last = max((f.at_s for f in s.faults), default=0.0)
        if s.duration_s * 0.7 > max(last, 1.0):
            yield replace(s, duration_s=round(s.duration_s * 0.7, 2))
        if s.gatekeepers.count > 1:
            yield replace(s, gatekeepers=replace(s.gatekeepers, count=s.gatekeepers.count // 2))
        if s.workers.count > 1:
            yield replace(s, workers=replace(s.workers, count=s.workers.count // 2))

    smaller = True
    while smaller and runs < most:
        smaller = False
        for candidate in candidates(scenario):
            if runs >= most:
                break
            if still(candidate):
                scenario, smaller = candidate, True
                break
    return scenario, runs


def hunt(
    base: schema.Scenario,
    first: int,
    count: int,
    policy: str = "",
    jobs: int = 1,
    done: Callable[[int], None] = lambda seed: None,
) -> tuple[schema.Scenario, int, str] | None:
    """Plays scenarios drawn from seeds first, first + 1, ... until a rule breaks; the lowest seed of those
    seen."""
    with ProcessPoolExecutor(jobs) as pool:
        seeds = iter(range(first, first + count))
        running: dict[Future[tuple[int, str]], int] = {}
        found: dict[int, tuple[int, str]] = {}
        while True:
            while len(running) < jobs and not found and (seed := next(seeds, None)) is not None:
                running[pool.submit(breaks, draw(base, seed), policy)] = seed
            if not running:
                break
            for future in wait(running, return_when=FIRST_COMPLETED).done:
                seed = running.pop(future)
                done(seed)
                if (said := future.result())[0]:
                    found[seed] = said
    if not found:
        return None
    seed = min(found)
    return draw(base, seed), *found[seed]


def to_toml(scenario: schema.Scenario) -> str:
    """The scenario as a file that `lab run` reads: what differs from the defaults."""
    tree = msgspec.to_builtins(scenario)
    plain = msgspec.to_builtins(schema.Scenario(version=schema.VERSION))
    lines = [f"{k} = {value_of(v)}" for k, v in tree.items() if not isinstance(v, dict) and not tables(v)]
    for key, value in tree.items():
        if isinstance(value, dict):
            # Of the load all is written: `part` goes without saying only where there is no `rate`.
            changed = {
                k: v for k, v in value.items() if v is not None and (key == "load" or v != plain[key].get(k))
            }
            if changed:
                lines += ["", f"[{key}]", *(f"{k} = {value_of(v)}" for k, v in changed.items())]
        elif tables(value):
            for entry in value:
                lines += [
                    "",
                    f"[[{key}]]",
                    *(f"{k} = {value_of(v)}" for k, v in entry.items() if v is not None),
                ]
    return "\n".join(lines) + "\n"


def tables(value: Any) -> bool:
    return isinstance(value, list | tuple) and any(isinstance(v, dict) for v in value)


def value_of(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return msgspec.json.encode(value).decode()
    if isinstance(value, list | tuple):
        return "[" + ", ".join(value_of(v) for v in value) + "]"
    return repr(value)
