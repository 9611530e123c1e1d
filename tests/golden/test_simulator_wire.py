"""The simulator line protocol: golden lines are parsed into events, actions are formatted as golden lines."""

from tests.golden import simulator_wire_cases as cases
from tests.golden.golden_files import read_text


def test_golden_lines_are_parsed_into_events() -> None:
    (empty, full), (read_empty, read_full) = cases.BATCHES, cases.read()
    assert (read_empty, read_full.now) == (empty, full.now)
    assert read_full.events == full.events


def test_actions_are_formatted_as_golden_lines() -> None:
    assert cases.written() == read_text(cases.GOLDEN_FILE)
