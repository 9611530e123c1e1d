"""Heartbeats and the shares derived from them; messages that are lost, late, unknown or malformed."""

import itertools
import random

import pytest

from pewterring.admission.shares import LEASE_S, Shares
from pewterring.standalone.peer_messages import HEARTBEAT_FORMAT
from pewterring.standalone.policy import interface
from tests.standalone.helpers import PolicyDriver, settings


def heartbeat(
    incarnation: int, sequence: int, limit: float = 30.0, in_flight: int = 0, share: float = 10.0
) -> bytes:
    return HEARTBEAT_FORMAT.pack(b"B", incarnation, sequence, limit, in_flight, share, 10.0)


def test_heartbeats_go_to_each_peer_every_half_second_even_if_nothing_changed() -> None:
    driver = PolicyDriver()
    assert [message.peer for message in driver.tick()] == [1, 2]
    sent = [message for _ in range(50) for message in driver.tick(0.1)]
    assert 18 <= len(sent) <= 26


def test_no_messages_are_sent_without_permission_or_without_peers() -> None:
    for setup in (settings(limits=interface.Limits()), settings(fleet=1)):
        driver = PolicyDriver(setup)
        assert driver.tick() == []
        assert driver.tick(1.0) == []


def test_the_limit_is_the_lower_median_of_live_limits() -> None:
    shares = Shares(3, 1)
    shares.receive(0.0, 1, heartbeat(11, 1, limit=10.0, share=0.0), 100.0)
    shares.demand = 1e9
    shares.update_share(0.0, 100.0)
    assert shares.share == pytest.approx(10.0, rel=0.01)
    shares.receive(0.0, 2, heartbeat(12, 1, limit=50.0, share=0.0), 100.0)
    shares.update_share(0.0, 100.0)
    assert shares.share == pytest.approx(50.0, rel=0.01)


def test_a_peer_reserves_its_share_or_its_attempts_in_flight_and_one_slot_remains() -> None:
    shares = Shares(3, 1)
    shares.demand = 1e9
    shares.receive(0.0, 1, heartbeat(11, 1, in_flight=25, share=5.0), 30.0)
    assert shares.share == pytest.approx(5.0)
    shares.receive(0.0, 1, heartbeat(11, 2, in_flight=5, share=29.9), 30.0)
    assert shares.share == 1.0


def test_an_unresponsive_peer_is_evicted() -> None:
    shares = Shares(3, 1)
    shares.demand = 1e9
    shares.receive(0.0, 1, heartbeat(11, 1, in_flight=25), 30.0)
    shares.update_share(LEASE_S - 0.01, 30.0)
    assert shares.share < 30.0
    shares.update_share(LEASE_S, 30.0)
    assert shares.share == 30.0


def test_late_and_repeated_heartbeats_are_dropped() -> None:
    shares = Shares(3, 1)
    shares.receive(0.0, 1, heartbeat(11, 5, in_flight=5), 30.0)
    shares.receive(0.1, 1, heartbeat(11, 4, in_flight=25), 30.0)
    shares.receive(0.2, 1, heartbeat(11, 5, in_flight=25), 30.0)
    assert shares.peers[1].beat.out == 5
    assert shares.peers[1].heard == 0.0


def test_heartbeats_of_a_restarted_peer_count_and_those_of_its_earlier_incarnation_do_not() -> None:
    shares = Shares(3, 1)
    shares.receive(0.0, 1, heartbeat(11, 500, in_flight=5), 30.0)
    shares.receive(0.1, 1, heartbeat(22, 1, in_flight=7), 30.0)
    assert shares.peers[1].beat.out == 7
    shares.receive(0.2, 1, heartbeat(11, 501, in_flight=9), 30.0)
    assert shares.peers[1].beat.out == 7


