"""Decommissioning of stores: when one may start, its progress, and when it ends."""

import asyncio

import pytest

from pewterring.control.commands import Command, EndDecommissioning, PutNodes, Result, StartDecommissioning
from pewterring.control.decommissioning import ABSENCE_CONFIRMED_S, StoreDecommissioner, is_decommissioned
from pewterring.control.errors import (
    CommandOutcomeUnknownError,
    ControlError,
    DecommissioningRefusedError,
    NotLeadingError,
)
from pewterring.control.nodes import NodeTable
from pewterring.control.snapshot import Decommissioning
from pewterring.control.state import ControlState
from pewterring.distribution.messages import GroupStatus, NodeRecord, PlacementRecord
from tests.control.records import apply, gateway, status, store

TICK_S = 0.2
STORES = [store(number) for number in (1, 2, 3, 4)]


PLACEMENT = PlacementRecord("batch-0", tuple(each.member for each in STORES[:3]))


@pytest.mark.parametrize(
    ("reports", "decommissioned"),
    [
        ([], False),
        ([status(STORES[:3])], False),
        ([status(STORES[1:])], True),
        ([status(STORES[1:], complete=2)], False),
        ([status([store(1), *STORES[1:3]])], False),
    ],
)
def test_a_store_is_decommissioned_when_enough_others_are_complete(
    reports: list[GroupStatus], decommissioned: bool
) -> None:
    decommissioning = Decommissioning("store-1", "10.1.0.1#older")
    statuses = {report.group: report for report in reports}
    assert is_decommissioned(decommissioning, [PLACEMENT], statuses, 3) is decommissioned


class DecommissioningLeader:
    """A leader of control whose commands are committed immediately, unless `commits` is cleared."""

    def __init__(self, *live: NodeRecord) -> None:
        self.state = ControlState()
        self.nodes = NodeTable()
        self.nodes.start(0.0, {})
        self.decommissioner = StoreDecommissioner(self.state, self.nodes, self, needed_stores=3)
        self.commits = asyncio.Event()  # proposals wait until it is set
        self.commits.set()
        self.proposed: list[Command] = []
        self.leads = True
        self.failure: ControlError | None = None  # raised by each proposal
        for node in live:
            self.nodes.observe(0.0, node)
        apply(self.state, PutNodes(live))

    async def propose(self, command: Command) -> Result:
        self.proposed.append(command)
        await self.commits.wait()
        if self.failure is not None:
            raise self.failure
        return apply(self.state, command)

    async def read_barrier(self) -> None:
        self.check_lease()

    def check_lease(self) -> None:
        if not self.leads:
            raise NotLeadingError

    def observe_stores(self, begin: float, end: float) -> None:
        """Observes the stores every `TICK_S`, as the leader's tasks do."""
        now = begin
        while now <= end:
            self.decommissioner.observe_stores(now)
            now += TICK_S

    def remove_node(self, now: float, node: NodeRecord) -> None:
        self.nodes.start(now, {key: live for key, live in self.nodes.records.items() if live != node})
        self.decommissioner.observe_stores(now)

    def start(self, node_id: str, now: float = 0.0) -> int:
        try:
            asyncio.run(self.decommissioner.start(now, node_id))
        except DecommissioningRefusedError as error:
            return error.status
        return 200


def test_a_decommissioning_starts_if_enough_stores_remain() -> None:
    leader = DecommissioningLeader(*STORES, gateway(1))
    assert leader.start("store-9") == 404
    assert leader.start("edge-1") == 404
    assert leader.start("store-1") == 200
    assert leader.start("store-1") == 200
    assert leader.start("store-2") == 409
    assert leader.decommissioner.progress("store-1") == "running"
    assert leader.decommissioner.progress("store-2") is None


def test_a_store_that_is_gone_can_still_be_decommissioned() -> None:
    leader = DecommissioningLeader(*STORES)
    leader.remove_node(0.0, STORES[0])
    assert leader.start("store-1") == 200


def test_a_briefly_absent_store_counts_as_one_that_may_come_back() -> None:
    leader = DecommissioningLeader(*STORES)
    leader.remove_node(10.0, STORES[3])
    assert leader.start("store-1", 10.5) == 503
    leader.observe_stores(10.5, 10.0 + ABSENCE_CONFIRMED_S)
    assert leader.start("store-1", 10.0 + ABSENCE_CONFIRMED_S) == 409


