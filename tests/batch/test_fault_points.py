"""A job from its submission to its end, with a fault injected at each numbered fault point in turn."""

import asyncio
from collections.abc import Callable

import pytest

from pewterring.batch.messages import (
    EndJob,
    ItemBody,
    ItemResult,
    JobAccepted,
    JobEnded,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from tests.batch.stand_ins import ROUTE, item
from tests.batch.virtual_cluster import FaultPoints, VirtualCluster, complete_text
from tests.consensus.virtual_time import run

ITEMS = ("a", "b", "fails-once", "impossible")
JOB = SubmitJob("job", *ROUTE, items=tuple(item(name) for name in ITEMS))
WAIT_MS = 300.0

Fault = Callable[[VirtualCluster], None]


async def read_all_results(cluster: VirtualCluster, received: list[ItemResult]) -> None:
    """Reads results until `received` has all, and checks that results read before do not change."""
    while len(received) < len(ITEMS):
        page = await cluster.call(ReadResults("job", len(received), WAIT_MS))
        assert isinstance(page, ResultPage)
        assert page.total == len(ITEMS)
        received += page.results
        again = await cluster.call(ReadResults("job", 0))
        assert isinstance(again, ResultPage)
        assert list(again.results[: len(received)]) == received


def check_results(results: list[ItemResult]) -> None:
    assert sorted(result.id for result in results) == sorted(ITEMS)
    for result in results:
        if result.id == "impossible":
            assert (result.state, result.text) == ("dead_letter", "")
        else:
            assert (result.state, result.text) == ("succeeded", complete_text(result.id))


async def run_job(cluster: VirtualCluster) -> None:
    """Submits a job twice, reads it while it runs, again from the start, and ends it."""
    assert await cluster.call(JOB) == JobAccepted()
    assert await cluster.call(JOB) == JobAccepted()
    received: list[ItemResult] = []
    await read_all_results(cluster, received)
    check_results(received)
    again = await cluster.call(ReadResults("job", 0))
    assert isinstance(again, ResultPage)
    assert list(again.results) == received
    assert await cluster.call(EndJob("job")) == JobEnded()
    assert await cluster.call(EndJob("job")) == JobEnded()
    after = await cluster.call(ReadResults("job", 0))
    assert isinstance(after, ResultPage)
    assert list(after.results) == received


def run_with_fault(fault_point: int, fault: Fault) -> FaultPoints:
    """Runs `run_job` with the fault at point number `fault_point`; returns the points that were passed."""
    points = FaultPoints()

    async def scenario() -> None:
        nonlocal points
        cluster: VirtualCluster
        points = FaultPoints(fault_point, lambda: fault(cluster))
        cluster = VirtualCluster(points)
        await cluster.start()
        try:
            await run_job(cluster)
            max_attempts = 3  # each leader may start an item once more, and one attempt fails by design
            assert max(cluster.workers.begun.values()) <= max_attempts
        finally:
            await cluster.stop()

    run(scenario())
    return points


def no_fault(cluster: VirtualCluster) -> None:
    pass


@pytest.mark.parametrize(
    "fault", [VirtualCluster.kill_leader, VirtualCluster.isolate_leader, VirtualCluster.kill_all]
)
def test_a_job_completes_with_a_fault_at_any_point(fault: Fault) -> None:
    for fault_point in range(1, run_with_fault(0, no_fault).passed + 1):
        try:
            run_with_fault(fault_point, fault)
        except Exception as error:
            raise AssertionError(f"with the fault at point {fault_point}: {error!r}") from error


def test_bodies_can_be_read_and_results_complete_across_a_failover() -> None:
    async def scenario() -> None:
        cluster = VirtualCluster(FaultPoints())
        await cluster.start()
        assert await cluster.call(JOB) == JobAccepted()
        assert await cluster.call(ReadItem("job", "a")) == ItemBody("YQ==")
        cluster.kill_leader()
        assert await cluster.call(ReadItem("job", "b")) == ItemBody("YQ==")
        received: list[ItemResult] = []
        await read_all_results(cluster, received)
        check_results(received)
        await cluster.stop()

    run(scenario())


def test_the_end_of_a_job_survives_a_failover_and_no_item_starts_after_it() -> None:
    async def scenario() -> None:
        cluster = VirtualCluster(FaultPoints())
        await cluster.start()
        assert await cluster.call(JOB) == JobAccepted()
        assert await cluster.call(EndJob("job")) == JobEnded()
        begun = sum(cluster.workers.begun.values())
        cluster.kill_leader()
        page = await cluster.call(ReadResults("job", 0))
        await asyncio.sleep(1.0)
        assert isinstance(page, ResultPage)
        assert sum(cluster.workers.begun.values()) == begun
        assert not any(cluster.workers.running.values())
        await cluster.stop()

    run(scenario())


def test_an_isolated_leader_starts_no_items() -> None:
    async def scenario() -> None:
        cluster = VirtualCluster(FaultPoints())
        await cluster.start()
        assert await cluster.call(JOB) == JobAccepted()
        cluster.isolate_leader()
        received: list[ItemResult] = []
        await read_all_results(cluster, received)
        check_results(received)
        await asyncio.sleep(3.0)
        assert max(cluster.workers.begun.values()) <= 3
        page = await cluster.call(ReadResults("job", 0))
        assert isinstance(page, ResultPage)
        assert list(page.results) == received
        await cluster.stop()

    run(scenario())
