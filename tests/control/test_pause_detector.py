"""A pause of the process is detected at the next check, and counts for a grace period after it."""

from pewterring.control.pause_detector import PAUSE_GRACE_S, PAUSE_THRESHOLD_S, PauseDetector

MARGIN_S = 0.01
PAUSE_S = 20.0


def test_a_pause_is_detected_and_ends_after_the_grace_period() -> None:
    now = 5.0
    detector = PauseDetector(lambda: now)
    for step, was_paused in (
        (0.0, False),
        (PAUSE_THRESHOLD_S - MARGIN_S, False),
        (PAUSE_THRESHOLD_S + MARGIN_S, True),
        (PAUSE_GRACE_S - MARGIN_S, True),
        (2 * MARGIN_S, False),
        (PAUSE_S, True),
        (PAUSE_THRESHOLD_S - MARGIN_S, False),
    ):
        now += step
        assert detector.was_paused() == was_paused, now
