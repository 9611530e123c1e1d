"""Heartbeats: what they carry, what they divide, and mail that is lost, late, foreign or broken."""

import itertools
import random

import pytest

from pewterring.admission.shares import LEASE_S, Shares
from pewterring.standalone.peer_messages import HEARTBEAT_FORMAT
from pewterring.standalone.policy import interface as i
from tests.standalone.helpers import PolicyDriver, settings


def beat(incarnation: int, sequence: int, limit: float = 30.0, out: int = 0, share: float = 10.0) -> bytes:
    return HEARTBEAT_FORMAT.pack(b"B", incarnation, sequence, limit, out, share, 10.0)


def test_a_heartbeat_goes_to_each_peer_every_half_second_though_nothing_is_new() -> None:
    d = PolicyDriver()
    assert [t.peer for t in d.tick()] == [1, 2]
    told = [t for _ in range(50) for t in d.tick(0.1)]
    assert 18 <= len(told) <= 26


def test_no_mail_where_peers_may_not_be_told_or_there_are_none() -> None:
    for setup in (settings(limits=i.Limits()), settings(fleet=1)):
        d = PolicyDriver(setup)
        assert d.tick() == []
        assert d.tick(1.0) == []


def test_lower_median_of_live_limits() -> None:
    s = Shares(3, 1)
    s.hear(0.0, 1, beat(11, 1, limit=10.0, share=0.0), 100.0)
    s.demand = 1e9
    s.divide(0.0, 100.0)
    assert s.share == pytest.approx(10.0, rel=0.01)
    s.hear(0.0, 2, beat(12, 1, limit=50.0, share=0.0), 100.0)
    s.divide(0.0, 100.0)
    assert s.share == pytest.approx(50.0, rel=0.01)


def test_reserves_the_larger_of_share_and_occupancy_and_keeps_one_slot() -> None:
    s = Shares(3, 1)
    s.demand = 1e9
    s.hear(0.0, 1, beat(11, 1, out=25, share=5.0), 30.0)
    assert s.share == pytest.approx(5.0)
    s.hear(0.0, 1, beat(11, 2, out=5, share=29.9), 30.0)
    assert s.share == 1.0


def test_silent_peer_is_evicted() -> None:
    s = Shares(3, 1)
    s.demand = 1e9
    s.hear(0.0, 1, beat(11, 1, out=25), 30.0)
    s.divide(LEASE_S - 0.01, 30.0)
    assert s.share < 30.0
    s.divide(LEASE_S, 30.0)
    assert s.share == 30.0


def test_late_and_repeated_mail_is_dropped() -> None:
    s = Shares(3, 1)
    s.hear(0.0, 1, beat(11, 5, out=5), 30.0)
    s.hear(0.1, 1, beat(11, 4, out=25), 30.0)
    s.hear(0.2, 1, beat(11, 5, out=25), 30.0)
    assert s.peers[1].beat.out == 5
    assert s.peers[1].heard == 0.0


def test_restarted_peer_is_heard_and_its_former_life_is_not() -> None:
    s = Shares(3, 1)
    s.hear(0.0, 1, beat(11, 500, out=5), 30.0)
    s.hear(0.1, 1, beat(22, 1, out=7), 30.0)
    assert s.peers[1].beat.out == 7
    s.hear(0.2, 1, beat(11, 501, out=9), 30.0)
    assert s.peers[1].beat.out == 7


def test_malformed_mail_is_dropped() -> None:
    d = PolicyDriver()
    rng = random.Random(3)
    good = beat(11, 1)
    bad = [good[:n] for n in range(len(good))] + [b"D", b"D" + bytes(8) + b"123"]
    bad += [rng.randbytes(rng.randrange(257)) for _ in range(500)]
    bad += [HEARTBEAT_FORMAT.pack(b"B", 1, 1, x, 0, 1.0, 1.0) for x in (float("nan"), float("inf"), -1.0)]
    for data in bad:
        d.do(i.PeerMessage(1, data))
    assert d.policy.shares.peers == {}
    d.do(i.PeerMessage(7, good))  # nobody of this fleet
    assert 7 not in d.policy.shares.peers


def test_fleet_stays_below_its_ceiling_once_heartbeats_are_through() -> None:
    """Uneven demand that moves: shares sum to the ceiling, but for the floor of one slot each."""
    fleet = [Shares(3, 100 + n) for n in range(3)]
    wants = itertools.cycle([(90, 5, 5), (90, 5, 5), (90, 5, 5), (5, 90, 5), (5, 90, 5), (5, 5, 90)])
    for step in range(60):
        now = step * 0.5
        for s, wanted in zip(fleet, next(wants), strict=True):
            s.wanted = wanted
            s.settle(now, 0.5, 30.0)
            data = s.beat(30.0, int(min(s.share, 30.0)))
            for other in fleet:
                if other is not s:
                    other.hear(now, s.incarnation, data, 30.0)
        if step > 4:
            assert sum(s.share for s in fleet) <= 30.0 + 2.0


def test_alone_the_whole_ceiling_becomes_its_own() -> None:
    """Nobody was ever heard: an even part at first, the whole as the memory of a fleet fades."""
    d = PolicyDriver()
    limit = d.policy.ceiling.limit
    assert d.policy.shares.share == pytest.approx(limit / 3)
    for _ in range(400):
        d.serve(2, latency=0.01)
        d.tick(0.25)
    assert d.policy.shares.share == pytest.approx(d.policy.ceiling.limit)


def test_lapse_of_all_mail_leaves_each_side_about_its_part() -> None:
    s = Shares(3, 1)
    for n in range(20):
        s.wanted = 10.0
        s.settle(n * 0.5, 0.5, 30.0)
        for peer in (1, 2):
            s.hear(n * 0.5, peer, HEARTBEAT_FORMAT.pack(b"B", peer, n, 30.0, 5, 8.0, 20.0), 30.0)
    before = s.share
    s.wanted = 10.0
    s.settle(9.5 + 2 * LEASE_S, 0.5, 30.0)
    assert s.share <= 1.3 * before
    s.wanted = 60.0  # their callers come here: they are dead
    for n in range(20):
        s.wanted = 30.0
        s.settle(9.5 + 2 * LEASE_S + n * 0.5, 0.5, 30.0)
    assert s.share > 25.0


def test_who_restarts_takes_its_part_at_once() -> None:
    """Its peers have shared the whole ceiling out among them, and its demand would grow from nought: with the
    floor of one slot it refused most of its first seconds.
    """
    d = PolicyDriver()
    for peer in (1, 2):
        d.do(i.PeerMessage(peer, beat(peer, 1, limit=32.0, share=16.0)))
    assert d.policy.shares.share == pytest.approx(32 / 3)  # its demand is unknown: an even part
    for _ in range(5):
        for _ in range(2):
            d.sent()
        d.tick(0.1)
    assert d.policy.shares.demand == pytest.approx(20.0)  # the mean, not a tenth of it
    assert d.policy.shares.share == pytest.approx(32 / 2)  # of 40 a second in all
    d.tick(LEASE_S)
    d.do(i.PeerMessage(1, beat(1, 2, limit=32.0, share=30.0)))
    assert d.policy.shares.share <= 2.0  # from then on what peers reserve binds
