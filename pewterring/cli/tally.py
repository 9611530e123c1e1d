"""`pewterring tally`: the lines of counts of many gatekeepers, summed over the fleet in windows."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click
import orjson

MEANS = ("limit", "whole", "demands", "elsewhere", "usual", "peers", "workers", "took_mean")  # not summed
SUMS = ("share", "out", "demand", "customers")  # of the last line of each gatekeeper in the window
Line = dict[str, Any]


def read(path: Path) -> Iterator[Line]:
    """The tally lines of one log. What stands before a line's object is passed over, and so is what is no
    such line, the cut end of a killed gatekeeper's log among it."""
    for raw in path.read_bytes().splitlines():
        start = raw.find(b"{")
        if start < 0:
            continue
        try:
            line = orjson.loads(raw[start:])
        except orjson.JSONDecodeError:
            continue
        if (
            isinstance(line, dict)
            and line.get("event") == "tally"
            and isinstance(line.get("time"), int | float)
        ):
            yield line


def windows(logs: Iterable[tuple[str, Iterable[Line]]], length: float) -> list[Line]:
    """One row a window of `length` seconds, from the first line of all on: counts summed over gatekeepers and
    lines; what a gatekeeper holds taken from its last line, then meant (MEANS) or summed (SUMS)."""
    lines = [(float(line["time"]), name, line) for name, log in logs for line in log]
    if not lines:
        return []
    first = min(at for at, _, _ in lines)
    counts: dict[int, dict[str, float]] = {}
    last: dict[int, dict[str, Line]] = {}
    for at, name, line in sorted(lines, key=lambda entry: entry[:2]):
        window = int((at - first) / length)
        row = counts.setdefault(window, {})
        last.setdefault(window, {})[name] = line
        for key, value in line.items():
            if key not in ("time", "event", *MEANS, *SUMS) and isinstance(value, int | float):
                row[key] = row.get(key, 0) + value
    rows = []
    for window, row in sorted(counts.items()):
        held = last[window].values()
        of = {key: [float(line[key]) for line in held if key in line] for key in (*MEANS, *SUMS)}
        state = {key: sum(xs) / (len(xs) if key in MEANS else 1) for key, xs in of.items() if xs}
        rows.append({"from_s": window * length, "gatekeepers": len(held), **row, **state})
    return rows


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--window", default=5.0, show_default=True, help="Length of a window in seconds.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a window instead of a table.")
def tally(logs: tuple[Path, ...], window: float, as_json: bool) -> None:
    """Sum the tally lines of gatekeepers' LOGS (files or folders) over the fleet, window by window.

    Gatekeepers write such lines where ROUTER_TALLY_S names a period in seconds.
    """
    if window <= 0:
        raise click.BadParameter("a window has to be longer than nothing", param_hint="--window")
    files = [f for p in logs for f in (sorted(p.glob("*.log")) if p.is_dir() else [p])]
    rows = windows([(str(f), read(f)) for f in files], window)
    if not rows:
        raise click.ClickException("no tally lines in these logs: was ROUTER_TALLY_S set for them?")
    if as_json:
        for row in rows:
            click.echo(json.dumps(row))
        return
    names = sorted({key for row in rows for key in row} - {"from_s", "gatekeepers"})
    for name in ["from_s", "gatekeepers", *names]:
        cells = "".join(f"{row.get(name, 0):>10.4g}" for row in rows)
        click.echo(f"{name:<24}{cells}")
