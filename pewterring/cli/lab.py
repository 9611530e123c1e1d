"""`pewterring lab`: plays scenarios in emulation or on loopback sockets, and evaluates the results."""

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
    """Adds the sub-commands of `lab` to its parser."""
    parser.description = (
        "Emulate fleets of gatekeepers with the real decision module, at sizes that sockets cannot reach."
    )
    commands = add_subcommands(parser)

    def add(name: str, run: Handler, summary: str) -> argparse.ArgumentParser:
        added = commands.add_parser(name, help=summary, description=summary)
        added.set_defaults(run=_with_usage_errors(run))
        return added

    _configure_run(add("run", run, "play a scenario once; exit status 3 if a rule is violated"))
    _configure_sweep(add("sweep", sweep, "play a grid of scenarios; repeat the same command to resume"))
    _configure_compare(
        add("compare", compare, "compare two variants on the same seeds: mean difference and its interval")
    )
    _configure_plot(add("plot", plot, "plot a run or the folder of a sweep"))
    _configure_explain(
        add("explain", explain, "show all events of one request, through its retries and attempts")
    )
    _configure_hunt(add("hunt", hunt, "play random scenarios until one violates a rule, then minimise it"))
    _configure_load(
        add("load", load, "play a scenario in real time on loopback sockets, with 1 to 8 real processes")
    )
    add("schema", show_schema, "print the scenario format as JSON Schema")


def _with_usage_errors(run: Handler) -> Handler:
    def run_checked(arguments: argparse.Namespace) -> int:
        try:
            return run(arguments)
        except schema.ScenarioError as error:
            raise UsageError(str(error)) from error

    return run_checked


