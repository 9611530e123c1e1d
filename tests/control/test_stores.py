"""Placing the first partition and emptying stores."""

import asyncio

import pytest

from pewterring.control.commands import Command, EndDecommissioning, PutNodes, Result, StartDecommissioning
from pewterring.control.decommissioning import ABSENCE_CONFIRMED_S, StoreDecommissioner
from pewterring.control.errors import CommandOutcomeUnknownError, DecommissioningRefusedError, NotLeadingError
from pewterring.control.nodes import NodeTable
from pewterring.control.placement import first_placement, is_decommissioned
from pewterring.control.state import ControlState, Decommissioning
from pewterring.distribution.messages import GroupStatus, NodeRecord, PlacementRecord
from tests.control.records import apply, gateway, status, store

TICK_S = 0.2
STORES = [store(number) for number in (1, 2, 3, 4)]


def test_the_first_partition_stands_in_different_zones() -> None:
    stores = [store(1, "a"), store(2, "a"), store(3, "b"), store(4, "c")]
    placement = first_placement(stores, 3)
    assert placement is not None
    assert placement.voters == (stores[0].member, stores[2].member, stores[3].member)
    assert first_placement(stores[:2], 3) is None
    crowded = first_placement([store(1, "a"), store(2, "a"), store(3, "b")], 3)
    assert crowded is not None
    assert len(set(crowded.voters)) == 3


PLACEMENT = PlacementRecord("batch-0", tuple(each.member for each in STORES[:3]))


@pytest.mark.parametrize(
    ("reports", "emptied"),
    [
        ([], False),
        ([status(STORES[:3])], False),
        ([status(STORES[1:])], True),
        ([status(STORES[1:], complete=2)], False),
        ([status([store(1), *STORES[1:3]])], False),
    ],
)
def test_a_store_is_emptied_when_enough_others_hold_all(reports: list[GroupStatus], emptied: bool) -> None:
    decommissioning = Decommissioning("store-1", "10.1.0.1#older")
    statuses = {report.group: report for report in reports}
    assert is_decommissioned(decommissioning, [PLACEMENT], statuses, 3) is emptied


class Desk:
    """A retirement desk whose commands are committed at once."""

    def __init__(self, *live: NodeRecord) -> None:
        self.state = ControlState()
        self.nodes = NodeTable()
        self.nodes.start(0.0, {})
        self.desk = StoreDecommissioner(self.state, self.nodes, self, needed_stores=3)
        self.commits = asyncio.Event()  # proposals wait for it
        self.commits.set()
        self.proposed: list[Command] = []
        self.leads = True
        for node in live:
            self.nodes.observe(0.0, node)
        apply(self.state, PutNodes(live))

    async def propose(self, command: Command) -> Result:
        self.proposed.append(command)
        await self.commits.wait()
        return apply(self.state, command)

    async def read_barrier(self) -> None:
        self.check_lease()

    def check_lease(self) -> None:
        if not self.leads:
            raise NotLeadingError

    def watch(self, begin: float, end: float) -> None:
        """What the leader's duties do again and again."""
        now = begin
        while now <= end:
            self.desk.watch(now)
            now += TICK_S

    def lose(self, now: float, node: NodeRecord) -> None:
        self.nodes.start(now, {key: live for key, live in self.nodes.records.items() if live != node})
        self.desk.watch(now)

    def start(self, node_id: str, now: float = 0.0) -> int:
        try:
            asyncio.run(self.desk.start(now, node_id))
        except DecommissioningRefusedError as error:
            return error.status
        return 200


def test_a_store_retires_where_enough_remain() -> None:
    desk = Desk(*STORES, gateway(1))
    assert desk.start("store-9") == 404
    assert desk.start("edge-1") == 404
    assert desk.start("store-1") == 200
    assert desk.start("store-1") == 200
    assert desk.start("store-2") == 409
    assert desk.desk.progress("store-1") == "running"
    assert desk.desk.progress("store-2") is None


def test_a_store_that_is_gone_can_still_be_named() -> None:
    desk = Desk(*STORES)
    desk.lose(0.0, STORES[0])
    assert desk.start("store-1") == 200


