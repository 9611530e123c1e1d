"""Experiments: one run, a grid of runs over a pool of processes, two designs on paired seeds."""

import csv
import itertools
import json
import math
import os
import signal
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from pewterring.lab import scenario_file, schema
from pewterring.lab.account import Result
from pewterring.lab.faults import prepare
from pewterring.lab.world import World

RUNS, TABLE = "runs.jsonl", "table.csv"  # in a sweep's folder: each finished run, and all as one table
MOST_RUNS = 100_000


def run(
    path: str | Path, sets: Sequence[str] = (), seed: int | None = None, policy: str = ""
) -> tuple[Result, World]:
    """Plays a scenario file. Raises ScenarioError."""
    scenario = scenario_file.load(path, sets)
    world = prepare(scenario, scenario.seed if seed is None else seed, policy)
    return world.run(), world


def trail(world: World, intent: int) -> list[tuple[float, str]]:
    """The life of one intent, by the same run once more: seconds into the run, and what happened."""
    again = prepare(world.scenario, world.seed, world.policy_name, watch=intent)
    again.run()
    return again.trail


# Metrics, by the names that tables, plots and comparisons use.


def metrics(result: Result) -> dict[str, float]:
    counts, sent = result.counts, max(1e-9, sum(result.sent_units.values()))
    tries = max(1.0, counts["tries"])
    found = {
        "g": result.g,
        "served": result.served,
        "beyond_share": sum(result.beyond_units.values()) / sent,
        "refused_share": counts["refused"] / tries,
        "refused_with_room_share": sum(result.refused_with_room.values()) / tries,
        "late_share": counts["late"] / max(1.0, counts["intents"]),
        "failed_share": counts["failed"] / tries,
        "attempts_per_try": counts["attempts"] / tries,
        "messages_per_gatekeeper_s": counts["messages"] / result.duration_s / result.gatekeepers,
        "connections_per_try": counts["connections"] / max(1.0, counts["first_tries_sent"]),
        "fell_over": counts["fell_over"],
        "cold_worst": counts["cold_worst"],
    }
    found |= {f"price_{name}": value for name, value in result.prices.items()}
    found |= {f"latency_{name}_s": value for name, value in result.latency.items()}
    return found


# Sweeps


@dataclass(frozen=True)
class Point:
    """One run of a sweep: the changes to its scenario, and its seed."""

    sets: tuple[str, ...]
    seed: int

    @property
    def key(self) -> str:
        return json.dumps([*self.sets, f"seed={self.seed}"])


def grid(axes: Sequence[str], seeds: Iterable[int]) -> list[Point]:
    """Each combination of the axes' values, KEY=V1,V2,..., with each seed."""
    named = []
    for axis in axes:
        key, equals, values = axis.partition("=")
        if not equals or not key or not values:
            raise schema.ScenarioError(f"--grid {axis}: not KEY=VALUE,VALUE,...")
        named.append([f"{key}={value}" for value in values.split(",")])
    points = [Point(sets, seed) for sets in itertools.product(*named) for seed in seeds]
    if len(points) > MOST_RUNS:
        raise schema.ScenarioError(f"--grid: {len(points)} runs, {MOST_RUNS} at most")
    return points


def one(path: str, sets: tuple[str, ...], seed: int, policy: str) -> tuple[dict[str, float], str]:
    result, _ = run(path, sets, seed, policy)
    return metrics(result), result.broken


def ignore_interrupts() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent stops the pool


def finished(folder: Path) -> dict[str, dict[str, Any]]:
    """The runs of a sweep that are on disk, by key. A line that was cut off counts as not there."""
    found = {}
    path = folder / RUNS
    if path.exists():
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                entry = json.loads(line)
                found[str(entry["key"])] = entry
            except (ValueError, KeyError, TypeError):
                continue
    return found


