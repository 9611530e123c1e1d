"""`pewterring lab`: emulate, sweep, compare, plot, hunt, explain."""

import argparse
import json
import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from tqdm import tqdm

from pewterring.cli.errors import INTERRUPTED, RULE_BROKEN, UsageError
from pewterring.cli.parser import add_subcommands
from pewterring.lab import experiment, scenario_file, schema
from pewterring.lab.account import Result
from pewterring.lab.policies import POLICIES
from pewterring.lab.world import MARKS

Handler = Callable[[argparse.Namespace], int]


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the commands to the parser."""
    parser.description = (
        "Emulate what gatekeepers serve: the real decision module at sizes that sockets don't reach."
    )
    commands = add_subcommands(parser)

    def add(name: str, run: Handler, about: str) -> argparse.ArgumentParser:
        added = commands.add_parser(name, help=about, description=about)
        added.set_defaults(run=_guarded(run))
        return added

    _configure_run(add("run", run, "play a scenario once; exit status 3 where a rule breaks"))
    _configure_sweep(add("sweep", sweep, "play a grid of scenarios; the same call again goes on"))
    _configure_compare(
        add("compare", compare, "two sides on the same seeds: mean difference and its interval")
    )
    _configure_plot(add("plot", plot, "draw a run or a sweep's folder"))
    _configure_explain(add("explain", explain, "one request's life, through all tries and attempts"))
    _configure_hunt(add("hunt", hunt, "random scenarios until a rule breaks; keeps the smallest one"))
    _configure_load(add("load", load, "a scenario in real time on loopback sockets, 1 to 8 real processes"))
    add("schema", show_schema, "print the scenario format as JSON Schema")


def _guarded(run: Handler) -> Handler:
    def guarded(given: argparse.Namespace) -> int:
        try:
            return run(given)
        except schema.ScenarioError as error:
            raise UsageError(str(error)) from error

    return guarded


def _add_scenario(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("scenario", metavar="SCENARIO", help="a TOML file")
    _add_sets(parser)


def _add_sets(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--set", dest="sets", action="append", default=[], metavar="KEY=VALUE", help="change one value"
    )


def _add_policy(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--policy", default="", help=f"who decides: {', '.join(sorted(POLICIES))}")


def _add_seed(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, help="instead of the scenario's own")


def _add_seeds(parser: argparse.ArgumentParser, default: str) -> None:
    parser.add_argument("--seeds", default=default, help="FIRST..LAST or N,N,...")


def _add_jobs(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--jobs", type=int, default=0, help="processes; without it, one for each core")


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON instead of a table")


def _add_outputs(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--out", metavar="FILE", help="write the whole result as JSON")
    parser.add_argument("--plot", metavar="FILE", help="draw the run, as .png or .svg")


def seeds_of(text: str) -> list[int]:
    """1..5, or 1,2,7."""
    try:
        if ".." in text:
            first, last = text.split("..")
            seeds = list(range(int(first), int(last) + 1))
        else:
            seeds = [int(seed) for seed in text.split(",")]
    except ValueError as error:
        raise UsageError(f"{text}: not FIRST..LAST nor N,N,...") from error
    if not seeds or min(seeds) < 0:
        raise UsageError(f"{text}: no seeds in it")
    return seeds


def progress(total: int, what: str) -> tuple[Any, Callable[[Any], None]]:
    """A progress bar, and what moves it on by one run."""
    bar = tqdm(total=total, desc=what, unit="run", disable=not sys.stderr.isatty())
    return bar, lambda _entry: bar.update(1)


def _configure_run(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    _add_policy(parser)
    _add_seed(parser)
    _add_outputs(parser)
    parser.add_argument(
        "--trail", action="store_true", help="where a rule breaks, print the life of its request"
    )
    _add_json(parser)


def run(given: argparse.Namespace) -> int:
    """Plays a scenario once."""
    if given.plot:
        from pewterring.lab import plots

        plots.form_of(given.plot)
    result, world = experiment.run(given.scenario, given.sets, given.seed, given.policy)
    write_result(result, given.out, given.plot, given.json, world.scenario.faults)
    if not result.broken:
        return 0
    assert world.broken is not None
    print(f"{result.broken}\nplay it again with --seed {result.seed}", file=sys.stderr)
    if given.trail and world.broken.request:
        number = world.broken.request
        known = world.intent_of[number] if number < len(world.intent_of) else 0
        show_trail(experiment.trail(world, known))
    return RULE_BROKEN


def write_result(
    result: Result,
    out: str | None,
    plot_to: str | None,
    as_json: bool,
    faults: Sequence[schema.Fault] = (),
) -> None:
    """A run's result to where it was asked for."""
    if out:
        Path(out).write_bytes(result.to_json())
    if plot_to:
        from pewterring.lab import plots

        plots.plot_run(result, plot_to, faults)
    if as_json:
        print(json.dumps({"broken": result.broken, **experiment.metrics(result)}))
    else:
        print("\n".join(report(result)))


