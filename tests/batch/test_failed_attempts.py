"""An item that always fails is attempted as often as its route allows, even if leaders fail in between.

A leader that counted failures only in memory would lose the count, and the item would run again and again.
"""

import asyncio

import pytest

from pewterring.batch.commands import Counted, CountFailures
from pewterring.batch.messages import ItemResult, JobAccepted, ReadResults, ResultPage, SubmitJob
from pewterring.batch.state import BatchState
from tests.batch.stand_ins import ROUTE, item, route
from tests.batch.virtual_cluster import FaultPoints, VirtualCluster
from tests.consensus.virtual_time import run

ITEM = "hopeless"
JOB = SubmitJob("job", *ROUTE, items=(item(ITEM),))
COMMIT_S = 0.05  # after a failure, its count is committed within this time, and the backoff is not over yet
CHECK_INTERVAL_S = 0.005
MAX_LEADERS = 6


class ForgetsFailures(BatchState):
    """A broken state: it does not replicate counts of failed attempts, so they are lost with their leader."""

    def _count_failures(self, _command: CountFailures) -> Counted:
        return Counted()


async def kill_after_each_failure(cluster: VirtualCluster) -> None:
    """Kills the leader after each failed attempt, before the next attempt, `MAX_LEADERS` times."""
    handled_attempts = 0
    while handled_attempts < MAX_LEADERS:
        await asyncio.sleep(CHECK_INTERVAL_S)
        if cluster.workers.begun[ITEM] > handled_attempts:
            handled_attempts = cluster.workers.begun[ITEM]
            await asyncio.sleep(COMMIT_S)
            cluster.kill_leader()


def attempts_with_leaders_killed(state_type: type[BatchState]) -> int:
    """The number of the item's attempts at workers until its result was listed."""
    results: list[ItemResult] = []
    attempts = 0

    async def scenario() -> None:
        nonlocal attempts
        cluster = VirtualCluster(FaultPoints(), state_type=state_type)
        await cluster.start()
        killing = asyncio.create_task(kill_after_each_failure(cluster))
        try:
            assert await cluster.call(JOB) == JobAccepted()
            while not results:
                page = await cluster.call(ReadResults("job", 0, 300.0))
                assert isinstance(page, ResultPage)
                results.extend(page.results)
            attempts = cluster.workers.begun[ITEM]
        finally:
            killing.cancel()
            await cluster.stop()

    run(scenario())
    assert results == [ItemResult(ITEM, "dead_letter", "")]
    return attempts


def test_failures_are_counted_across_leaders() -> None:
    assert attempts_with_leaders_killed(BatchState) == route().max_attempts


def test_the_scenario_detects_a_state_that_forgets_failures() -> None:
    with pytest.raises(AssertionError):
        assert attempts_with_leaders_killed(ForgetsFailures) <= 3 * route().max_attempts
