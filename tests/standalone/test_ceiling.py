"""The Gradient2 concurrency limit: its baseline, and what raises and lowers it."""

import pytest

from pewterring.admission.ceiling import Ceiling
from pewterring.standalone.policy import interface
from tests.standalone.helpers import CLASSES, SERVERS, PolicyDriver

PURE = CLASSES["pure"]


def ceiling_after(latency: float, count: int = 600, in_flight: float = 1e9) -> Ceiling:
    ceiling = Ceiling(3)
    ceiling.rescale(8.0, 8)
    for _ in range(count):
        ceiling.observe(PURE, latency, in_flight)
    return ceiling


def test_grows_while_latency_stays_low_and_the_fleet_is_busy() -> None:
    assert ceiling_after(0.05).limit > 2 * Ceiling.INITIAL_SLOTS * 8


def test_does_not_grow_while_the_fleet_is_idle() -> None:
    assert ceiling_after(0.05, in_flight=1.0).limit == Ceiling.INITIAL_SLOTS * 8


def test_shrinks_when_latency_rises_but_not_below_its_minimum() -> None:
    ceiling = ceiling_after(0.05)
    highest = ceiling.limit
    for _ in range(200):
        ceiling.observe(PURE, 0.9, 1e9)
    assert ceiling.limit < highest / 2
    for _ in range(5000):
        ceiling.observe(PURE, 0.9, 1e9)
    assert ceiling.limit >= Ceiling.MIN_SLOTS * 8


def test_baseline_drift_is_bounded_by_the_latency_target() -> None:
    """All servers are slow for so long that the window of the rolling minimum holds only slow means."""
    ceiling = ceiling_after(0.05)
    for _ in range(Ceiling.WINDOW_SAMPLES + 400):
        ceiling.observe(PURE, 0.9, 1e9)
    assert min(ceiling.recent_means["pure"]) > Ceiling.MAX_TARGET_SHARE * PURE.latency_target
    drifted = ceiling.limit
    for _ in range(500):
        ceiling.observe(PURE, 0.9, 1e9)
    assert ceiling.limit <= drifted


def test_single_fast_responses_do_not_set_the_baseline() -> None:
    ceiling = Ceiling(3)
    ceiling.rescale(8.0, 8)
    for count in range(640):
        ceiling.observe(PURE, 0.001 if count % 16 == 0 else 0.1, 1e9)
    assert min(ceiling.recent_means["pure"]) > 0.05


def test_scales_at_once_with_the_rating_of_the_listed_servers() -> None:
    ceiling = ceiling_after(0.05)
    before = ceiling.limit
    ceiling.rescale(4.0, 4)
    assert ceiling.limit == pytest.approx(before / 2)
    ceiling.rescale(0.0, 0)  # an empty list gives no number of slots
    assert ceiling.limit == pytest.approx(before / 2)


@pytest.mark.parametrize("code", [code for code in interface.Code if code != interface.Code.OK])
def test_only_successful_responses_count_as_latencies(code: interface.Code) -> None:
    """Errors may be fast, cancelled attempts end early, and a timeout concerns one server only."""
    driver = PolicyDriver()
    driver.end(driver.sent("once"), code, took=0.001)
    assert driver.policy.ceiling.count == {}


def test_requests_beyond_the_limit_are_rejected_at_once() -> None:
    driver = PolicyDriver()
    driver.policy.ceiling.limit = 3.0
    actions = [driver.ask()[0] for _ in range(5)]
    assert [type(action) for action in actions] == [interface.Send] * 3 + [interface.Refuse] * 2


def test_live_ratings_do_not_scale_the_ceiling() -> None:
    driver = PolicyDriver()
    assert driver.policy.pool.rating == len(SERVERS)


def test_large_fleets_adapt_as_fast_as_small_ones() -> None:
    """Each of twelve gateways sees a twelfth of the responses, and its limit moves as far."""
    single, one_of_twelve = Ceiling(1), Ceiling(12)
    for ceiling, count in ((single, 2400), (one_of_twelve, 200)):
        ceiling.rescale(8.0, 8)
        for _ in range(count):
            ceiling.observe(PURE, 0.05, 1e9)
    assert one_of_twelve.limit == pytest.approx(single.limit, rel=0.1)


def test_cancelled_attempts_do_not_hide_how_long_responses_take() -> None:
    """Guards against leaving slow attempts that were cancelled out of the usual latency.

    The usual latency then fell to a third, more attempts seemed unresponsive and were duplicated, and a
    fleet of forty stayed in that state, with a probe for every second request.
    """
    driver = PolicyDriver()
    driver.serve(40)
    for _ in range(60):
        first = driver.sent()
        driver.now += 1.5
        driver.do(interface.TimerDue(2))
        driver.end(first, interface.Code.CANCELLED, took=1.5)
    assert driver.policy.latency() > 0.8