def test_after_a_gap_in_observations_absent_stores_may_come_back() -> None:
    leader = DecommissioningLeader(*STORES)
    leader.remove_node(10.0, STORES[3])
    leader.observe_stores(10.0, 12.0)
    assert leader.start("store-1", 20.0) == 503  # another member may have led during the gap
    leader.observe_stores(20.0, 20.0 + ABSENCE_CONFIRMED_S)
    assert leader.start("store-1", 20.0 + ABSENCE_CONFIRMED_S) == 409


def test_before_the_first_observation_absent_stores_may_come_back() -> None:
    leader = DecommissioningLeader(*STORES)
    leader.nodes.start(10.0, {store.node_id: store for store in STORES[:3]})
    assert leader.start("store-1", 10.0) == 503


def test_a_repeated_start_is_acknowledged_for_a_store_known_only_by_its_decommissioning() -> None:
    leader = DecommissioningLeader(*STORES[1:])
    apply(leader.state, StartDecommissioning("store-1", STORES[0].member))
    assert leader.start("store-1") == 200
    apply(leader.state, EndDecommissioning("store-1"))
    assert leader.start("store-1") == 200
    assert leader.proposed == []


def test_a_repeated_start_is_acknowledged_even_if_too_few_stores_remain_now() -> None:
    leader = DecommissioningLeader(*STORES)
    assert leader.start("store-1") == 200
    leader.remove_node(0.0, STORES[1])
    leader.observe_stores(0.0, ABSENCE_CONFIRMED_S)
    assert leader.start("store-1", ABSENCE_CONFIRMED_S) == 200
    apply(leader.state, EndDecommissioning("store-1"))
    assert leader.start("store-1", ABSENCE_CONFIRMED_S) == 200
    assert len(leader.proposed) == 1


async def run_pending_tasks() -> None:
    """Runs the event loop until all tasks wait or are done."""
    for _ in range(20):
        await asyncio.sleep(0)


@pytest.mark.parametrize("caller_is_cancelled", [False, True])
def test_later_starts_wait_for_a_pending_start_even_if_its_caller_was_cancelled(
    caller_is_cancelled: bool,
) -> None:
    leader = DecommissioningLeader(*STORES)

    async def scenario() -> None:
        leader.commits.clear()
        first = asyncio.create_task(leader.decommissioner.start(0.0, "store-1"))
        await run_pending_tasks()
        if caller_is_cancelled:
            first.cancel()
        second = asyncio.create_task(leader.decommissioner.start(0.0, "store-2"))
        repeated = asyncio.create_task(leader.decommissioner.start(0.0, "store-1"))
        await run_pending_tasks()
        assert not second.done()
        assert not repeated.done()
        leader.commits.set()
        with pytest.raises(DecommissioningRefusedError, match="2 stores would remain"):
            await second
        await repeated

    asyncio.run(scenario())
    assert [command for command in leader.proposed if isinstance(command, StartDecommissioning)] == [
        StartDecommissioning("store-1", STORES[0].member)
    ]


def test_a_start_that_waits_while_the_leadership_is_lost_is_not_refused() -> None:
    leader = DecommissioningLeader(*STORES)

    async def scenario() -> None:
        leader.commits.clear()
        first = asyncio.create_task(leader.decommissioner.start(0.0, "store-1"))
        second = asyncio.create_task(leader.decommissioner.start(0.0, "store-2"))
        await run_pending_tasks()
        leader.leads = False
        leader.commits.set()
        with pytest.raises(NotLeadingError):
            await second
        await first

    asyncio.run(scenario())


def test_a_start_that_failed_does_not_block_the_next() -> None:
    leader = DecommissioningLeader(*STORES)

    leader.failure = CommandOutcomeUnknownError()
    for _ in range(2):
        with pytest.raises(CommandOutcomeUnknownError):
            asyncio.run(leader.decommissioner.start(0.0, "store-1"))


def test_the_progress_depends_only_on_the_committed_command() -> None:
    leader = DecommissioningLeader()
    apply(leader.state, StartDecommissioning("store-1", "m"))
    assert leader.decommissioner.progress("store-1") == "running"
