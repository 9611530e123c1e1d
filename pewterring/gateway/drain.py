"""The draining of a gateway after SIGTERM: which requests it still takes, when the last ones must end."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

ACCEPT_ALL_S = 3.0  # after SIGTERM; a later request counts as lost where the process cuts its answer
ACCEPT_ALL_FRACTION = 0.5  # of a shorter grace: what begins later may not have time to end
KILL_MARGIN_S = 0.7  # before the platform kills: for the last answers to leave
MIN_SERVING_FRACTION = 0.5  # of a short grace, for requests in flight
DRAIN_RETRY_AFTER_S = 0.02  # until a client that this process refuses as it ends may ask another gateway


class Drain:
    """Says what may begin, and ends in time what is in flight. Before `begin` it bounds nothing.

    Symptom answered: a request taken 6.9 s after SIGTERM, sent to a worker, cut at the end of the grace.
    """

    def __init__(self) -> None:
        self.ends_at = math.inf  # steady clock: what is in flight then is answered or cut
        self._accepts_all_until = math.inf
        self._timeouts: set[asyncio.Timeout] = set()

    def begin(self, now: float, grace_s: float) -> None:
        """Bounds all requests: SIGTERM came at `now`; the platform kills `grace_s` seconds later."""
        self.ends_at = now + max(MIN_SERVING_FRACTION * grace_s, grace_s - KILL_MARGIN_S)
        self._accepts_all_until = now + min(ACCEPT_ALL_S, ACCEPT_ALL_FRACTION * grace_s)
        for timeout in self._timeouts:
            when = timeout.when()
            if not timeout.expired() and (when is None or when > self.ends_at):
                timeout.reschedule(self.ends_at)

    def accepts(self, now: float, deadline: float) -> bool:
        """Returns whether a request may begin that is answered by `deadline` at the latest."""
        return now <= self._accepts_all_until or deadline <= self.ends_at

    @asynccontextmanager
    async def timeout_at(self, deadline: float) -> AsyncIterator[None]:
        """Bounds what runs inside by `deadline` and by a drain that begins meanwhile.

        Raises:
            TimeoutError: The deadline, or the end of the drain, has come.
        """
        until = min(deadline, self.ends_at)
        async with asyncio.timeout_at(until if math.isfinite(until) else None) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)
