"""Finds workers that have gone silent in the middle of attempts, by looking at all attempts now and then.

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
OVERDUE_S = 3 * CHECK_INTERVAL_S
MOST_READING_S = 0.5  # of the silence of a worker that prompts it has to read may explain
LATE_FACTOR = 2.0  # times the expected time to the first byte: from then on a wait is told of
LATE_S = 0.05  # and this much besides
GAP_SHARE = 0.7  # of the longest pause that a route allows: silence of a worker in the middle of streams


class WorkerSilent(ExchangeError):
    """The worker has said nothing for longer than it should; the request may have run."""


@dataclass(slots=True, eq=False)
class WatchedAttempt:
    """One attempt out. `patience_s` is the silence borne now; it changes with the first byte."""

    worker: WorkerState
    stream: AnswerStream
    patience_s: float
    since: float  # when it was sent, or its last byte came
    repeatable: bool  # whether the request may go elsewhere
    expected_s: float = math.inf  # time to the first byte; infinite once it came
    told_s: float = 0.0  # how long it had waited when that was last told

    def untold_wait(self, now: float) -> float:
        """Seconds that it has waited beyond what was expected, if that is to be told: it is, and again each
        time that it has doubled.
        """
        waited_s = now - self.since
        if waited_s < max(LATE_FACTOR * self.expected_s + LATE_S, 2 * self.told_s):
            return 0.0
        self.told_s = waited_s
        return waited_s - self.expected_s

    def is_overdue(self, now: float) -> bool:
        """Whether the worker is silent for longer than patience and the prompts that it reads explain.

        Symptom answered: streams were taken away from workers that were reading a long prompt, and their own
        prompts read anew elsewhere.
        """
        heard_at = max(self.since, self.worker.heard_at)
        reading_s = min(MOST_READING_S, self.worker.reading_after(heard_at))
        return now - heard_at > self.patience_s + reading_s


class StallWatch:
    """All attempts out at this gateway. `tell_wait` is told of workers at which requests wait too long."""

    def __init__(
        self, tell_wait: Callable[[WorkerState, float], None] = lambda worker, seconds: None
    ) -> None:
        self._tell_wait = tell_wait
        self._attempts: set[WatchedAttempt] = set()
        self._checked_at = -math.inf

    def add(self, attempt: WatchedAttempt) -> None:
        """Watches an attempt."""
        self._attempts.add(attempt)

    def remove(self, attempt: WatchedAttempt) -> None:
        """Its end."""
        self._attempts.discard(attempt)

    def check(self, now: float) -> None:
        """Interrupts the attempts at workers that are silent for too long, where they may go elsewhere."""
        late = now - self._checked_at > OVERDUE_S
        self._checked_at = now
        for attempt in list(self._attempts):
            if late:
                attempt.since = now  # this process stood still itself: what came meanwhile is not read yet
                continue
            wait_s = attempt.untold_wait(now)
            if wait_s:
                attempt.worker.expect_wait(now, wait_s)
                self._tell_wait(attempt.worker, wait_s)
            if not attempt.is_overdue(now):
                continue
            if not attempt.worker.suspect(now):
                attempt.worker.fell_silent(now)
            if attempt.repeatable:
                self._attempts.discard(attempt)
                attempt.stream.interrupt(WorkerSilent("the worker is silent"))
