"""The event loop's timer for the consensus core's next deadline."""

import asyncio
from collections.abc import Callable


class DeadlineTimer:
    """Calls `on_due` at or before the deadline that was armed last; who is called early arms it again.

    One timer stands at a time, and it moves only to an earlier time: deadlines mostly move on with each
    message, and a new timer for each would cost more than one call that finds nothing due.
    """

    def __init__(self, clock: Callable[[], float], on_due: Callable[[], None]) -> None:
        self._clock = clock
        self._on_due = on_due
        self._handle: asyncio.TimerHandle | None = None
        self._due_at = 0.0

    def arm(self, deadline: float | None) -> None:
        """Has `on_due` called by `deadline`, in seconds of the clock; None asks for nothing."""
        if deadline is None or (self._handle is not None and self._due_at <= deadline):
            return
        self.cancel()
        delay_s = max(0.0, deadline - self._clock())
        self._due_at = deadline
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._run)

    def cancel(self) -> None:
        """Calls nobody until it is armed again."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _run(self) -> None:
        self._handle = None
        self._on_due()
