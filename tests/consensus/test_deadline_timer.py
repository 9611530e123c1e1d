"""The timer calls its callback by the last armed deadline, and never after it was cancelled."""

import asyncio
from collections.abc import Callable

import pytest

from pewterring.consensus.deadline_timer import DeadlineTimer
from tests.consensus.virtual_time import run


def call_times(arm: Callable[[DeadlineTimer], None]) -> list[float]:
    """Applies `arm` to a timer at time 0; returns the times of its calls within ten seconds."""
    times: list[float] = []

    async def scenario() -> None:
        clock = asyncio.get_running_loop().time
        timer = DeadlineTimer(clock, lambda: times.append(round(clock(), 6)))
        arm(timer)
        await asyncio.sleep(10.0)

    run(scenario())
    return times


@pytest.mark.parametrize(
    ("deadlines", "expected"),
    [
        ((None,), []),
        ((2.0,), [2.0]),
        ((-1.0,), [0.0]),
        ((2.0, 1.0), [1.0]),
        ((2.0, 3.0), [2.0]),  # too early: the callee arms it again
        ((2.0, None), [2.0]),
    ],
)
def test_the_timer_calls_once_by_the_earliest_deadline(
    deadlines: tuple[float | None, ...], expected: list[float]
) -> None:
    def arm(timer: DeadlineTimer) -> None:
        for deadline in deadlines:
            timer.arm(deadline)

    assert call_times(arm) == expected


def test_the_timer_does_not_call_after_it_was_cancelled() -> None:
    def arm(timer: DeadlineTimer) -> None:
        timer.arm(2.0)
        timer.cancel()

    assert call_times(arm) == []