def sweep(
    path: str,
    points: Sequence[Point],
    folder: Path,
    base: Sequence[str] = (),
    policy: str = "",
    jobs: int = 0,
    done: Callable[[dict[str, Any]], None] = lambda entry: None,
) -> list[dict[str, Any]]:
    """Plays the points that the folder does not hold yet, and writes each down as it ends.

    An interruption loses no finished run: called again it goes on with the others. Returns all entries in the
    points' order, and writes them as one table. Raises ScenarioError before anything is played.
    """
    for point in points:
        scenario_file.load(path, (*base, *point.sets))
    folder.mkdir(parents=True, exist_ok=True)
    head = {"scenario": Path(path).read_text(encoding="utf-8"), "base": list(base), "policy": policy}
    kept = folder / "sweep.json"
    if kept.exists() and json.loads(kept.read_text(encoding="utf-8")) != head:
        raise schema.ScenarioError(f"{folder}: holds a sweep of another scenario; name another folder")
    kept.write_text(json.dumps(head), encoding="utf-8")
    known = finished(folder)
    for entry in known.values():
        done(entry)
    left = [p for p in points if p.key not in known]
    with open(folder / RUNS, "a", encoding="utf-8") as out:
        if out.tell() and not (folder / RUNS).read_bytes().endswith(b"\n"):
            out.write("\n")  # behind a line that was cut off
        for entry in play_all(path, left, base, policy, jobs):
            known[entry["key"]] = entry
            out.write(json.dumps(entry) + "\n")
            out.flush()
            done(entry)
    entries = [known[p.key] for p in points if p.key in known]
    write_table(folder / TABLE, entries)
    return entries


def play_all(
    path: str, points: Sequence[Point], base: Sequence[str], policy: str, jobs: int
) -> Iterator[dict[str, Any]]:
    if not points:
        return
    jobs = min(len(points), jobs or os.cpu_count() or 1)
    pool = ProcessPoolExecutor(jobs, initializer=ignore_interrupts)
    try:
        asked = {pool.submit(one, path, (*base, *p.sets), p.seed, policy): p for p in points}
        for future in as_completed(asked):
            point = asked[future]
            values, broken = future.result()
            where = dict(s.split("=", 1) for s in point.sets)
            yield {"key": point.key, "set": where, "seed": point.seed, "broken": broken, "metrics": values}
    finally:
        pool.shutdown(wait=True, cancel_futures=True)


def write_table(path: Path, entries: Sequence[dict[str, Any]]) -> None:
    if not entries:
        return
    axes, names = list(entries[0]["set"]), list(entries[0]["metrics"])
    part = path.with_suffix(".part")
    with open(part, "w", newline="", encoding="utf-8") as out:
        table = csv.writer(out)
        table.writerow([*axes, "seed", "broken", *names])
        for e in entries:
            table.writerow(
                [*e["set"].values(), e["seed"], e["broken"], *(f"{e['metrics'][n]:.6g}" for n in names)]
            )
    part.replace(path)


# Comparisons


class Difference(msgspec.Struct):
    """B less A in one metric over paired seeds; the interval holds the mean in 95 of 100 such trials."""

    metric: str
    a: float
    b: float
    mean: float
    low: float
    high: float
    seeds: int

    @property
    def sure(self) -> bool:
        return self.low > 0 or self.high < 0


def bootstrap(differences: Sequence[float], draws: int = 4000) -> tuple[float, float]:
    """The 95% interval of the mean, by drawing with replacement; the same for the same numbers."""
    values = np.asarray(differences, dtype=float)
    if len(values) < 2:
        return (-math.inf, math.inf)
    rng = np.random.Generator(np.random.PCG64(np.random.SeedSequence(0)))
    means = values[rng.integers(0, len(values), (draws, len(values)))].mean(axis=1)
    return float(np.quantile(means, 0.025)), float(np.quantile(means, 0.975))


def compare(
    path: str,
    a: tuple[Sequence[str], str],
    b: tuple[Sequence[str], str],
    seeds: Sequence[int],
    jobs: int = 0,
    done: Callable[[dict[str, Any]], None] = lambda entry: None,
) -> tuple[list[Difference], list[str]]:
    """Two sides, each changes to the scenario and a policy, on the same seeds. Also the rules that broke."""
    sides: list[dict[int, dict[str, float]]] = []
    broken = []
    for sets, policy in (a, b):
        scenario_file.load(path, sets)
        found: dict[int, dict[str, float]] = {}
        for entry in play_all(path, [Point((), seed) for seed in seeds], sets, policy, jobs):
            found[entry["seed"]] = entry["metrics"]
            if entry["broken"]:
                broken.append(f"{'AB'[len(sides)]}, seed {entry['seed']}: {entry['broken']}")
            done(entry)
        sides.append(found)
    table = []
    for name in sides[0][seeds[0]]:
        one_side, other = ([side[seed][name] for seed in seeds] for side in sides)
        differences = [y - x for x, y in zip(one_side, other, strict=True)]
        low, high = bootstrap(differences)
        mean_a, mean_b = sum(one_side) / len(seeds), sum(other) / len(seeds)
        table.append(Difference(name, mean_a, mean_b, mean_b - mean_a, low, high, len(seeds)))
    return table, sorted(broken)
