"""`pewterring tally`: the lines of counts of many gatekeepers, summed over the fleet in windows."""

import argparse
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from pewterring.cli.errors import CommandError, UsageError

MEANS = ("limit", "whole", "demands", "elsewhere", "usual", "peers", "workers", "took_mean")  # not summed
SUMS = ("share", "out", "demand", "customers")  # of the last line of each gatekeeper in the window
TallyRecord = dict[str, Any]


def read(path: Path) -> Iterator[TallyRecord]:
    """The tally records of one log.

    What stands before a line's object is passed over, and so is what is no such record, as the truncated end
    of a killed gatekeeper's log.
    """
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


def windows(logs: Iterable[tuple[str, Iterable[TallyRecord]]], length: float) -> list[TallyRecord]:
    """One row a window of `length` seconds, from the first record of all on.

    Counts are summed over gatekeepers and records; what a gatekeeper has in force is taken from its last
    record, then averaged (MEANS) or summed (SUMS).
    """
    lines = [(float(line["time"]), name, line) for name, log in logs for line in log]
    if not lines:
        return []
    first = min(at for at, _, _ in lines)
    counts: dict[int, dict[str, float]] = {}
    last: dict[int, dict[str, TallyRecord]] = {}
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


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the command to its parser."""
    parser.description = (
        "Sum the tally lines of gatekeepers' LOGS over the fleet, window by window. Gatekeepers write such\n"
        "lines where ROUTER_TALLY_S names a period in seconds."
    )
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOGS", help="files, or folders of *.log")
    parser.add_argument(
        "--window", type=float, default=5.0, metavar="S", help="length of a window in seconds"
    )
    parser.add_argument("--json", action="store_true", help="one JSON object a window instead of a table")
    parser.set_defaults(run=_tally)


def _tally(given: argparse.Namespace) -> None:
    if given.window <= 0:
        raise UsageError("--window: a window has to be longer than nothing")
    rows = windows([(str(file), read(file)) for file in _files(given.logs)], given.window)
    if not rows:
        raise CommandError("no tally lines in these logs: was ROUTER_TALLY_S set for them?")
    if given.json:
        for row in rows:
            print(json.dumps(row))
        return
    names = sorted({key for row in rows for key in row} - {"from_s", "gatekeepers"})
    for name in ["from_s", "gatekeepers", *names]:
        cells = "".join(f"{row.get(name, 0):>10.4g}" for row in rows)
        print(f"{name:<24}{cells}")


def _files(paths: Iterable[Path]) -> Iterator[Path]:
    for path in paths:
        if not path.exists():
            raise UsageError(f"{path}: no such file or folder")
        yield from sorted(path.glob("*.log")) if path.is_dir() else [path]
