"""Gradient2, its baseline and what moves it."""

import pytest

from pewterring.admission.ceiling import Ceiling
from pewterring.standalone.policy import interface as i
from tests.standalone.helpers import CLASSES, SERVERS, PolicyDriver

PURE = CLASSES["pure"]


def grown(latency: float, count: int = 600, out: float = 1e9) -> Ceiling:
    c = Ceiling(3)
    c.rescale(8.0, 8)
    for _ in range(count):
        c.observe(PURE, latency, out)
    return c


def test_grows_while_latency_stays_low_and_the_fleet_is_busy() -> None:
    assert grown(0.05).limit > 2 * Ceiling.START * 8


def test_does_not_grow_while_the_fleet_is_idle() -> None:
    assert grown(0.05, out=1.0).limit == Ceiling.START * 8


def test_shrinks_when_latency_rises_and_keeps_the_floor() -> None:
    c = grown(0.05)
    high = c.limit
    for _ in range(200):
        c.observe(PURE, 0.9, 1e9)
    assert c.limit < high / 2
    for _ in range(5000):
        c.observe(PURE, 0.9, 1e9)
    assert c.limit >= Ceiling.FLOOR * 8


def test_baseline_may_not_drift_past_the_aim() -> None:
    """All servers slow for so long that the rolling minimum holds slow means alone."""
    c = grown(0.05)
    for _ in range(Ceiling.WINDOW + 400):
        c.observe(PURE, 0.9, 1e9)
    assert min(c.lows["pure"]) > Ceiling.AIM_SHARE * PURE.latency_target
    low = c.limit
    for _ in range(500):
        c.observe(PURE, 0.9, 1e9)
    assert c.limit <= low


def test_single_fast_answers_do_not_make_the_baseline() -> None:
    c = Ceiling(3)
    c.rescale(8.0, 8)
    for n in range(640):
        c.observe(PURE, 0.001 if n % 16 == 0 else 0.1, 1e9)
    assert min(c.lows["pure"]) > 0.05


def test_follows_the_serving_rating_at_once() -> None:
    c = grown(0.05)
    before = c.limit
    c.rescale(4.0, 4)
    assert c.limit == pytest.approx(before / 2)
    c.rescale(0.0, 0)  # an empty list says nothing of slots
    assert c.limit == pytest.approx(before / 2)


@pytest.mark.parametrize("code", [c for c in i.Code if c != i.Code.OK])
def test_only_good_answers_are_latencies(code: i.Code) -> None:
    """A fast error is no good latency, a cancel no slow one, a time-out belongs to its server."""
    d = PolicyDriver()
    d.end(d.sent("once"), code, took=0.001)
    assert d.policy.ceiling.count == {}


def test_past_the_ceiling_is_refused_at_once() -> None:
    d = PolicyDriver()
    d.policy.ceiling.limit = 3.0
    answers = [d.ask()[0] for _ in range(5)]
    assert [type(a) for a in answers] == [i.Send] * 3 + [i.Refuse] * 2


def test_live_ratings_do_not_scale_the_ceiling() -> None:
    d = PolicyDriver()
    assert d.policy.pool.rating == len(SERVERS)


def test_large_fleets_adapt_as_fast_as_small_ones() -> None:
    """Of the same answers each of twelve gatekeepers sees a twelfth, and its ceiling moves as far."""
    lone, one_of_twelve = Ceiling(1), Ceiling(12)
    for c, count in ((lone, 2400), (one_of_twelve, 200)):
        c.rescale(8.0, 8)
        for _ in range(count):
            c.observe(PURE, 0.05, 1e9)
    assert one_of_twelve.limit == pytest.approx(lone.limit, rel=0.1)


def test_copies_that_win_do_not_hide_how_long_answers_take() -> None:
    """The slow attempts were cancelled and left out: the usual latency fell to a third, more attempts looked
    silent and got copies, and a fleet of forty stayed so, with a probe for every second request.
    """
    d = PolicyDriver()
    d.serve(40)
    for _ in range(60):
        first = d.sent()
        d.now += 1.5
        d.do(i.TimerDue(2))
        d.end(first, i.Code.CANCELLED, took=1.5)
    assert d.policy.latency() > 0.8