def origin(result: Result) -> str:
    """How the figures came about."""
    return "measured on loopback" if result.policy == "loopback" else "emulated"


def report(result: Result) -> list[str]:
    """The lines of a run's report."""
    counts = result.counts
    ended = ("tries", "served", "late", "refused", "failed", "attempts")
    return [
        f"{result.scenario}, {result.policy}, seed {result.seed}: {result.gatekeepers} gatekeepers, "
        f"{result.workers} workers, {result.duration_s:g} s ({origin(result)})",
        f"G {result.g:.3f}   served {result.served:.3f}",
        f"asked {counts['intents']:.0f}, " + ", ".join(f"{name} {counts[name]:.0f}" for name in ended),
        "latency " + ", ".join(f"{name} {value:.3f} s" for name, value in result.latency.items()),
        "",
        f"{'taken off G':<24}{'':>8}",
        *(
            f"  {name:<22}{value:>8.4f}"
            for name, value in sorted(result.prices.items(), key=lambda price: -price[1])
        ),
        f"{'tries refused':<24}{'in all':>8}{'with room':>12}",
        *(
            f"  {name:<22}{count:>8}{result.refused_with_room[name]:>12}"
            for name, count in result.refused.items()
        ),
        f"{'units sent on':<24}{'in all':>8}{'beyond quota':>14}",
        *(
            f"  {name:<22}{units:>8.0f}{result.beyond_units[name]:>14.0f}"
            for name, units in result.sent_units.items()
        ),
    ]


def show_trail(trail: Sequence[tuple[float, str]]) -> None:
    """Prints what happened to one request, with the times in seconds."""
    for at, text in trail:
        print(f"{at:10.4f} s  {text}")


