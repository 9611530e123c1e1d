"""Detection of pauses of this process: what waited in its sockets meanwhile must not be taken as new.

A process that was stopped, swapped out or frozen with its machine reads calls afterwards whose callers were
answered elsewhere, or gave up, long ago. What may go wrong: a pause shorter than `PAUSE_THRESHOLD_S` is not
noticed; the caller of such a call still waits for its answer.
"""

import asyncio
from collections.abc import Callable

CHECK_INTERVAL_S = 0.1  # far below the threshold, so that a busy event loop is not taken for a pause
PAUSE_THRESHOLD_S = 0.9  # a call that waited for less is still waited for by its caller
# For so long after a pause what is read may be of before: a connection is accepted in one turn of the event
# loop and read in a later one.
PAUSE_GRACE_S = 0.2


class PauseDetector:
    """Compares the time of a check with that of the one before; `run` checks again and again.

    Input is handled before timers in each turn of the event loop: what waited in the sockets is read before
    the check that is overdue, and `was_paused` sees that it is.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._checked_at = clock()
        self._grace_ends_at = self._checked_at

    def was_paused(self) -> bool:
        """Whether what is read now may have waited for longer than its caller does."""
        now = self._clock()
        if now - self._checked_at > PAUSE_THRESHOLD_S:
            self._grace_ends_at = now + PAUSE_GRACE_S
        self._checked_at = now
        return now < self._grace_ends_at

    async def run(self) -> None:
        """Checks until it is cancelled."""
        while True:
            self.was_paused()
            await asyncio.sleep(CHECK_INTERVAL_S)