def _add_scenario(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("scenario", metavar="SCENARIO", help="a TOML file")
    _add_sets(parser)


def _add_sets(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--set",
        dest="sets",
        action="append",
        default=[],
        metavar="KEY=VALUE",
        help="override one value of the scenario",
    )


def _add_policy(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--policy", default="", help=f"decision policy: {', '.join(sorted(POLICIES))}")


def _add_seed(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, help="random seed; overrides that of the scenario")


def _add_seeds(parser: argparse.ArgumentParser, default: str) -> None:
    parser.add_argument("--seeds", default=default, help="FIRST..LAST or N,N,...")


def _add_jobs(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--jobs", type=int, default=0, help="number of processes; 0: one per core")


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON instead of a table")


def _add_outputs(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--out", metavar="FILE", help="write the complete result as JSON")
    parser.add_argument("--plot", metavar="FILE", help="plot the run, as .png or .svg")


def parse_seeds(text: str) -> list[int]:
    """Parses seeds written as a range (`1..5`) or a list (`1,2,7`)."""
    try:
        if ".." in text:
            first, last = text.split("..")
            seeds = list(range(int(first), int(last) + 1))
        else:
            seeds = [int(seed) for seed in text.split(",")]
    except ValueError as error:
        raise UsageError(f"{text}: not FIRST..LAST nor N,N,...") from error
    if not seeds or min(seeds) < 0:
        raise UsageError(f"{text}: contains no valid seeds")
    return seeds


def make_progress_bar(total: int, label: str) -> tuple[Any, Callable[[Any], None]]:
    """Returns a progress bar and a callback that advances it by one run."""
    progress_bar = tqdm(total=total, desc=label, unit="run", disable=not sys.stderr.isatty())
    return progress_bar, lambda _entry: progress_bar.update(1)


def _configure_run(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    _add_policy(parser)
    _add_seed(parser)
    _add_outputs(parser)
    parser.add_argument(
        "--trail", action="store_true", help="if a rule is violated, print the events of the request"
    )
    _add_json(parser)


def run(arguments: argparse.Namespace) -> int:
    """Plays a scenario once; returns the exit status."""
    if arguments.plot:
        from pewterring.lab import plots

        plots.form_of(arguments.plot)
    result, world = experiment.run(arguments.scenario, arguments.sets, arguments.seed, arguments.policy)
    write_result(result, arguments.out, arguments.plot, arguments.json, world.scenario.faults)
    if not result.broken:
        return 0
    assert world.broken is not None
    print(f"{result.broken}\nreproduce with --seed {result.seed}", file=sys.stderr)
    if arguments.trail and world.broken.request:
        number = world.broken.request
        intent = world.intent_of[number] if number < len(world.intent_of) else 0
        show_trail(experiment.trail(world, intent))
    return RULE_BROKEN


def write_result(
    result: Result,
    out: str | None,
    plot_to: str | None,
    as_json: bool,
    faults: Sequence[schema.Fault] = (),
) -> None:
    """Writes a result to the requested file and plot, and prints it."""
    if out:
        Path(out).write_bytes(result.to_json())
    if plot_to:
        from pewterring.lab import plots

        plots.plot_run(result, plot_to, faults)
    if as_json:
        print(json.dumps({"broken": result.broken, **experiment.metrics(result)}))
    else:
        print("\n".join(report_lines(result)))


def figures_origin(result: Result) -> str:
    """Returns whether the figures were emulated or measured."""
    return "measured on loopback" if result.policy == "loopback" else "emulated"


def report_lines(result: Result) -> list[str]:
    """Returns the report of a run as lines of text."""
    counts = result.counts
    count_names = ("tries", "served", "late", "refused", "failed", "attempts")
    return [
        f"{result.scenario}, {result.policy}, seed {result.seed}: {result.gatekeepers} gatekeepers, "
        f"{result.workers} workers, {result.duration_s:g} s ({figures_origin(result)})",
        f"G {result.g:.3f}   served {result.served:.3f}",
        f"asked {counts['intents']:.0f}, " + ", ".join(f"{name} {counts[name]:.0f}" for name in count_names),
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
    """Prints the events of one request, with times in seconds."""
    for at, text in trail:
        print(f"{at:10.4f} s  {text}")


def _configure_sweep(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    _add_policy(parser)
    parser.add_argument(
        "--grid",
        action="append",
        default=[],
        metavar="KEY=V,V,...",
        help="an axis of the grid; may be repeated",
    )
    _add_seeds(parser, "1..3")
    parser.add_argument("--out", required=True, metavar="FOLDER", help="folder for the results")
    _add_jobs(parser)


def sweep(arguments: argparse.Namespace) -> int:
    """Plays a grid of scenarios on several seeds. Resumes if called again with the same folder."""
    points = experiment.grid(arguments.grid, parse_seeds(arguments.seeds))
    progress_bar, advance = make_progress_bar(len(points), "sweep")
    folder = Path(arguments.out)
    try:
        with progress_bar:
            entries = experiment.sweep(
                arguments.scenario, points, folder, arguments.sets, arguments.policy, arguments.jobs, advance
            )
    except KeyboardInterrupt:
        message = f"interrupted; finished runs are kept in {folder}; repeat the command to resume"
        print(message, file=sys.stderr)
        return INTERRUPTED
    print(f"{len(entries)} runs in {folder / experiment.TABLE}")
    broken = [entry for entry in entries if entry["broken"]]
    for entry in broken:
        print(f"{entry['key']}: {entry['broken']}", file=sys.stderr)
    return RULE_BROKEN if broken else 0


def _configure_compare(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    for side in ("a", "b"):
        only = f"only on side {side.upper()}"
        parser.add_argument(f"--{side}", action="append", default=[], metavar="KEY=VALUE", help=only)
        parser.add_argument(f"--{side}-policy", default="", help=f"decision policy of side {side.upper()}")
    _add_seeds(parser, "1..8")
    _add_jobs(parser)
    _add_json(parser)


def compare(arguments: argparse.Namespace) -> int:
    """Compares two variants on the same seeds: mean difference with its 95% bootstrap interval."""
    numbers = parse_seeds(arguments.seeds)
    progress_bar, advance = make_progress_bar(2 * len(numbers), "compare")
    side_a = ((*arguments.sets, *arguments.a), arguments.a_policy)
    side_b = ((*arguments.sets, *arguments.b), arguments.b_policy)
    with progress_bar:
        table, broken = experiment.compare(
            arguments.scenario, side_a, side_b, numbers, arguments.jobs, advance
        )
    if arguments.json:
        print(msgspec.json.encode({"differences": table, "broken": broken}).decode())
    else:
        print(f"{'metric':<28}{'A':>10}{'B':>10}{'B - A':>10}   95% of the mean, {len(numbers)} seeds")
        for row in table:
            bounds = f"{row.low:+.4f} to {row.high:+.4f}{' *' if row.sure else ''}"
            print(f"{row.metric:<28}{row.a:>10.4f}{row.b:>10.4f}{row.mean:>+10.4f}   {bounds}")
    for line in broken:
        print(line, file=sys.stderr)
    return RULE_BROKEN if broken else 0


def _configure_plot(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "source", metavar="SOURCE", help="a scenario, a result of `run --out`, or the folder of a sweep"
    )
    parser.add_argument("--to", required=True, metavar="FILE", help="plot file, .png or .svg")
    _add_sets(parser)
    _add_policy(parser)
    _add_seed(parser)
    parser.add_argument("--x", default="", help="for a sweep: the axis")
    parser.add_argument("--y", default="g", help="for a sweep: the metric")


def plot(arguments: argparse.Namespace) -> int:
    """Plots a run (a scenario or a result of `run --out`) or the folder of a sweep."""
    from pewterring.lab import plots

    plots.form_of(arguments.to)
    source = Path(arguments.source)
    if source.is_dir():
        entries = list(experiment.finished(source).values())
        if not entries:
            raise schema.ScenarioError(f"{source}: no finished run of a sweep in it")
        plots.plot_sweep(entries, arguments.x or next(iter(entries[0]["set"]), ""), arguments.y, arguments.to)
    elif source.suffix == ".json":
        plots.plot_run(_read_result(source), arguments.to)
    else:
        result, world = experiment.run(arguments.source, arguments.sets, arguments.seed, arguments.policy)
        plots.plot_run(result, arguments.to, world.scenario.faults)
    print(arguments.to)
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
    parser.add_argument("--intent", type=int, help="number of the client request")
    parser.add_argument("--request", type=int, help="or the id of its first request or of one of its retries")
    parser.add_argument("--pick", choices=MARKS, default="slowest", help="or the first request of this kind")


def explain(arguments: argparse.Namespace) -> int:
    """Prints all events of one client request, through its retries and attempts."""
    result, world = experiment.run(arguments.scenario, arguments.sets, arguments.seed, arguments.policy)
    intent = arguments.intent
    if arguments.request is not None:
        if not 0 < arguments.request < len(world.intent_of):
            raise schema.ScenarioError(
                f"--request {arguments.request}: there were {len(world.intent_of) - 1}"
            )
        intent = world.intent_of[arguments.request]
    if intent is None:
        intent = world.marks.get(arguments.pick)
    if not intent or intent > result.counts["intents"]:
        raise schema.ScenarioError(f"no such request in this run: --intent {intent}, --pick {arguments.pick}")
    print(f"client request {intent} of {arguments.scenario}, seed {result.seed}")
    show_trail(experiment.trail(world, intent))
    return 0


def _configure_hunt(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("scenario", metavar="SCENARIO", help="a TOML file")
    _add_policy(parser)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=100, help="maximum number of random scenarios")
    parser.add_argument(
        "--out", default="found.toml", metavar="FILE", help="output file for the minimised scenario"
    )
    _add_jobs(parser)


def hunt(arguments: argparse.Namespace) -> int:
    """Plays random scenarios until one violates a rule; writes the minimised scenario that still does."""
    from pewterring.lab import hunt as hunt_module

    base = scenario_file.load(arguments.scenario)
    progress_bar, advance = make_progress_bar(arguments.count, "hunt")
    with progress_bar:
        jobs = arguments.jobs or os.cpu_count() or 1
        found = hunt_module.hunt(base, arguments.first, arguments.count, arguments.policy, jobs, advance)
    if found is None:
        print(f"{arguments.count} random scenarios from seed {arguments.first} on: no rule broken")
        return 0
    broken, rule, description = found
    minimised, runs = hunt_module.shrink(broken, rule, arguments.policy)
    Path(arguments.out).write_text(hunt_module.to_toml(minimised), encoding="utf-8")
    print(f"seed {broken.seed}: {description}")
    message = hunt_module.breaks(minimised, arguments.policy)[1]
    print(f"{len(broken.faults)} faults shrunk to {len(minimised.faults)} in {runs} runs: {message}")
    print(f"{arguments.out}; reproduce with: pewterring lab run {arguments.out} --trail")
    return RULE_BROKEN


def _configure_load(parser: argparse.ArgumentParser) -> None:
    _add_scenario(parser)
    _add_seed(parser)
    parser.add_argument(
        "--target",
        default="",
        metavar="HOST:PORT",
        help="start only clients, against the gatekeepers at this loopback address",
    )
    _add_outputs(parser)
    parser.add_argument(
        "--logs", default="", metavar="FOLDER", help="folder in which the gatekeepers' logs are kept"
    )
    _add_json(parser)


def load(arguments: argparse.Namespace) -> int:
    """Plays a scenario in real time on loopback sockets, with 1 to 8 real gatekeeper processes."""
    from pewterring.lab.loopback import load as load_module

    if arguments.plot:
        from pewterring.lab import plots

        plots.form_of(arguments.plot)
    result = load_module.load(
        arguments.scenario, tuple(arguments.sets), arguments.seed, arguments.target, arguments.logs
    )
    write_result(result, arguments.out, arguments.plot, arguments.json)
    counts = result.counts
    if not arguments.json:
        names = ("wrong_bodies", "never_answered", "crashed")
        failures_text = ", ".join(f"{name.replace('_', ' ')} {counts[name]:.0f}" for name in names)
        loop_delay_text = f"loop late by {counts['latest_s'] * 1000:.0f} ms at most"
        print(f"\n{failures_text}, most memory {counts['memory_kb'] / 1024:.1f} MB, {loop_delay_text}")
    if result.broken:
        print(result.broken, file=sys.stderr)
    return RULE_BROKEN if result.broken or counts["wrong_bodies"] or counts["crashed"] else 0


def show_schema(_given: argparse.Namespace) -> int:
    """Prints the scenario format as JSON Schema."""
    print(json.dumps(schema.json_schema(), indent=2))
    return 0
