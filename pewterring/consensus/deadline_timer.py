"""An event loop timer for the next deadline of the consensus core."""

import asyncio
from collections.abc import Callable


class DeadlineTimer:
    """Calls `on_due` at or before the last armed deadline; if it is too early, the callee arms it again.

    There is at most one pending timer, and it is only ever moved to an earlier time. Most messages postpone
    the deadline, and a new timer for each of them would cost more than one call that finds nothing due.
    """

    def __init__(self, clock: Callable[[], float], on_due: Callable[[], None]) -> None:
        self._clock = clock
        self._on_due = on_due
        self._handle: asyncio.TimerHandle | None = None
        self._due_at = 0.0

    def arm(self, deadline: float | None) -> None:
        """Schedules `on_due` for `deadline`, in seconds of the clock, or earlier; None changes nothing."""
        if deadline is None or (self._handle is not None and self._due_at <= deadline):
            return
        self.cancel()
        delay_s = max(0.0, deadline - self._clock())
        self._due_at = deadline
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._run)

    def cancel(self) -> None:
        """Cancels the pending call of `on_due`, if there is one."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _run(self) -> None:
        self._handle = None
        self._on_due()
