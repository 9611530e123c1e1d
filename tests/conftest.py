"""KNOWN-RED.txt at the root: tests that fail for a real fault that is not mended yet, three at most.

A line holds the test as pytest names it, its cause and its issue, with ` | ` between them. A listed test that
fails is printed and passed over; one that passes, a fourth line or one that cannot be used fails the run.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST = 3


class KnownFailure(NamedTuple):
    """A line of the list: a test that may fail, why, and the issue that is about it."""

    test: str
    cause: str
    issue: str


class KnownFailuresError(ValueError):
    """The list cannot be used; the text says which line, or what about the whole."""


def read_known(text: str) -> list[KnownFailure]:
    """Returns the lines of the list; no text is an empty list.

    Raises:
        KnownFailuresError: The list cannot be used.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise KnownFailuresError(f"{len(lines)} tests, {MOST} at most")
    known = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise KnownFailuresError(f"not TEST | CAUSE | ISSUE: {line!r}")
        known.append(KnownFailure(*parts))
    if len({failure.test for failure in known}) < len(known):
        raise KnownFailuresError("a test is named twice")
    return known


def pytest_configure(config: pytest.Config) -> None:
    try:
        known = read_known(LIST.read_text(encoding="utf-8") if LIST.exists() else "")
    except KnownFailuresError as error:
        raise pytest.UsageError(f"{LIST.name}: {error}") from error
    config.stash[KNOWN] = known


KNOWN = pytest.StashKey[list[KnownFailure]]()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = config.stash[KNOWN]
    collected = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for failure in known:
        if item := collected.get(failure.test):
            item.add_marker(pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=True))
        elif (
            failure.test.partition("::")[0] in files
            and not config.option.keyword
            and "::" not in str(config.args)
        ):
            raise pytest.UsageError(f"{LIST.name}: no such test: {failure.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for failure in config.stash[KNOWN]:
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} ({failure.issue})")