def _configure_sweep(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    _add_policy(parser)
    parser.add_argument(
        "--grid", action="append", default=[], metavar="KEY=V,V,...", help="an axis; several make a grid"
    )
    _add_seeds(parser, "1..3")
    parser.add_argument("--out", required=True, metavar="FOLDER", help="the folder that holds the results")
    _add_jobs(parser)


def sweep(given: argparse.Namespace) -> int:
    """Plays a grid of scenarios on several seeds. Called again with the same folder, it goes on."""
    points = experiment.grid(given.grid, seeds_of(given.seeds))
    bar, done = progress(len(points), "sweep")
    folder = Path(given.out)
    try:
        with bar:
            entries = experiment.sweep(
                given.scenario, points, folder, given.sets, given.policy, given.jobs, done
            )
    except KeyboardInterrupt:
        said = f"interrupted; what has ended is kept in {folder}, the same call goes on with the rest"
        print(said, file=sys.stderr)
        return INTERRUPTED
    print(f"{len(entries)} runs in {folder / experiment.TABLE}")
    broken = [e for e in entries if e["broken"]]
    for e in broken:
        print(f"{e['key']}: {e['broken']}", file=sys.stderr)
    return RULE_BROKEN if broken else 0


def _configure_compare(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    for side in ("a", "b"):
        only = f"only on side {side.upper()}"
        parser.add_argument(f"--{side}", action="append", default=[], metavar="KEY=VALUE", help=only)
        parser.add_argument(f"--{side}-policy", default="", help=f"who decides on side {side.upper()}")
    _add_seeds(parser, "1..8")
    _add_jobs(parser)
    _add_json(parser)


def compare(given: argparse.Namespace) -> int:
    """Two sides on the same seeds: mean difference with its 95% bootstrap interval."""
    numbers = seeds_of(given.seeds)
    bar, done = progress(2 * len(numbers), "compare")
    side_a = ((*given.sets, *given.a), given.a_policy)
    side_b = ((*given.sets, *given.b), given.b_policy)
    with bar:
        table, broken = experiment.compare(given.scenario, side_a, side_b, numbers, given.jobs, done)
    if given.json:
        print(msgspec.json.encode({"differences": table, "broken": broken}).decode())
    else:
        print(f"{'metric':<28}{'A':>10}{'B':>10}{'B - A':>10}   95% of the mean, {len(numbers)} seeds")
        for d in table:
            bounds = f"{d.low:+.4f} to {d.high:+.4f}{' *' if d.sure else ''}"
            print(f"{d.metric:<28}{d.a:>10.4f}{d.b:>10.4f}{d.mean:>+10.4f}   {bounds}")
    for line in broken:
        print(line, file=sys.stderr)
    return RULE_BROKEN if broken else 0


def _configure_plot(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "source", metavar="SOURCE", help="a scenario, a result of `run --out`, a sweep's folder"
    )
    parser.add_argument("--to", required=True, metavar="FILE", help="the plot, .png or .svg")
    _add_sets(parser)
    _add_policy(parser)
    _add_seed(parser)
    parser.add_argument("--x", default="", help="for a sweep's folder: the axis")
    parser.add_argument("--y", default="g", help="for a sweep's folder: the metric")


def plot(given: argparse.Namespace) -> int:
    """Draws a run (a scenario, or a result that `run --out` wrote) or a sweep's folder."""
    from pewterring.lab import plots

    plots.form_of(given.to)
    source = Path(given.source)
    if source.is_dir():
        entries = list(experiment.finished(source).values())
        if not entries:
            raise schema.ScenarioError(f"{source}: no finished run of a sweep in it")
        plots.plot_sweep(entries, given.x or next(iter(entries[0]["set"]), ""), given.y, given.to)
    elif source.suffix == ".json":
        plots.plot_run(_read_result(source), given.to)
    else:
        result, world = experiment.run(given.source, given.sets, given.seed, given.policy)
        plots.plot_run(result, given.to, world.scenario.faults)
    print(given.to)
    return 0


def _read_result(path: Path) -> Result:
    try:
        return msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise schema.ScenarioError(f"{path}: not a result: {error}") from error


def _configure_explain(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    _add_policy(parser)
    _add_seed(parser)
    parser.add_argument("--intent", type=int, help="the number of the client's request")
    parser.add_argument("--request", type=int, help="or the id of one of its tries")
    parser.add_argument("--pick", choices=MARKS, default="slowest", help="or the first such one")


def explain(given: argparse.Namespace) -> int:
    """One request's life, through all tries and attempts."""
    result, world = experiment.run(given.scenario, given.sets, given.seed, given.policy)
    intent = given.intent
    if given.request is not None:
        if not 0 < given.request < len(world.intent_of):
            raise schema.ScenarioError(f"--request {given.request}: there were {len(world.intent_of) - 1}")
        intent = world.intent_of[given.request]
    if intent is None:
        intent = world.marks.get(given.pick)
    if not intent or intent > result.counts["intents"]:
        raise schema.ScenarioError(f"no such request in this run: --intent {intent}, --pick {given.pick}")
    print(f"client's request {intent} of {given.scenario}, seed {result.seed}")
    show_trail(experiment.trail(world, intent))
    return 0


def _configure_hunt(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("scenario", metavar="SCENARIO", help="a TOML file")
    _add_policy(parser)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=100, help="random scenarios at most")
    parser.add_argument("--out", default="found.toml", metavar="FILE", help="where the smallest is written")
    _add_jobs(parser)


def hunt(given: argparse.Namespace) -> int:
    """Plays random scenarios until a rule breaks; writes the smallest schedule that still breaks it."""
    from pewterring.lab import hunt as hunting

    base = scenario_file.load(given.scenario)
    bar, done = progress(given.count, "hunt")
    with bar:
        jobs = given.jobs or os.cpu_count() or 1
        found = hunting.hunt(base, given.first, given.count, given.policy, jobs, done)
    if found is None:
        print(f"{given.count} random scenarios from seed {given.first} on: no rule broken")
        return 0
    broken, rule, how = found
    small, runs = hunting.shrink(broken, rule, given.policy)
    Path(given.out).write_text(hunting.to_toml(small), encoding="utf-8")
    print(f"seed {broken.seed}: {how}")
    said = hunting.breaks(small, given.policy)[1]
    print(f"{len(broken.faults)} faults shrunk to {len(small.faults)} in {runs} runs: {said}")
    print(f"{given.out}; play it with: pewterring lab run {given.out} --trail")
    return RULE_BROKEN


def _configure_load(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    _add_seed(parser)
    parser.add_argument(
        "--target", default="", metavar="HOST:PORT", help="only clients, against what serves there (loopback)"
    )
    _add_outputs(parser)
    parser.add_argument("--logs", default="", metavar="FOLDER", help="keep gatekeepers' logs in this folder")
    _add_json(parser)


def load(given: argparse.Namespace) -> int:
    """Plays a scenario in real time on loopback sockets, with 1 to 8 real gatekeeper processes."""
    from pewterring.lab.loopback import load as loading

    if given.plot:
        from pewterring.lab import plots

        plots.form_of(given.plot)
    result = loading.load(given.scenario, tuple(given.sets), given.seed, given.target, given.logs)
    write_result(result, given.out, given.plot, given.json)
    counts = result.counts
    if not given.json:
        names = ("wrong_bodies", "never_answered", "crashed")
        ends = ", ".join(f"{name.replace('_', ' ')} {counts[name]:.0f}" for name in names)
        late = f"loop late by {counts['latest_s'] * 1000:.0f} ms at most"
        print(f"\n{ends}, most memory {counts['memory_kb'] / 1024:.1f} MB, {late}")
    if result.broken:
        print(result.broken, file=sys.stderr)
    return RULE_BROKEN if result.broken or counts["wrong_bodies"] or counts["crashed"] else 0


def show_schema(_given: argparse.Namespace) -> int:
    """Prints the scenario format as JSON Schema."""
    print(json.dumps(schema.json_schema(), indent=2))
    return 0
