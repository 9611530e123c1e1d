"""pewterring lab: emulate, sweep, compare, plot, hunt, explain."""

import json
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click
import msgspec
from tqdm import tqdm

from pewterring.lab import experiment, schema
from pewterring.lab.account import Result
from pewterring.lab.policies import POLICIES
from pewterring.lab.world import MARKS

BROKEN = 3  # exit code: a rule was broken


class Guarded(click.Group):
    """What is wrong with a scenario is one line and exit code 2."""

    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except schema.ScenarioError as error:
            raise click.ClickException(str(error)) from error


scenario_argument = click.argument("scenario", type=click.Path(dir_okay=False))
sets_option = click.option(
    "--set", "sets", multiple=True, metavar="KEY=VALUE", help="Change one value of the scenario."
)
policy_option = click.option("--policy", default="", help=f"Who decides: {', '.join(sorted(POLICIES))}.")
jobs_option = click.option("--jobs", default=0, help="Processes; 0: one for each core.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")


def seeds_of(text: str) -> list[int]:
    """1..5, or 1,2,7."""
    try:
        if ".." in text:
            first, last = text.split("..")
            seeds = list(range(int(first), int(last) + 1))
        else:
            seeds = [int(n) for n in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"{text}: not FIRST..LAST nor N,N,...") from error
    if not seeds or min(seeds) < 0:
        raise click.BadParameter(f"{text}: no seeds in it")
    return seeds


def progress(total: int, what: str) -> tuple[Any, Callable[[Any], None]]:
    bar = tqdm(total=total, desc=what, unit="run", disable=not sys.stderr.isatty())
    return bar, lambda entry: bar.update(1)


@click.group(cls=Guarded)
def lab() -> None:
    """Emulate what gatekeepers serve: the real decision module at sizes that sockets don't reach."""


@lab.command()
@scenario_argument
@sets_option
@policy_option
@click.option("--seed", type=int, help="Instead of the scenario's own.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write the whole result as JSON.")
@click.option("--plot", "plot_to", type=click.Path(dir_okay=False), help="Draw the run, as .png or .svg.")
@click.option("--trail", is_flag=True, help="Where a rule breaks, print the life of its request.")
@json_option
def run(
    scenario: str, sets: Sequence[str], policy: str, seed: int | None, out: str | None, plot_to: str | None,
    trail: bool, as_json: bool,
) -> int:  # fmt: skip
    """Play a scenario once. Exit code 3 where a rule breaks."""
    if plot_to:
        from pewterring.lab import plots

        plots.form_of(plot_to)
    result, world = experiment.run(scenario, sets, seed, policy)
    hand_out(result, out, plot_to, as_json, world.scenario.faults)
    if not result.broken:
        return 0
    assert world.broken is not None
    click.echo(f"{result.broken}\nplay it again with --seed {result.seed}", err=True)
    if trail and world.broken.request:
        number = world.broken.request
        known = world.intent_of[number] if number < len(world.intent_of) else 0
        show_trail(experiment.trail(world, known))
    return BROKEN


