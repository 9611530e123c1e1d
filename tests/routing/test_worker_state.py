"""What one process comes to think of one worker."""

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