def test_a_store_that_is_away_for_a_moment_is_waited_for() -> None:
    desk = Desk(*STORES)
    desk.lose(10.0, STORES[3])
    assert desk.start("store-1", 10.5) == 503
    desk.watch(10.5, 10.0 + ABSENCE_CONFIRMED_S)
    assert desk.start("store-1", 10.0 + ABSENCE_CONFIRMED_S) == 409


def test_a_leader_that_did_not_look_for_a_while_refuses_nothing_at_first() -> None:
    desk = Desk(*STORES)
    desk.lose(10.0, STORES[3])
    desk.watch(10.0, 12.0)
    assert desk.start("store-1", 20.0) == 503  # another led meanwhile: the store may just have been here
    desk.watch(20.0, 20.0 + ABSENCE_CONFIRMED_S)
    assert desk.start("store-1", 20.0 + ABSENCE_CONFIRMED_S) == 409


def test_a_new_leader_refuses_nothing_before_its_first_look() -> None:
    desk = Desk(*STORES)
    desk.nodes.start(10.0, {store.node_id: store for store in STORES[:3]})
    assert desk.start("store-1", 10.0) == 503


def test_a_repeat_is_acknowledged_for_a_store_that_only_its_retirement_names() -> None:
    desk = Desk(*STORES[1:])
    apply(desk.state, StartDecommissioning("store-1", STORES[0].member))
    assert desk.start("store-1") == 200
    apply(desk.state, EndDecommissioning("store-1"))
    assert desk.start("store-1") == 200
    assert desk.proposed == []


def test_a_repeat_is_acknowledged_where_too_few_would_remain_now() -> None:
    desk = Desk(*STORES)
    assert desk.start("store-1") == 200
    desk.lose(0.0, STORES[1])
    desk.watch(0.0, ABSENCE_CONFIRMED_S)
    assert desk.start("store-1", ABSENCE_CONFIRMED_S) == 200
    apply(desk.state, EndDecommissioning("store-1"))
    assert desk.start("store-1", ABSENCE_CONFIRMED_S) == 200
    assert len(desk.proposed) == 1


async def turns() -> None:
    """Lets all that can go on do so."""
    for _ in range(20):
        await asyncio.sleep(0)


@pytest.mark.parametrize("leaves", [False, True])
def test_a_wish_whose_outcome_is_unknown_is_waited_for_also_when_its_caller_left(leaves: bool) -> None:
    desk = Desk(*STORES)

    async def scenario() -> None:
        desk.commits.clear()
        first = asyncio.create_task(desk.desk.start(0.0, "store-1"))
        await turns()
        if leaves:
            first.cancel()
        second = asyncio.create_task(desk.desk.start(0.0, "store-2"))
        again = asyncio.create_task(desk.desk.start(0.0, "store-1"))
        await turns()
        assert not second.done()
        assert not again.done()
        desk.commits.set()
        with pytest.raises(DecommissioningRefusedError, match="2 stores would remain"):
            await second
        await again

    asyncio.run(scenario())
    assert [command for command in desk.proposed if isinstance(command, StartDecommissioning)] == [
        StartDecommissioning("store-1", STORES[0].member)
    ]


def test_a_leader_that_is_deposed_while_a_wish_waits_refuses_nothing() -> None:
    desk = Desk(*STORES)

    async def scenario() -> None:
        desk.commits.clear()
        first = asyncio.create_task(desk.desk.start(0.0, "store-1"))
        second = asyncio.create_task(desk.desk.start(0.0, "store-2"))
        await turns()
        desk.leads = False
        desk.commits.set()
        with pytest.raises(NotLeadingError):
            await second
        await first

    asyncio.run(scenario())


def test_a_wish_that_failed_does_not_hold_up_the_next() -> None:
    desk = Desk(*STORES)

    async def propose(command: Command) -> Result:
        raise CommandOutcomeUnknownError

    desk.propose = propose  # type: ignore[method-assign]
    for _ in range(2):
        with pytest.raises(CommandOutcomeUnknownError):
            asyncio.run(desk.desk.start(0.0, "store-1"))


def test_a_retirement_is_told_by_its_command_alone() -> None:
    desk = Desk()
    apply(desk.state, StartDecommissioning("store-1", "m"))
    assert desk.desk.progress("store-1") == "running"
