"""How long a worker's silence is borne."""

import math
from typing import cast

import pytest

from pewterring.distribution.messages import WorkerRecord
from pewterring.gateway.stall_detector import (
    CHECK_INTERVAL_S,
    MAX_PREFILL_ALLOWANCE_S,
    StallDetector,
    WatchedAttempt,
    WorkerUnresponsiveError,
)
from pewterring.routing.worker_state import WorkerState
from pewterring.transport.http_fetch import AnswerStream

PATIENCE_S = 0.2
EXPECTED_S = 0.1


class Stream:
    """Notes why it was interrupted."""

    def __init__(self) -> None:
        self.error: Exception | None = None

    def interrupt(self, error: Exception) -> None:
        self.error = error


class Watched:
    """One attempt at a worker under a watch."""

    def __init__(self, repeatable: bool = True) -> None:
        self.worker = WorkerState(WorkerRecord("w1", "s", "10.0.0.1:80", "z", 4, "ready"), 1000)
        self.stream = Stream()
        self.announced: list[tuple[float, float]] = []  # when, and what wait
        self.watch = StallDetector(lambda _worker, seconds: self.announced.append((self.now, seconds)))
        stream = cast(AnswerStream, self.stream)
        self.attempt = WatchedAttempt(self.worker, stream, PATIENCE_S, 0.0, repeatable, EXPECTED_S)
        self.watch.add(self.attempt)
        self.now = 0.0
        self.watch.check(self.now)

    def interrupted_at(self, until: float = 3.0) -> float | None:
        """When the watch takes the attempt away."""
        while self.now < until:
            self.now = round(self.now + CHECK_INTERVAL_S, 6)
            self.watch.check(self.now)
            if self.stream.error is not None:
                assert isinstance(self.stream.error, WorkerUnresponsiveError)
                return self.now
        return None


def test_an_unresponsive_worker_loses_its_attempt_and_its_trust() -> None:
    watched = Watched()
    watched.worker.record_announced_prefill(0.0, 0.0, ((1, 100),))
    assert watched.interrupted_at() == pytest.approx(PATIENCE_S + CHECK_INTERVAL_S)
    assert watched.worker.is_suspect(watched.now)
    assert watched.worker.has_cached(1)


def test_what_may_not_run_twice_stays_where_it_is() -> None:
    watched = Watched(repeatable=False)
    assert watched.interrupted_at(1.0) is None
    assert watched.worker.is_suspect(watched.now)


def test_prefills_explain_that_it_is_idle() -> None:
    watched = Watched()
    watched.worker.expect_prefill(0.0, 0.3)
    assert watched.interrupted_at() == pytest.approx(PATIENCE_S + 0.3 + CHECK_INTERVAL_S)


def test_prefills_explain_a_bounded_idle_time() -> None:
    watched = Watched()
    watched.worker.expect_prefill(0.0, 60.0)
    assert watched.interrupted_at() == pytest.approx(PATIENCE_S + MAX_PREFILL_ALLOWANCE_S + CHECK_INTERVAL_S)


def test_a_byte_of_any_answer_restarts_the_idle_timeout() -> None:
    watched = Watched()
    watched.worker.record_byte(0.2)
    assert watched.interrupted_at() == pytest.approx(0.2 + PATIENCE_S + CHECK_INTERVAL_S)


def test_a_wait_beyond_what_was_expected_is_announced_again_as_it_doubles() -> None:
    watched = Watched(repeatable=False)
    watched.interrupted_at(1.3)
    moments = [moment for moment, _ in watched.announced]
    assert moments == pytest.approx([0.25, 0.5, 1.0])
    assert [seconds for _, seconds in watched.announced] == pytest.approx([0.15, 0.4, 0.9])
    assert watched.worker.unexplained_wait_s(1.3) == pytest.approx(0.6)


def test_nothing_is_announced_once_the_first_byte_came() -> None:
    watched = Watched(repeatable=False)
    watched.attempt.expected_s = math.inf
    watched.interrupted_at(1.3)
    assert watched.announced == []
