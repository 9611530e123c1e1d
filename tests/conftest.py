"""KNOWN-RED.txt at the root: tests that fail for a real fault that is not mended yet, three at most.

A line holds the test as pytest names it, its cause and its issue, with ` | ` between them. A listed test that
fails is printed and passed over; one that passes, a fourth line or one that cannot be used fails the run.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST = 3


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def read_known(text: str) -> list[Red]:
    """Raises ValueError for what cannot be used. No text is an empty list."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} tests, {MOST} at most")
    known = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"not TEST | CAUSE | ISSUE: {line!r}")
        known.append(Red(*parts))
    if len({red.test for red in known}) < len(known):
        raise ValueError("a test is named twice")
    return known


def pytest_configure(config: pytest.Config) -> None:
    try:
        known = read_known(LIST.read_text(encoding="utf-8") if LIST.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(f"{LIST.name}: {error}") from error
    config.stash[KNOWN] = known


KNOWN = pytest.StashKey[list[Red]]()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = config.stash[KNOWN]
    collected = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for red in known:
        if item := collected.get(red.test):
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))
        elif (
            red.test.partition("::")[0] in files
            and not config.option.keyword
            and "::" not in str(config.args)
        ):
            raise pytest.UsageError(f"{LIST.name}: no such test: {red.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in config.stash[KNOWN]:
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")
