"""The simulator's wire: golden lines are read to events, and actions are written as golden lines."""

from tests.golden import simulator_wire_cases as cases
from tests.golden.golden_files import read_text


def test_the_golden_lines_are_read_to_the_events() -> None:
    (empty, full), (read_empty, read_full) = cases.BATCHES, cases.read()
    assert (read_empty, read_full.now) == (empty, full.now)
    assert read_full.events == full.events


def test_actions_are_written_as_the_golden_lines() -> None:
    assert cases.written() == read_text(cases.GOLDEN_FILE)
