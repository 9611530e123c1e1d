"""A batch command that is applied a second time, directly or after later commands, changes nothing."""

import pytest

from pewterring.batch.commands import AcceptJob, AddResults, CloseJob, Command, JobResult, encode_command
from pewterring.batch.messages import ItemResult
from pewterring.batch.state import BatchState
from tests.batch.stand_ins import ManualClock, item

HISTORY: dict[str, Command] = {
    "submission": AcceptJob("j", "h", "/p/", (item("a"), item("b"))),
    "result": AddResults((JobResult("j", ItemResult("a", "succeeded", "text")),)),
    "another result of the same item": AddResults((JobResult("j", ItemResult("a", "dead_letter", "")),)),
    "end": CloseJob("j"),
    "result after the end": AddResults((JobResult("j", ItemResult("b", "succeeded", "late")),)),
}


@pytest.mark.parametrize("name", HISTORY)
def test_a_command_that_is_repeated_later_changes_nothing(name: str) -> None:
    commands = list(HISTORY.values())
    first = list(HISTORY).index(name)
    for length in range(first + 1, len(commands) + 1):
        state = BatchState(ManualClock())
        for index, command in enumerate(commands[:length], 1):
            state.apply(index, encode_command(command))
        before = state.snapshot()
        state.apply(length + 1, encode_command(HISTORY[name]))
        assert state.snapshot() == before


def test_a_second_result_of_an_item_and_results_after_the_end_are_not_listed() -> None:
    state = BatchState(ManualClock())
    for index, command in enumerate(HISTORY.values(), 1):
        state.apply(index, encode_command(command))
    job = state.job("j")
    assert job is not None
    assert [(result.id, result.state) for result in job.results] == [("a", "succeeded")]
