"""Reads KNOWN-RED.txt at the root: tests that fail for a real fault that is not fixed yet.

A line holds four fields with ` | ` between them: the test as pytest names it, the command and seed that show
the failure, what was seen, and the number of the open issue. A listed test that fails is printed and passed
over. A listed test that passes fails the run, and so does a line with a missing field.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


class KnownFailure(NamedTuple):
    """A line of the list: a test that may fail, how to see it, what was seen, and its open issue."""

    test: str
    command: str
    seen: str
    issue: str


class KnownFailuresError(ValueError):
    """The list is invalid; the text says which line, or what is wrong with the list."""


def read_known(text: str) -> list[KnownFailure]:
    """Returns the lines of the list; no text is an empty list.

    Raises:
        KnownFailuresError: A line lacks a field or names no test or issue, or a test is listed twice.
    """
    known = []
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != len(KnownFailure._fields) or not all(fields):
            raise KnownFailuresError(f"not TEST | COMMAND AND SEED | SEEN | ISSUE: {line!r}")
        failure = KnownFailure(*fields)
        if "::" not in failure.test or not failure.issue.isdecimal():
            raise KnownFailuresError(f"no test or no number of an issue: {line!r}")
        known.append(failure)
    if len({failure.test for failure in known}) < len(known):
        raise KnownFailuresError("a test is listed twice")
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
            item.add_marker(pytest.mark.xfail(reason=f"{failure.seen} ({failure.issue})", strict=True))
        elif (
            failure.test.partition("::")[0] in files
            and not config.option.keyword
            and "::" not in str(config.args)
        ):
            raise pytest.UsageError(f"{LIST.name}: no such test: {failure.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for failure in config.stash[KNOWN]:
        terminalreporter.write_line(
            f"known red: {failure.test}: {failure.seen} ({failure.issue}); {failure.command}"
        )