def hand_out(
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
        click.echo(json.dumps({"broken": result.broken, **experiment.metrics(result)}))
    else:
        click.echo("\n".join(report(result)))


def origin(result: Result) -> str:
    return "measured on loopback" if result.policy == "loopback" else "emulated"


def report(result: Result) -> list[str]:
    counts = result.counts
    ended = ("tries", "served", "late", "refused", "failed", "attempts")
    lines = [
        f"{result.scenario}, {result.policy}, seed {result.seed}: {result.gatekeepers} gatekeepers, "
        f"{result.workers} workers, {result.duration_s:g} s ({origin(result)})",
        f"G {result.g:.3f}   served {result.served:.3f}",
        f"asked {counts['intents']:.0f}, " + ", ".join(f"{name} {counts[name]:.0f}" for name in ended),
        "latency " + ", ".join(f"{name} {value:.3f} s" for name, value in result.latency.items()),
        "",
        f"{'taken off G':<24}{'':>8}",
        *(f"  {name:<22}{value:>8.4f}" for name, value in sorted(result.prices.items(), key=lambda p: -p[1])),
        f"{'tries refused':<24}{'in all':>8}{'with room':>12}",
        *(f"  {name:<22}{n:>8}{result.refused_with_room[name]:>12}" for name, n in result.refused.items()),
        f"{'units sent on':<24}{'in all':>8}{'beyond quota':>14}",
        *(
            f"  {name:<22}{n:>8.0f}{result.beyond_units[name]:>14.0f}"
            for name, n in result.sent_units.items()
        ),
    ]
    return lines


def show_trail(trail: Sequence[tuple[float, str]]) -> None:
    for at, text in trail:
        click.echo(f"{at:10.4f} s  {text}")


@lab.command()
@scenario_argument
@sets_option
@policy_option
@click.option("--grid", "axes", multiple=True, metavar="KEY=V,V,...", help="An axis; several make a grid.")
@click.option("--seeds", default="1..3", show_default=True, help="FIRST..LAST or N,N,...")
@click.option(
    "--out", required=True, type=click.Path(file_okay=False), help="The folder that holds the results."
)
@jobs_option
def sweep(
    scenario: str, sets: Sequence[str], policy: str, axes: Sequence[str], seeds: str, out: str, jobs: int
) -> int:
    """Play a grid of scenarios on several seeds. Called again with the same folder, it goes on."""
    points = experiment.grid(axes, seeds_of(seeds))
    bar, done = progress(len(points), "sweep")
    try:
        with bar:
            entries = experiment.sweep(scenario, points, Path(out), sets, policy, jobs, done)
    except KeyboardInterrupt:
        click.echo(
            f"interrupted; what has ended is kept in {out}, the same call goes on with the rest", err=True
        )
        return 130
    click.echo(f"{len(entries)} runs in {Path(out) / experiment.TABLE}")
    broken = [e for e in entries if e["broken"]]
    for e in broken:
        click.echo(f"{e['key']}: {e['broken']}", err=True)
    return BROKEN if broken else 0


@lab.command()
@scenario_argument
@sets_option
@click.option("--a", "a_sets", multiple=True, metavar="KEY=VALUE", help="Only on side A.")
@click.option("--b", "b_sets", multiple=True, metavar="KEY=VALUE", help="Only on side B.")
@click.option("--a-policy", default="", help="Who decides on side A.")
@click.option("--b-policy", default="", help="Who decides on side B.")
@click.option("--seeds", default="1..8", show_default=True, help="FIRST..LAST or N,N,...")
@jobs_option
@json_option
def compare(
    scenario: str, sets: Sequence[str], a_sets: Sequence[str], b_sets: Sequence[str], a_policy: str,
    b_policy: str, seeds: str, jobs: int, as_json: bool,
) -> int:  # fmt: skip
    """Two sides on the same seeds: mean difference with its 95% bootstrap interval."""
    numbers = seeds_of(seeds)
    bar, done = progress(2 * len(numbers), "compare")
    with bar:
        table, broken = experiment.compare(
            scenario, ((*sets, *a_sets), a_policy), ((*sets, *b_sets), b_policy), numbers, jobs, done
        )
    if as_json:
        click.echo(msgspec.json.encode({"differences": table, "broken": broken}).decode())
    else:
        click.echo(f"{'metric':<28}{'A':>10}{'B':>10}{'B - A':>10}   95% of the mean, {len(numbers)} seeds")
        for d in table:
            bounds = f"{d.low:+.4f} to {d.high:+.4f}{' *' if d.sure else ''}"
            click.echo(f"{d.metric:<28}{d.a:>10.4f}{d.b:>10.4f}{d.mean:>+10.4f}   {bounds}")
    for line in broken:
        click.echo(line, err=True)
    return BROKEN if broken else 0


@lab.command()
@click.argument("source", type=click.Path())
@click.option("--to", "path", required=True, type=click.Path(dir_okay=False), help="The plot, .png or .svg.")
@sets_option
@policy_option
@click.option("--seed", type=int, help="Instead of the scenario's own.")
@click.option("--x", default="", help="For a sweep's folder: the axis.")
@click.option("--y", default="g", show_default=True, help="For a sweep's folder: the metric.")
def plot(source: str, path: str, sets: Sequence[str], policy: str, seed: int | None, x: str, y: str) -> int:
    """Draw a run (a scenario, or a result that `run --out` wrote) or a sweep's folder."""
    from pewterring.lab import plots

    plots.form_of(path)
    if Path(source).is_dir():
        entries = list(experiment.finished(Path(source)).values())
        if not entries:
            raise schema.ScenarioError(f"{source}: no finished run of a sweep in it")
        plots.plot_sweep(entries, x or next(iter(entries[0]["set"]), ""), y, path)
    elif Path(source).suffix == ".json":
        try:
            result = msgspec.json.decode(Path(source).read_bytes(), type=Result)
        except (OSError, msgspec.DecodeError) as error:
            raise schema.ScenarioError(f"{source}: not a result: {error}") from error
        plots.plot_run(result, path)
    else:
        result, world = experiment.run(source, sets, seed, policy)
        plots.plot_run(result, path, world.scenario.faults)
    click.echo(path)
    return 0


@lab.command()
@scenario_argument
@sets_option
@policy_option
@click.option("--seed", type=int, help="Instead of the scenario's own.")
@click.option("--intent", type=int, help="The number of the client's request.")
@click.option("--request", type=int, help="Or the id of one of its tries.")
@click.option(
    "--pick", type=click.Choice(MARKS), default="slowest", show_default=True, help="Or the first such one."
)
def explain(
    scenario: str,
    sets: Sequence[str],
    policy: str,
    seed: int | None,
    intent: int | None,
    request: int | None,
    pick: str,
) -> int:
    """One request's life, through all tries and attempts."""
    result, world = experiment.run(scenario, sets, seed, policy)
    if request is not None:
        if not 0 < request < len(world.intent_of):
            raise schema.ScenarioError(f"--request {request}: there were {len(world.intent_of) - 1}")
        intent = world.intent_of[request]
    if intent is None:
        intent = world.marks.get(pick)
    if not intent or intent > result.counts["intents"]:
        raise schema.ScenarioError(f"no such request in this run: --intent {intent}, --pick {pick}")
    click.echo(f"client's request {intent} of {scenario}, seed {result.seed}")
    show_trail(experiment.trail(world, intent))
    return 0


@lab.command()
@scenario_argument
@policy_option
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--count", default=100, show_default=True, help="Random scenarios at most.")
@click.option("--out", default="found.toml", show_default=True, type=click.Path(dir_okay=False))
@jobs_option
def hunt(scenario: str, policy: str, first: int, count: int, out: str, jobs: int) -> int:
    """Play random scenarios until a rule breaks; write the smallest schedule that still breaks it."""
    import os

    from pewterring.lab import hunt as hunting

    base = schema.load(scenario)
    bar, done = progress(count, "hunt")
    with bar:
        found = hunting.hunt(base, first, count, policy, jobs or os.cpu_count() or 1, done)
    if found is None:
        click.echo(f"{count} random scenarios from seed {first} on: no rule broken")
        return 0
    broken, rule, how = found
    small, runs = hunting.shrink(broken, rule, policy)
    Path(out).write_text(hunting.to_toml(small), encoding="utf-8")
    click.echo(f"seed {broken.seed}: {how}")
    said = hunting.breaks(small, policy)[1]
    click.echo(f"{len(broken.faults)} faults shrunk to {len(small.faults)} in {runs} runs: {said}")
    click.echo(f"{out}; play it with: pewterring lab run {out} --trail")
    return BROKEN


@lab.command()
@scenario_argument
@sets_option
@click.option("--seed", type=int, help="Instead of the scenario's own.")
@click.option(
    "--target", default="", metavar="HOST:PORT", help="Only clients, against what serves there (loopback)."
)
@click.option("--out", type=click.Path(dir_okay=False), help="Write the whole result as JSON.")
@click.option("--plot", "plot_to", type=click.Path(dir_okay=False), help="Draw the run, as .png or .svg.")
@click.option(
    "--logs", default="", type=click.Path(file_okay=False), help="Keep gatekeepers' logs in this folder."
)
@json_option
def load(
    scenario: str, sets: Sequence[str], seed: int | None, target: str, out: str | None, plot_to: str | None,
    logs: str, as_json: bool,
) -> int:  # fmt: skip
    """Play a scenario in real time on loopback sockets, with 1 to 8 real gatekeeper processes."""
    from pewterring.lab.loopback import load as loading

    if plot_to:
        from pewterring.lab import plots

        plots.form_of(plot_to)
    result = loading.load(scenario, tuple(sets), seed, target, logs)
    hand_out(result, out, plot_to, as_json)
    counts = result.counts
    if not as_json:
        names = ("wrong_bodies", "never_answered", "crashed")
        ends = ", ".join(f"{name.replace('_', ' ')} {counts[name]:.0f}" for name in names)
        late = f"loop late by {counts['latest_s'] * 1000:.0f} ms at most"
        click.echo(f"\n{ends}, most memory {counts['memory_kb'] / 1024:.1f} MB, {late}")
    if result.broken:
        click.echo(result.broken, err=True)
    return BROKEN if result.broken or counts["wrong_bodies"] or counts["crashed"] else 0


@lab.command("schema")
def show_schema() -> int:
    """Print the scenario format as JSON Schema."""
    click.echo(json.dumps(schema.json_schema(), indent=2))
    return 0
