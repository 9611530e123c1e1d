"""Admission to one service: the design's ceiling, median and shares decide, and idle slots are lent."""

import random

import pytest

from pewterring.admission.service import IDLE_LENT, URGENT_SHARE, ServiceAdmission, SlotCeiling
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat
from pewterring.standalone.policy import interface as i

ROUTE = i.RequestClass("r", latency_target=100.0, deadline=100.0)


def admission(slots: int = 100, gateways: int = 4) -> ServiceAdmission:
    made = ServiceAdmission(1, gateways)
    made.rescale(0.0, slots, gateways)
    return made


def hear(to: ServiceAdmission, now: float, peer: int, **said: float) -> None:
    said = {"limit": 100.0, "out": 0, "share": 25.0, "demand": 10.0} | said
    beat = Heartbeat(peer, int(now * 10) + 1, said["limit"], int(said["out"]), said["share"], said["demand"])
    to.hear(now, peer, encode_heartbeat(beat))


def taken(by: ServiceAdmission) -> int:
    while by.acquire():
        pass
    return by.out


def test_refused_past_the_reserved_share_when_peers_have_the_rest_out() -> None:
    made = admission()
    for peer in (1, 2, 3):
        hear(made, 1.0, peer, out=25, share=25.0)
    made.tick(1.0)
    assert taken(made) <= 100 - 75 + 11  # the share, and what chance adds


def test_less_urgent_requests_leave_a_part_of_the_room_to_more_urgent_ones() -> None:
    made = admission(gateways=1)
    room = made.room
    while made.acquire(rank=1):
        pass
    assert made.out == pytest.approx((1 - URGENT_SHARE) * room, abs=1)
    assert not made.acquire(rank=2)
    assert taken(made) == pytest.approx(room, abs=1)


def test_in_overload_the_more_urgent_kind_is_served_first() -> None:
    """Both kinds ask twice as often as slots come free; the urgent one alone would fit."""
    made, rng = admission(gateways=1), random.Random(3)
    served, asked = [0, 0], [0, 0]
    ends: list[int] = []
    for step in range(4000):
        for _ in [end for end in ends if end == step]:
            made.release()
        ends = [end for end in ends if end > step]
        for rank in (0, 1):
            for _ in range(rng.choice((1, 2))):
                asked[rank] += 1
                if made.acquire(rank):
                    served[rank] += 1
                    ends.append(step + rng.randint(30, 60))
    assert served[0] / asked[0] > 0.95
    assert served[1] / asked[1] < served[0] / asked[0] - 0.2


def test_idle_slots_of_others_are_lent_in_part() -> None:
    busy, idle = admission(), admission()
    for peer in (1, 2, 3):
        hear(busy, 1.0, peer, out=25, share=25.0)
        hear(idle, 1.0, peer, out=0, share=25.0)
    assert taken(idle) >= taken(busy) + IDLE_LENT * 40


def test_the_lower_median_of_limits_is_the_ceiling_of_all() -> None:
    made = admission()
    for peer, limit in ((1, 10.0), (2, 12.0), (3, 90.0)):
        hear(made, 1.0, peer, limit=limit, share=0.0)
    assert made.whole == 12.0


def test_rising_ratios_lower_the_ceiling_and_with_it_what_is_admitted() -> None:
    calm, slow = admission(gateways=1), admission(gateways=1)
    rng = random.Random(5)
    for n in range(3000):
        ratio = rng.uniform(0.9, 1.1)
        calm.observe(n / 100, ROUTE, ratio)
        slow.observe(n / 100, ROUTE, ratio * (1.0 if n < 1000 else 20.0))
    for made in (calm, slow):
        made.rescale(31.0, 100, 1)
        made.tick(31.0)
    assert taken(slow) < 0.8 * taken(calm)


def test_the_ceiling_never_leaves_workers_idle_and_is_bounded_above() -> None:
    ceiling = SlotCeiling(1)
    ceiling.rescale(100.0, 100)
    for _ in range(5000):
        ceiling.observe(ROUTE, 1.0, 1e9)
    assert ceiling.limit == pytest.approx(SlotCeiling.MOST * 100)
    for n in range(5000):
        ceiling.observe(ROUTE, 50.0 + n, 1e9)
    assert ceiling.limit >= SlotCeiling.FLOOR * 100


def test_batch_items_reserve_nothing_of_the_share() -> None:
    made, other = admission(), admission()
    beat = encode_heartbeat(Heartbeat(9, 1, 100.0, 60, 0.0, 0.0))
    made.hear_batch(1.0, 9, beat)
    assert made.elsewhere(1.0) == 60
    assert taken(made) == taken(other)
