"""Admission to one service: concurrency limit, shares and priorities decide, and idle slots are lent."""

import random

import pytest

from pewterring.admission.service import MAX_IDLE_FRACTION, URGENT_FRACTION, ServiceAdmission, SlotCeiling
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat
from pewterring.standalone.policy.interface import RequestClass

ROUTE = RequestClass("r", latency_target=100.0, deadline=100.0)


def new_admission(slots: int = 100, gateways: int = 4) -> ServiceAdmission:
    admission = ServiceAdmission(1, gateways)
    admission.rescale(0.0, slots, gateways)
    return admission


def send_heartbeat(to: ServiceAdmission, now: float, peer: int, **fields: float) -> None:
    fields = {"limit": 100.0, "out": 0, "share": 25.0, "demand": 10.0} | fields
    beat = Heartbeat(
        peer, int(now * 10) + 1, fields["limit"], int(fields["out"]), fields["share"], fields["demand"]
    )
    to.receive(now, peer, encode_heartbeat(beat))


def acquire_all(admission: ServiceAdmission) -> int:
    while admission.acquire():
        pass
    return admission.in_flight


def test_requests_beyond_the_share_are_rejected_when_peers_use_the_rest() -> None:
    admission = new_admission()
    for peer in (1, 2, 3):
        send_heartbeat(admission, 1.0, peer, out=25, share=25.0)
    admission.tick(1.0)
    assert acquire_all(admission) <= 100 - 75 + 11  # the share, and an allowance for chance variation


def test_less_urgent_requests_leave_free_capacity_to_more_urgent_ones() -> None:
    admission = new_admission(gateways=1)
    capacity = admission.capacity
    while admission.acquire(rank=1):
        pass
    assert admission.in_flight == pytest.approx((1 - URGENT_FRACTION) * capacity, abs=1)
    assert not admission.acquire(rank=2)
    assert acquire_all(admission) == pytest.approx(capacity, abs=1)


def test_in_overload_requests_of_the_more_urgent_priority_are_served_first() -> None:
    """Together both request twice as many slots as become free; the more urgent one alone would fit."""
    admission, rng = new_admission(gateways=1), random.Random(3)
    served, requested = [0, 0], [0, 0]
    ends: list[int] = []
    for step in range(4000):
        for _ in [end for end in ends if end == step]:
            admission.release()
        ends = [end for end in ends if end > step]
        for rank in (0, 1):
            for _ in range(rng.choice((1, 2))):
                requested[rank] += 1
                if admission.acquire(rank):
                    served[rank] += 1
                    ends.append(step + rng.randint(30, 60))
    assert served[0] / requested[0] > 0.95
    assert served[1] / requested[1] < served[0] / requested[0] - 0.2


def test_some_idle_slots_of_peers_are_lent() -> None:
    busy, idle = new_admission(), new_admission()
    for peer in (1, 2, 3):
        send_heartbeat(busy, 1.0, peer, out=25, share=25.0)
        send_heartbeat(idle, 1.0, peer, out=0, share=25.0)
    assert acquire_all(idle) >= acquire_all(busy) + MAX_IDLE_FRACTION * 40


def test_the_common_limit_is_the_lower_median_of_all_limits() -> None:
    admission = new_admission()
    for peer, limit in ((1, 10.0), (2, 12.0), (3, 90.0)):
        send_heartbeat(admission, 1.0, peer, limit=limit, share=0.0)
    assert admission.fleet_limit == 12.0


def test_rising_latency_ratios_lower_the_limit_and_the_number_of_admitted_requests() -> None:
    steady, slow = new_admission(gateways=1), new_admission(gateways=1)
    rng = random.Random(5)
    for index in range(3000):
        ratio = rng.uniform(0.9, 1.1)
        steady.observe(index / 100, ROUTE, ratio)
        slow.observe(index / 100, ROUTE, ratio * (1.0 if index < 1000 else 20.0))
    for admission in (steady, slow):
        admission.rescale(31.0, 100, 1)
        admission.tick(31.0)
    assert acquire_all(slow) < 0.8 * acquire_all(steady)


def test_the_limit_is_bounded_below_and_above_by_the_number_of_slots() -> None:
    ceiling = SlotCeiling(1)
    ceiling.rescale(100.0, 100)
    for _ in range(5000):
        ceiling.observe(ROUTE, 1.0, 1e9)
    assert ceiling.limit == pytest.approx(SlotCeiling.MAX_SLOTS * 100)
    for step in range(5000):
        ceiling.observe(ROUTE, 50.0 + step, 1e9)
    assert ceiling.limit >= SlotCeiling.MIN_SLOTS * 100


def test_batch_items_do_not_reduce_the_share() -> None:
    admission, unaffected = new_admission(), new_admission()
    beat = encode_heartbeat(Heartbeat(9, 1, 100.0, 60, 0.0, 0.0))
    admission.receive_batch(1.0, 9, beat)
    assert admission.peers_in_flight(1.0) == 60
    assert acquire_all(admission) == acquire_all(unaffected)
