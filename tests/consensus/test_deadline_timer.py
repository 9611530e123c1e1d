"""The timer calls by the deadline that was armed last, and never after it was cancelled."""

import asyncio
from collections.abc import Callable

import pytest

from pewterring.consensus.deadline_timer import DeadlineTimer
from tests.consensus.virtual_time import run


def called_at(arm: Callable[[DeadlineTimer], None]) -> list[float]:
    """When the timer calls within ten seconds, if it is armed so at 0."""
    called: list[float] = []

    async def scenario() -> None:
        clock = asyncio.get_running_loop().time
        timer = DeadlineTimer(clock, lambda: called.append(round(clock(), 6)))
        arm(timer)
        await asyncio.sleep(10.0)

    run(scenario())
    return called


@pytest.mark.parametrize(
    ("deadlines", "expected"),
    [
        ((None,), []),
        ((2.0,), [2.0]),
        ((-1.0,), [0.0]),
        ((2.0, 1.0), [1.0]),
        ((2.0, 3.0), [2.0]),  # early: who is called arms it again
        ((2.0, None), [2.0]),
    ],
)
def test_it_calls_once_by_the_earliest_deadline(
    deadlines: tuple[float | None, ...], expected: list[float]
) -> None:
    def arm(timer: DeadlineTimer) -> None:
        for deadline in deadlines:
            timer.arm(deadline)

    assert called_at(arm) == expected


def test_it_does_not_call_once_it_is_cancelled() -> None:
    def arm(timer: DeadlineTimer) -> None:
        timer.arm(2.0)
        timer.cancel()

    assert called_at(arm) == []
