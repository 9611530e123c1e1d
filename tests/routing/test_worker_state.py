"""What one process comes to think of one worker."""

import pytest

from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.worker_state import SUSPECT_MOST_S, SUSPECT_S, WorkerState


def worker_state() -> WorkerState:
    return WorkerState(WorkerRecord("w1", "s", "10.0.0.1:80", "z", 4, "ready"), 0)


def suspect_for_s(state: WorkerState) -> float:
    """For how long it is kept away from, in steps of a quarter of a second."""
    return next(step / 4 for step in range(1000) if not state.suspect(step / 4))


def test_each_further_failure_doubles_the_time_away_up_to_the_most() -> None:
    state = worker_state()
    seen = []
    for _ in range(6):
        state.failed(0.0)
        seen.append(suspect_for_s(state))
    assert seen == [SUSPECT_S, 2.0, 4.0, SUSPECT_MOST_S, SUSPECT_MOST_S, SUSPECT_MOST_S]


def test_a_worker_may_fail_any_number_of_times() -> None:
    state = worker_state()
    for _ in range(3000):
        state.failed(0.0)
    assert suspect_for_s(state) == SUSPECT_MOST_S
    state.answered()
    assert not state.suspect(0.0)


PARTS = ((1, 100), (2, 10))


def test_a_worker_that_fell_silent_keeps_its_parts_and_is_trusted_once_it_is_heard() -> None:
    state = WorkerState(WorkerRecord("w1", "s", "10.0.0.1:80", "z", 4, "ready"), 1000)
    state.announce(0.0, 0.1, PARTS)
    state.fell_silent(1.0)
    assert state.suspect(1.1)
    assert state.keeps(1)
    state.heard(1.2)
    assert not state.suspect(1.2)
    assert state.keeps(1)
    state.failed(2.0)
    state.heard(2.1)  # it answers another attempt: what failed may have lost what it kept
    assert state.suspect(2.1)
    assert not state.keeps(1)


def test_prompts_to_read_add_up_and_are_read_in_time() -> None:
    state = worker_state()
    state.expect_reading(10.0, 0.2)
    state.announce(10.1, 0.3, ())
    assert state.reading_after(10.1) == pytest.approx(0.4)
    assert state.reading_after(11.0) == 0.0
    state.expect_reading(12.0, 0.1)
    assert state.reading_after(12.0) == pytest.approx(0.1)
