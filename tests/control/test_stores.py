"""Placing the first partition and emptying stores."""

import asyncio

import pytest

from pewterring.control.commands import Command, PutNodes, Result, SetRetiring
from pewterring.control.nodes import NodeTable
from pewterring.control.retiring import SETTLED_S, RetirementDesk, RetirementRefused
from pewterring.control.state import ControlState, Retirement
from pewterring.control.stores import first_placement, is_emptied
from pewterring.distribution.messages import GroupStatus, NodeRecord, PlacementRecord
from tests.control.records import apply, gateway, status, store

STORES = [store(number) for number in (1, 2, 3, 4)]


def test_the_first_partition_stands_in_different_zones() -> None:
    stores = [store(1, "a"), store(2, "a"), store(3, "b"), store(4, "c")]
    placement = first_placement(stores, 3)
    assert placement is not None
    assert placement.voters == (stores[0].member, stores[2].member, stores[3].member)
    assert first_placement(stores[:2], 3) is None
    crowded = first_placement([store(1, "a"), store(2, "a"), store(3, "b")], 3)
    assert crowded is not None and len(set(crowded.voters)) == 3


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
    retirement = Retirement("store-1", "10.1.0.1#older")
    statuses = {report.group: report for report in reports}
    assert is_emptied(retirement, [PLACEMENT], statuses, 3) is emptied


class Desk:
    """A retirement desk whose commands are committed at once."""

    def __init__(self, *live: NodeRecord) -> None:
        self.state = ControlState()
        self.nodes = NodeTable()
        self.nodes.start(0.0, {})
        self.desk = RetirementDesk(self.state, self.nodes, self.propose, needed_stores=3)
        for node in live:
            self.nodes.hear(0.0, node)
        apply(self.state, PutNodes(live))

    async def propose(self, command: Command) -> Result:
        return apply(self.state, command)

    def lose(self, now: float, node: NodeRecord) -> None:
        self.nodes.start(now, {key: live for key, live in self.nodes.records.items() if live != node})
        self.desk.watch(now)

    def start(self, node_id: str, now: float = 0.0) -> int:
        try:
            asyncio.run(self.desk.start(now, node_id))
        except RetirementRefused as error:
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
    assert desk.start("store-1", 10.0 + SETTLED_S) == 409


def test_a_retirement_is_told_by_its_command_alone() -> None:
    desk = Desk()
    apply(desk.state, SetRetiring("store-1", "m"))
    assert desk.desk.progress("store-1") == "running"
