"""Detects pauses of this process, because data that waited in its sockets meanwhile must not count as new.

A process that was stopped, swapped out or frozen with its machine afterwards reads calls whose callers have
long got an answer elsewhere or given up. Pauses shorter than `PAUSE_THRESHOLD_S` are not detected; they are
harmless, because the callers are still waiting.
"""

import asyncio
from collections.abc import Callable

CHECK_INTERVAL_S = 0.1  # far below the threshold, so that a busy event loop is not taken for a pause
PAUSE_THRESHOLD_S = 0.9  # callers wait at least this long for an answer
# Time after a pause in which data read may have arrived before or during it: a connection is accepted in one
# iteration of the event loop and read in a later one.
PAUSE_GRACE_S = 0.2


class PauseDetector:
    """Detects a pause by a long gap between two checks; `run` checks periodically.

    Each iteration of the event loop handles input before timers, so after a pause the data in the sockets is
    read before `run` makes its overdue check. `was_paused`, called when the data is read, detects the gap.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._checked_at = clock()
        self._grace_ends_at = self._checked_at

    def was_paused(self) -> bool:
        """Whether data read now may have waited in the sockets for longer than its caller does."""
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
