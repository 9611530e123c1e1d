"""Notices that the process stood still, so that what waited in its sockets meanwhile is not taken for new."""

import asyncio
from collections.abc import Callable

CHECK_INTERVAL_S = 0.1
STOOD_STILL_S = 0.9  # a call that waited for less is still waited for by its caller
# For so long after a standstill what is read may be of before: a connection is accepted in one turn of the
# event loop and read in a later one.
SETTLE_S = 0.2


class StandstillWatch:
    """Compares the time of a check with that of the one before; `run` checks again and again.

    Input is handled before timers in each turn of the event loop: what waited in the sockets is read before
    the check that is overdue, and `held_up` sees that it is.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._checked_at = clock()
        self._settled_at = self._checked_at

    def held_up(self) -> bool:
        """Whether what is read now may have waited for longer than its caller does."""
        now = self._clock()
        if now - self._checked_at > STOOD_STILL_S:
            self._settled_at = now + SETTLE_S
        self._checked_at = now
        return now < self._settled_at

    async def run(self) -> None:
        """Checks until it is cancelled."""
        while True:
            self.held_up()
            await asyncio.sleep(CHECK_INTERVAL_S)
