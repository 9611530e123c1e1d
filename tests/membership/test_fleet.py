"""Fleets of instances under loss, network partitions, kills and restarts."""

import pytest

from pewterring.lab.gossip import Fleet
from tests.membership.instances import FAST


@pytest.mark.parametrize("loss", [0.0, 0.33])
def test_a_fleet_agrees_and_declares_no_live_member_dead(loss: float) -> None:
    fleet = Fleet(30, 1, loss, settings=FAST)
    fleet.run(60)
    assert fleet.wrong() == (0, 0)
    assert fleet.declared(0) == 0
    sent = fleet.sent
    fleet.run(20)
    assert (fleet.sent - sent) / 20 / 30 < 12  # messages per second and instance
    fleet.kill(7)
    fleet.run(60)
    assert fleet.wrong() == (0, 0)
    fleet.start(7)  # restarts without any state
    fleet.run(30)
    assert fleet.wrong() == (0, 0)


def test_a_network_partition_heals() -> None:
    fleet = Fleet(12, 2, 0.1, settings=FAST)
    fleet.run(30)
    for number in range(4):
        fleet.side[number] = 1
    fleet.run(60)
    assert [len(view) for view in fleet.views()] == [4] * 4 + [8] * 8  # each side considers the other dead
    fleet.side = [0] * 12
    fleet.run(60)
    assert fleet.wrong() == (0, 0)


def test_load_does_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (5, 60):
        fleet = Fleet(size, 3, 0.0, settings=FAST)
        fleet.run(40)
        before = fleet.sent
        fleet.run(20)
        rates.append((fleet.sent - before) / 20 / size)
    assert rates[1] < rates[0] * 1.2
