"""Drain of a gateway after SIGTERM: which requests it still accepts, and when the last ones must end."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# After SIGTERM every request is accepted for this time. A request accepted later counts as lost if the
# process ends before its answer is complete, so it is accepted only if its deadline is early enough.
ACCEPT_ALL_S = 3.0
ACCEPT_ALL_FRACTION = 0.5  # upper bound of that time, as a fraction of the grace period
KILL_MARGIN_S = 0.7  # reserved at the end of the grace period for sending the last answers
MIN_SERVING_FRACTION = 0.5  # of the grace period: the margin leaves at least this for requests in flight
DRAIN_RETRY_AFTER_S = 0.02  # sent with a refusal; a retry goes to another gateway


class Drain:
    """Decides which requests may begin, and ends those in flight in time. Without effect before `begin`.

    Without it, a request that arrived 6.9 s after SIGTERM was sent to a worker, and its answer was aborted at
    the end of the grace period.
    """

    def __init__(self) -> None:
        self.ends_at = math.inf  # monotonic time at which requests in flight are answered or aborted
        self._accepts_all_until = math.inf
        self._timeouts: set[asyncio.Timeout] = set()

    def begin(self, now: float, grace_s: float) -> None:
        """Starts the drain: SIGTERM arrived at `now`, and SIGKILL follows `grace_s` seconds later."""
        self.ends_at = now + max(MIN_SERVING_FRACTION * grace_s, grace_s - KILL_MARGIN_S)
        self._accepts_all_until = now + min(ACCEPT_ALL_S, ACCEPT_ALL_FRACTION * grace_s)
        for timeout in self._timeouts:
            when = timeout.when()
            if not timeout.expired() and (when is None or when > self.ends_at):
                timeout.reschedule(self.ends_at)

    def accepts(self, now: float, deadline: float) -> bool:
        """Returns whether a request may begin at `now` if it will be answered by `deadline` at the latest."""
        return now <= self._accepts_all_until or deadline <= self.ends_at

    @asynccontextmanager
    async def timeout_at(self, deadline: float) -> AsyncIterator[None]:
        """Cancels the body of the context at `deadline`, or at the end of a drain if that is earlier.

        Raises:
            TimeoutError: The deadline or the end of the drain was reached.
        """
        until = min(deadline, self.ends_at)
        async with asyncio.timeout_at(until if math.isfinite(until) else None) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)
