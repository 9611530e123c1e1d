"""`pewterring tally`: aggregates the tally lines of gatekeepers over the fleet, per time window."""

import argparse
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from pewterring.cli.errors import CommandError, UsageError

# Averaged over gatekeepers.
AVERAGED_FIELDS = ("limit", "whole", "demands", "elsewhere", "usual", "peers", "workers", "took_mean")
# Summed over the last line of each gatekeeper in the window.
SUMMED_FIELDS = ("share", "out", "demand", "customers")
TallyRecord = dict[str, Any]


def read(path: Path) -> Iterator[TallyRecord]:
    """Yields the tally records of one log file.

    Ignores any text before the JSON object of a line, and lines without a tally record, for example the
    truncated last line of a killed gatekeeper.
    """
    for raw_line in path.read_bytes().splitlines():
        start = raw_line.find(b"{")
        if start < 0:
            continue
        try:
            line = orjson.loads(raw_line[start:])
        except orjson.JSONDecodeError:
            continue
        if (
            isinstance(line, dict)
            and line.get("event") == "tally"
            and isinstance(line.get("time"), int | float)
        ):
            yield line


def aggregate_windows(
    logs: Iterable[tuple[str, Iterable[TallyRecord]]], window_s: float
) -> list[TallyRecord]:
    """Returns one row per window of `window_s` seconds; the first begins at the earliest record.

    Counts are summed over gatekeepers and records. Current values are taken from the last record of each
    gatekeeper, then averaged (AVERAGED_FIELDS) or summed (SUMMED_FIELDS) over gatekeepers.
    """
    lines = [(float(line["time"]), name, line) for name, log in logs for line in log]
    if not lines:
        return []
    first = min(time for time, _, _ in lines)
    counts_by_window: dict[int, dict[str, float]] = {}
    last_by_window: dict[int, dict[str, TallyRecord]] = {}
    for time, name, line in sorted(lines, key=lambda entry: entry[:2]):
        window = int((time - first) / window_s)
        row = counts_by_window.setdefault(window, {})
        last_by_window.setdefault(window, {})[name] = line
        for key, value in line.items():
            if key not in ("time", "event", *AVERAGED_FIELDS, *SUMMED_FIELDS) and isinstance(
                value, int | float
            ):
                row[key] = row.get(key, 0) + value
    rows = []
    for window, row in sorted(counts_by_window.items()):
        last_records = last_by_window[window].values()
        values_by_field = {
            key: [float(line[key]) for line in last_records if key in line]
            for key in (*AVERAGED_FIELDS, *SUMMED_FIELDS)
        }
        state = {
            key: sum(values) / (len(values) if key in AVERAGED_FIELDS else 1)
            for key, values in values_by_field.items()
            if values
        }
        rows.append({"from_s": window * window_s, "gatekeepers": len(last_records), **row, **state})
    return rows


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of `tally` to its parser."""
    parser.description = (
        "Aggregate the tally lines in gatekeepers' LOGS over the fleet, per window. Gatekeepers write them\n"
        "if ROUTER_TALLY_S is set to a period in seconds."
    )
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOGS", help="files, or folders of *.log")
    parser.add_argument(
        "--window", type=float, default=5.0, metavar="S", help="length of a window in seconds"
    )
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object per window instead of a table"
    )
    parser.set_defaults(run=_tally)


def _tally(arguments: argparse.Namespace) -> None:
    if arguments.window <= 0:
        raise UsageError("--window: the window must be longer than 0 seconds")
    rows = aggregate_windows([(str(file), read(file)) for file in _files(arguments.logs)], arguments.window)
    if not rows:
        raise CommandError("no tally lines in these logs: was ROUTER_TALLY_S set for the gatekeepers?")
    if arguments.json:
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
