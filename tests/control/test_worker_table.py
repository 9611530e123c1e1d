"""The committed workers: at most one per address, and none with a departed id."""

import pytest

from pewterring.control.commands import Accepted, PutWorker, RemoveWorkers
from pewterring.control.state import ControlState
from tests.control.records import apply, worker

REPEATED = Accepted(repeated=True)


def test_a_worker_replaces_the_one_at_its_address() -> None:
    state = ControlState()
    apply(state, PutWorker(worker("i-1")))
    apply(state, PutWorker(worker("i-2")))
    assert set(state.workers) == {"i-2"}
    assert not state.departed


def test_a_worker_that_moved_releases_its_old_address() -> None:
    state = ControlState()
    apply(state, PutWorker(worker("i-1", "10.0.0.1:80")))
    apply(state, PutWorker(worker("i-1", "10.0.0.2:80")))
    apply(state, PutWorker(worker("i-2", "10.0.0.1:80")))
    assert set(state.workers) == {"i-1", "i-2"}


def test_a_draining_worker_does_not_become_ready_again() -> None:
    state = ControlState()
    apply(state, PutWorker(worker("i-1", state="draining")))
    assert apply(state, PutWorker(worker("i-1"))) == REPEATED
    assert state.workers["i-1"].state == "draining"


@pytest.mark.parametrize(("state_of_worker", "permanent"), [("draining", False), ("ready", True)])
def test_a_departed_worker_is_never_registered_again(state_of_worker: str, permanent: bool) -> None:
    state = ControlState()
    apply(state, PutWorker(worker("i-1", state=state_of_worker)))
    apply(state, RemoveWorkers(("i-1",), permanent))
    assert apply(state, PutWorker(worker("i-1"))) == REPEATED
    assert not state.workers


def test_a_removed_ready_worker_may_register_again() -> None:
    state = ControlState()
    apply(state, PutWorker(worker("i-1")))
    apply(state, RemoveWorkers(("i-1",)))
    assert apply(state, PutWorker(worker("i-1"))) == Accepted()
    assert set(state.workers) == {"i-1"}


def test_the_oldest_departures_are_forgotten_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pewterring.control.worker_table.REMEMBERED_DEPARTURES", 2)
    state = ControlState()
    apply(state, RemoveWorkers(("i-1", "i-2", "i-3"), permanent=True))
    assert list(state.departed) == ["i-2", "i-3"]
