"""Finds workers that have become unresponsive amid attempts, by checking all attempts periodically.

Symptom answered: a worker that is dead or cut off without a word. Its streams would only end at a deadline. A
worker that still sends bytes of any answer is alive, however slow one stream is.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from pewterring.routing.worker_state import WorkerState
from pewterring.transport.http_exchange import ExchangeError
from pewterring.transport.http_fetch import AnswerStream

CHECK_INTERVAL_S = 0.05  # between checks
PAUSED_S = 3 * CHECK_INTERVAL_S  # between checks: then this process itself was paused
MAX_PREFILL_ALLOWANCE_S = 0.5  # of a worker's idle time that its prefills may explain
EXCESS_WAIT_FACTOR = 2.0  # times the expected time to the first byte: from then on a wait is announced
EXCESS_WAIT_S = 0.05  # and this much besides
TOKEN_GAP_FRACTION = 0.7  # of the longest gap that a route allows: idle time-out amid a stream


class WorkerUnresponsiveError(ExchangeError):
    """The worker has sent nothing for longer than it should; the request may have run."""


@dataclass(slots=True, eq=False)
class WatchedAttempt:
    """One attempt in flight. `idle_timeout_s` changes with the first byte."""

    worker: WorkerState
    stream: AnswerStream
    idle_timeout_s: float
    active_at: float  # when it was sent, or this process was last paused
    may_retry: bool  # whether the request may go elsewhere
    expected_s: float = math.inf  # time to the first byte; infinite once it came
    announced_s: float = 0.0  # how long it had waited when that was last announced

    def unannounced_wait_s(self, now: float) -> float:
        """Returns how long it has waited beyond what was expected, if that is to be announced, else 0.

        It is announced once, and again each time that the wait has doubled.
        """
        waited_s = now - self.active_at
        if waited_s < max(EXCESS_WAIT_FACTOR * self.expected_s + EXCESS_WAIT_S, 2 * self.announced_s):
            return 0.0
        self.announced_s = waited_s
        return waited_s - self.expected_s

    def is_overdue(self, now: float) -> bool:
        """Returns whether the worker is idle for longer than the time-out and its prefills explain.

        Symptom answered: streams were taken away from workers that were busy with a long prefill, and the
        prefill of their own prompts was done again elsewhere.
        """
        heard_at = max(self.active_at, self.worker.last_byte_at)
        prefill_s = min(MAX_PREFILL_ALLOWANCE_S, self.worker.prefill_s_after(heard_at))
        return now - heard_at > self.idle_timeout_s + prefill_s


class StallDetector:
    """Owns the set of attempts in flight at this gateway.

    `announce_wait` is called with a worker at which a request waits too long, and the seconds beyond.
    """

    def __init__(self, announce_wait: Callable[[WorkerState, float], None] | None = None) -> None:
        self._announce_wait = announce_wait
        self._attempts: set[WatchedAttempt] = set()
        self._checked_at = -math.inf

    def add(self, attempt: WatchedAttempt) -> None:
        """Watches an attempt."""
        self._attempts.add(attempt)

    def remove(self, attempt: WatchedAttempt) -> None:
        """Watches an attempt no more."""
        self._attempts.discard(attempt)

    def check(self, now: float) -> None:
        """Interrupts the attempts at workers that are unresponsive, where they may go elsewhere."""
        was_paused = now - self._checked_at > PAUSED_S
        self._checked_at = now
        for attempt in list(self._attempts):
            if was_paused:
                attempt.active_at = now  # what came while this process was paused is not read yet
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
        if not attempt.worker.is_suspect(now):
            attempt.worker.mark_unresponsive(now)
        if attempt.may_retry:
            self._attempts.discard(attempt)
            attempt.stream.interrupt(WorkerUnresponsiveError("the worker is unresponsive"))
