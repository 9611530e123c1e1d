"""Detects workers that become unresponsive during attempts, by checking all attempts periodically.

If a worker crashes or is partitioned from the network without closing its connections, its streams would
end only at their deadlines. A worker that still sends bytes of any answer counts as alive, however slow one
stream is.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from pewterring.routing.worker_state import WorkerState
from pewterring.transport.http_exchange import ExchangeError
from pewterring.transport.http_fetch import AnswerStream

CHECK_INTERVAL_S = 0.05
PROCESS_PAUSE_S = 3 * CHECK_INTERVAL_S  # a longer time between checks means this process was paused
MAX_PREFILL_ALLOWANCE_S = 0.5  # longest idle time that prefills at the worker can excuse
EXCESS_WAIT_FACTOR = 2.0  # waits over this multiple of the expected time to first byte are announced
EXCESS_WAIT_S = 0.05  # added to that threshold
TOKEN_GAP_FRACTION = 0.7  # idle time-out within a stream, as a fraction of the route's token gap target


class WorkerUnresponsiveError(ExchangeError):
    """The worker has sent nothing for longer than its idle time-out; the request may have run."""


@dataclass(slots=True, eq=False)
class WatchedAttempt:
    """One attempt in flight. `idle_timeout_s` is shortened after the first byte."""

    worker: WorkerState
    stream: AnswerStream
    idle_timeout_s: float
    active_at: float  # when the attempt was sent, or when this process last resumed after a pause
    may_retry: bool  # whether the request may be retried at another worker
    expected_s: float = math.inf  # expected time to first byte; infinite after the first byte
    announced_s: float = 0.0  # the waiting time at the last announcement
    failed_before: bool = False  # an earlier attempt of the request failed, perhaps because of the request

    def unannounced_wait_s(self, now: float) -> float:
        """Returns the waiting time beyond the expected one if it should be announced now, otherwise 0.

        A wait is announced once, and again each time it has doubled.
        """
        waited_s = now - self.active_at
        if waited_s < max(EXCESS_WAIT_FACTOR * self.expected_s + EXCESS_WAIT_S, 2 * self.announced_s):
            return 0.0
        self.announced_s = waited_s
        return waited_s - self.expected_s

    def is_overdue(self, now: float) -> bool:
        """Returns whether the worker has been idle for longer than the time-out plus its pending prefills.

        Without the allowance for prefills, streams were interrupted at workers that were busy with a long
        prefill, and other workers had to repeat the prefill of the interrupted requests.
        """
        heard_at = max(self.active_at, self.worker.last_byte_at)
        prefill_s = min(MAX_PREFILL_ALLOWANCE_S, self.worker.prefill_s_after(heard_at))
        return now - heard_at > self.idle_timeout_s + prefill_s

    def shows_worker_fault(self) -> bool:
        """Returns whether an overdue attempt counts as a failure of the worker.

        A request that has failed elsewhere may itself take too long everywhere. It makes no further worker
        suspect, unless that worker has failed for another request too.
        """
        return self.worker.has_failed or not self.failed_before


class StallDetector:
    """Owns the set of attempts in flight at this gateway.

    `announce_wait` is called with a worker at which a request waits too long, and the excess in seconds.
    """

    def __init__(self, announce_wait: Callable[[WorkerState, float], None] | None = None) -> None:
        self._announce_wait = announce_wait
        self._attempts: set[WatchedAttempt] = set()
        self._checked_at = -math.inf

    def add(self, attempt: WatchedAttempt) -> None:
        """Starts watching an attempt."""
        self._attempts.add(attempt)

    def remove(self, attempt: WatchedAttempt) -> None:
        """Stops watching an attempt."""
        self._attempts.discard(attempt)

    def check(self, now: float) -> None:
        """Marks unresponsive workers as suspect, and interrupts their attempts that may be retried."""
        was_paused = now - self._checked_at > PROCESS_PAUSE_S
        self._checked_at = now
        for attempt in list(self._attempts):
            if was_paused:
                attempt.active_at = now  # bytes that arrived during the pause are not read yet
            else:
                self._check_attempt(attempt, now)

    def _check_attempt(self, attempt: WatchedAttempt, now: float) -> None:
        wait_s = attempt.unannounced_wait_s(now)
        if wait_s:
            attempt.worker.expect_wait(now, wait_s)
            if self._announce_wait is not None:
                self._announce_wait(attempt.worker, wait_s)
        if not attempt.is_overdue(now):
            return
        if not attempt.worker.is_suspect(now) and attempt.shows_worker_fault():
            attempt.worker.mark_unresponsive(now)
        if attempt.may_retry:
            self._attempts.discard(attempt)
            attempt.stream.interrupt(WorkerUnresponsiveError("the worker is unresponsive"))