def test_malformed_heartbeats_are_dropped() -> None:
    driver = PolicyDriver()
    rng = random.Random(3)
    valid = heartbeat(11, 1)
    invalid = [valid[:size] for size in range(len(valid))] + [b"D", b"D" + bytes(8) + b"123"]
    invalid += [rng.randbytes(rng.randrange(257)) for _ in range(500)]
    invalid += [
        HEARTBEAT_FORMAT.pack(b"B", 1, 1, limit, 0, 1.0, 1.0) for limit in (float("nan"), float("inf"), -1.0)
    ]
    for data in invalid:
        driver.do(interface.PeerMessage(1, data))
    assert driver.policy.shares.peers == {}
    driver.do(interface.PeerMessage(7, valid))  # not a member of this fleet
    assert 7 not in driver.policy.shares.peers


def test_shares_sum_to_the_limit_once_heartbeats_have_arrived() -> None:
    """Demand is uneven and moves between gateways; the minimum of one slot each may exceed the limit."""
    fleet = [Shares(3, 100 + index) for index in range(3)]
    demands = itertools.cycle([(90, 5, 5), (90, 5, 5), (90, 5, 5), (5, 90, 5), (5, 90, 5), (5, 5, 90)])
    for step in range(60):
        now = step * 0.5
        for shares, requested in zip(fleet, next(demands), strict=True):
            shares.requested = requested
            shares.update_demand(now, 0.5, 30.0)
            data = shares.heartbeat(30.0, int(min(shares.share, 30.0)))
            for other in fleet:
                if other is not shares:
                    other.receive(now, shares.incarnation, data, 30.0)
        if step > 4:
            assert sum(shares.share for shares in fleet) <= 30.0 + 2.0


def test_a_gateway_without_peers_comes_to_hold_the_whole_limit() -> None:
    """No peer was ever heard: the share is even at first, and grows as the assumed demand of peers decays."""
    driver = PolicyDriver()
    limit = driver.policy.ceiling.limit
    assert driver.policy.shares.share == pytest.approx(limit / 3)
    for _ in range(400):
        driver.serve(2, latency=0.01)
        driver.tick(0.25)
    assert driver.policy.shares.share == pytest.approx(driver.policy.ceiling.limit)


def test_in_a_network_partition_each_side_keeps_about_its_share() -> None:
    shares = Shares(3, 1)
    for step in range(20):
        shares.requested = 10.0
        shares.update_demand(step * 0.5, 0.5, 30.0)
        for peer in (1, 2):
            shares.receive(
                step * 0.5, peer, HEARTBEAT_FORMAT.pack(b"B", peer, step, 30.0, 5, 8.0, 20.0), 30.0
            )
    before = shares.share
    shares.requested = 10.0
    shares.update_demand(9.5 + 2 * LEASE_S, 0.5, 30.0)
    assert shares.share <= 1.3 * before
    shares.requested = 60.0  # the peers are dead, and their clients come here
    for step in range(20):
        shares.requested = 30.0
        shares.update_demand(9.5 + 2 * LEASE_S + step * 0.5, 0.5, 30.0)
    assert shares.share > 25.0


def test_a_restarted_gateway_takes_its_share_at_once() -> None:
    """Guards against a restarted gateway that rejects most requests of its first seconds.

    Its peers have divided the whole limit among themselves, and its measured demand would grow from zero, so
    it would be left with the minimum of one slot.
    """
    driver = PolicyDriver()
    for peer in (1, 2):
        driver.do(interface.PeerMessage(peer, heartbeat(peer, 1, limit=32.0, share=16.0)))
    assert driver.policy.shares.share == pytest.approx(32 / 3)  # its demand is unknown: an even share
    for _ in range(5):
        for _ in range(2):
            driver.sent()
        driver.tick(0.1)
    assert driver.policy.shares.demand == pytest.approx(20.0)  # a plain mean, not a tenth of it
    assert driver.policy.shares.share == pytest.approx(32 / 2)  # 20 of the fleet's 40 per second
    driver.tick(LEASE_S)
    driver.do(interface.PeerMessage(1, heartbeat(1, 2, limit=32.0, share=30.0)))
    assert driver.policy.shares.share <= 2.0  # no longer new: slots that peers reserve are left to them
