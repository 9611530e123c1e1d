"""Results and counts of failed attempts reach the log, even if proposals have failed for a while."""

import asyncio

import pytest

from pewterring.batch.commands import AcceptJob, Command, ItemFailures, JobResult, Outcome, encode_command
from pewterring.batch.messages import ItemResult
from pewterring.batch.results import COMMIT_RETRY_S, ResultCommitter
from pewterring.batch.state import BatchState
from tests.batch.stand_ins import ROUTE, FakeLog, ManualClock, item
from tests.consensus.virtual_time import run


@pytest.mark.parametrize("failing_for_s", [0.0, 2.5 * COMMIT_RETRY_S])
def test_results_and_counts_that_were_not_committed_are_proposed_again(failing_for_s: float) -> None:
    async def scenario() -> None:
        state = BatchState(ManualClock())
        log = FakeLog(state)
        await log.propose(AcceptJob("j", *ROUTE, (item("a"), item("b"))))
        committer = ResultCommitter(log)
        log.loses_outcomes = failing_for_s > 0
        committer.count_failures(ItemFailures("j", "a", 1))
        committer.add(JobResult("j", ItemResult("b", "succeeded", "x")))
        await asyncio.sleep(failing_for_s)
        log.loses_outcomes = False
        await asyncio.sleep(2 * COMMIT_RETRY_S)
        job = state.job("j")
        assert job is not None
        assert job.failed_attempts == {"a": 1}
        assert [result.id for result in job.results] == ["b"]

    run(scenario())


class FailsOnce(FakeLog):
    """A log whose first proposal raises an error that is not one of the batch layer's."""

    failed = False

    async def propose(self, command: Command) -> Outcome:
        if not self.failed:
            self.failed = True
            raise ValueError("unforeseen")
        return await super().propose(command)


def test_results_are_committed_after_an_unexpected_error() -> None:
    async def scenario() -> None:
        state = BatchState(ManualClock())
        state.apply(1, encode_command(AcceptJob("j", *ROUTE, (item("a"), item("b")))))
        committer = ResultCommitter(FailsOnce(state))
        for name in ("a", "b"):
            committer.add(JobResult("j", ItemResult(name, "succeeded", "x")))
            await asyncio.sleep(COMMIT_RETRY_S)
        job = state.job("j")
        assert job is not None
        assert job.finished

    run(scenario())
