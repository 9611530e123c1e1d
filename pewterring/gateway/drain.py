"""The end of a gateway's life after SIGTERM: which requests are still taken, when the last ones must end."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

LATE_S = 3.0  # after SIGTERM; a request that comes later counts as lost where the process cuts its answer
LATE_SHARE = 0.5  # of the grace, where that is shorter: what begins later may not have the time to end
KILL_MARGIN_S = 0.7  # before the platform kills: for the last answers to leave
LEAST_SHARE = 0.5  # of a short grace, for what is held


class Drain:
    """Says what may begin, and ends in time what is held. Before `begin` it bounds nothing.

    Symptom answered: a request taken 6.9 s after SIGTERM, sent to a worker, cut at the end of the grace.
    """

    def __init__(self) -> None:
        self.ends_at = math.inf  # steady clock: what is held then is answered or cut
        self._late_at = math.inf
        self._timeouts: set[asyncio.Timeout] = set()

    def begin(self, now: float, grace_s: float) -> None:
        """SIGTERM came at `now`; the platform kills `grace_s` later."""
        self.ends_at = now + max(LEAST_SHARE * grace_s, grace_s - KILL_MARGIN_S)
        self._late_at = now + min(LATE_S, LATE_SHARE * grace_s)
        for timeout in self._timeouts:
            when = timeout.when()
            if not timeout.expired() and (when is None or when > self.ends_at):
                timeout.reschedule(self.ends_at)

    def accepts(self, now: float, deadline: float) -> bool:
        """Whether a request may begin that is answered by `deadline` at the latest."""
        return now <= self._late_at or deadline <= self.ends_at

    @asynccontextmanager
    async def timeout_at(self, deadline: float) -> AsyncIterator[None]:
        """Raises TimeoutError at `deadline`, or at the end of a drain that begins meanwhile."""
        until = min(deadline, self.ends_at)
        async with asyncio.timeout_at(until if math.isfinite(until) else None) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)
