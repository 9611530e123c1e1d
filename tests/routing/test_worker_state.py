"""The state of a worker as one process sees it: failures, cached blocks and expected prefills."""

import pytest

from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.worker_state import MAX_SUSPECT_S, SUSPECT_S, WorkerState


def worker_state() -> WorkerState:
    return WorkerState(WorkerRecord("w1", "s", "10.0.0.1:80", "z", 4, "ready"), 0)


def suspect_for_s(state: WorkerState) -> float:
    """Seconds until the worker is no longer suspect, in steps of a quarter of a second."""
    return next(step / 4 for step in range(1000) if not state.is_suspect(step / 4))


def test_each_further_failure_doubles_the_suspect_time_up_to_its_maximum() -> None:
    state = worker_state()
    times_s = []
    for _ in range(6):
        state.record_failure(0.0)
        times_s.append(suspect_for_s(state))
    assert times_s == [SUSPECT_S, 2.0, 4.0, MAX_SUSPECT_S, MAX_SUSPECT_S, MAX_SUSPECT_S]


def test_a_worker_may_fail_any_number_of_times() -> None:
    state = worker_state()
    for _ in range(3000):
        state.record_failure(0.0)
    assert suspect_for_s(state) == MAX_SUSPECT_S
    state.record_success()
    assert not state.is_suspect(0.0)


BLOCKS = ((1, 100), (2, 10))


def test_an_unresponsive_worker_keeps_its_cached_blocks_and_recovers_with_its_next_byte() -> None:
    state = WorkerState(WorkerRecord("w1", "s", "10.0.0.1:80", "z", 4, "ready"), 1000)
    state.record_announced_prefill(0.0, 0.1, BLOCKS)
    state.mark_unresponsive(1.0)
    assert state.is_suspect(1.1)
    assert state.has_cached(1)
    state.record_byte(1.2)
    assert not state.is_suspect(1.2)
    assert state.has_cached(1)
    state.record_failure(2.0)
    state.record_byte(2.1)  # a byte of another attempt: the worker may have lost its cache when it failed
    assert state.is_suspect(2.1)
    assert not state.has_cached(1)


def test_expected_prefills_add_up_and_are_done_with_time() -> None:
    state = worker_state()
    state.expect_prefill(10.0, 0.2)
    state.record_announced_prefill(10.1, 0.3, ())
    assert state.prefill_s_after(10.1) == pytest.approx(0.4)
    assert state.prefill_s_after(11.0) == 0.0
    state.expect_prefill(12.0, 0.1)
    assert state.prefill_s_after(12.0) == pytest.approx(0.1)
