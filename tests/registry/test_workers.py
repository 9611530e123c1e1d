"""Changes of committed worker records that follow from heartbeats and timeouts."""

from hypothesis import given
from hypothesis import strategies as st

from pewterring.control.commands import MarkWorkersUnresponsive, PutWorker, RemoveWorkers, encode_command
from pewterring.control.state import ControlState
from pewterring.distribution.messages import WorkerRecord
from pewterring.registry.heartbeats import Heartbeat
from pewterring.registry.workers import SLOWEST_CALL_FACTOR, UnresponsiveWorkers, WorkerRegistry

PERIOD_S = 1.0
STEP_S = 0.25


class Fleet:
    """A registry whose changes are committed immediately."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.registry = self.new_leader(0.0)

    def new_leader(self, now: float) -> WorkerRegistry:
        self.registry = WorkerRegistry(self.state.workers, self.state.departed, PERIOD_S)
        self.registry.restart_timeouts(now)
        return self.registry

    def heartbeat(
        self, now: float, worker_id: str, sequence: int, state: str = "ready", address: str = "10.0.0.1:80"
    ) -> bool:
        """Sends a heartbeat to the registry; returns whether it changed a committed record."""
        heartbeat = Heartbeat("search", address, "a", state=state, sequence=sequence, capacity=4)
        record = self.registry.observe(now, worker_id, heartbeat)
        if record is not None:
            self.state.apply(0, encode_command(PutWorker(record)))
        return record is not None

    def remove(self, *ids: str, permanent: bool = False) -> None:
        self.state.apply(0, encode_command(RemoveWorkers(ids, permanent)))

    def run(self, start: float, end: float) -> UnresponsiveWorkers:
        """Checks periodically until there are unresponsive workers, and returns them."""
        now = start
        while now <= end:
            unresponsive = self.registry.unresponsive_workers(now)
            if unresponsive != UnresponsiveWorkers():
                return unresponsive
            now += STEP_S
        return UnresponsiveWorkers()

    def mark_unresponsive(self, *ids: str) -> None:
        self.state.apply(0, encode_command(MarkWorkersUnresponsive(ids)))


def test_only_changes_are_committed() -> None:
    fleet = Fleet()
    assert fleet.heartbeat(0.0, "i-1", 1)
    assert not fleet.heartbeat(1.0, "i-1", 2)
    assert fleet.heartbeat(2.0, "i-1", 3, state="draining")
    assert not fleet.heartbeat(3.0, "i-1", 4, state="draining")


def test_a_draining_worker_never_becomes_ready_again() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.heartbeat(1.0, "i-1", 3, state="draining")
    assert not fleet.heartbeat(1.1, "i-1", 2)
    assert not fleet.heartbeat(1.2, "i-1", 4)
    fleet.new_leader(2.0)
    assert not fleet.heartbeat(2.1, "i-1", 2)
    assert fleet.state.workers["i-1"].state == "draining"


def test_a_ready_record_committed_late_does_not_undo_draining() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    ready = fleet.state.workers["i-1"]
    fleet.heartbeat(1.0, "i-1", 2, state="draining")
    fleet.state.apply(0, encode_command(PutWorker(ready)))
    assert fleet.state.workers["i-1"].state == "draining"


def test_an_overtaken_heartbeat_changes_nothing() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 5, address="10.0.0.2:80")
    assert not fleet.heartbeat(0.1, "i-1", 4, address="10.0.0.1:80")


def test_a_new_incarnation_replaces_the_old_one_at_its_address() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 7)
    fleet.heartbeat(1.0, "i-2", 1)
    assert set(fleet.state.workers) == {"i-2"}
    assert not fleet.heartbeat(1.1, "i-1", 6)
    assert set(fleet.state.workers) == {"i-2"}


def test_an_incarnation_that_was_replaced_by_mistake_is_restored() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-2", 1)
    fleet.heartbeat(0.1, "i-1", 9)
    fleet.heartbeat(1.0, "i-2", 2)
    assert set(fleet.state.workers) == {"i-2"}


def test_a_worker_that_deregistered_is_never_registered_again() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.remove("i-1", permanent=True)
    fleet.new_leader(1.0)
    assert not fleet.heartbeat(1.1, "i-1", 2)
    assert not fleet.state.workers


def test_an_unresponsive_worker_is_reported_and_may_become_ready_again() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    assert fleet.run(0.0, 3.5) == UnresponsiveWorkers()
    assert fleet.run(3.5, 4.0) == UnresponsiveWorkers(newly=("i-1",))
    fleet.mark_unresponsive("i-1")
    assert fleet.run(4.0, 5.0) == UnresponsiveWorkers()
    assert fleet.heartbeat(5.0, "i-1", 6), (
        "the sequence number shows that the worker continued its calls during a partition"
    )
    assert fleet.state.workers["i-1"].state == "ready"


def unresponsive_fleet() -> Fleet:
    """One worker whose last heartbeat had number 1 and came at 0.0 s; it is unresponsive at 10.0 s."""
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.run(0.0, 4.0)
    fleet.mark_unresponsive("i-1")
    fleet.run(4.0, 10.0)
    return fleet


def test_a_worker_that_was_frozen_becomes_ready_with_its_second_heartbeat() -> None:
    fleet = unresponsive_fleet()
    assert not fleet.heartbeat(10.0, "i-1", 2)
    assert fleet.heartbeat(10.0 + PERIOD_S, "i-1", 3)
    assert fleet.state.workers["i-1"].state == "ready"


def test_heartbeats_that_were_delayed_together_do_not_restore_a_crashed_worker() -> None:
    fleet = unresponsive_fleet()
    assert not any(fleet.heartbeat(10.0 + number / 100, "i-1", number) for number in range(2, 7))
    assert fleet.state.workers["i-1"].state == "silent"


def test_a_delayed_heartbeat_does_not_reclaim_an_address() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.heartbeat(5.0, "i-2", 1)
    fleet.run(0.0, 20.0)
    assert not fleet.heartbeat(20.0, "i-1", 2)
    assert set(fleet.state.workers) == {"i-2"}


@given(
    crash_s=st.floats(0.5, 30.0),
    partition_s=st.floats(4.0, 60.0),
    call_s=st.floats(PERIOD_S, SLOWEST_CALL_FACTOR * PERIOD_S),
)
def test_a_heartbeat_accepted_without_confirmation_is_not_much_older_than_a_quarter_of_the_calls(
    crash_s: float, partition_s: float, call_s: float
) -> None:
    """A partition begins at 0, the worker crashes, and all its calls arrive when the partition ends."""
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.run(0.0, 4.0)
    fleet.mark_unresponsive("i-1")
    calls = int(min(crash_s, partition_s) / call_s)
    restored = any(fleet.heartbeat(partition_s, "i-1", 2 + number) for number in range(calls))
    age_s = partition_s - calls * call_s
    slowest_s = SLOWEST_CALL_FACTOR * PERIOD_S
    assert not restored or age_s <= slowest_s + calls * (slowest_s - call_s) + 1e-9


def test_a_worker_that_stays_unresponsive_is_removed_and_may_register_again() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.mark_unresponsive("i-1")
    assert fleet.run(0.0, 50.0) == UnresponsiveWorkers()
    assert fleet.run(50.0, 50.5) == UnresponsiveWorkers(expired=("i-1",))
    fleet.remove("i-1")
    assert fleet.heartbeat(51.0, "i-1", 2)
    assert "i-1" in fleet.state.workers


def test_a_draining_worker_that_times_out_is_removed_at_once() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1, state="draining")
    assert fleet.run(0.0, 4.0) == UnresponsiveWorkers(expired=("i-1",))


def test_ids_of_workers_to_remove_are_grouped_by_state() -> None:
    states = {"i-1": "draining", "i-2": "silent", "i-3": "draining"}
    committed = {
        worker_id: WorkerRecord(worker_id, "search", "10.0.0.1:80", "a", 4, state)
        for worker_id, state in states.items()
    }
    registry = WorkerRegistry(committed, frozenset(), PERIOD_S)
    registry.restart_timeouts(0.0)
    for step in range(int(50 * PERIOD_S / STEP_S) + 2):
        unresponsive = registry.unresponsive_workers(step * STEP_S)
    assert unresponsive == UnresponsiveWorkers(expired=("i-1", "i-3", "i-2"))


def test_only_a_ready_worker_is_marked_unresponsive() -> None:
    """The command may be committed after a heartbeat that arrived in the meantime."""
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1, state="draining")
    fleet.mark_unresponsive("i-1", "i-unknown")
    assert fleet.state.workers["i-1"].state == "draining"
    assert list(fleet.state.workers) == ["i-1"]


def test_an_unresponsive_worker_may_begin_graceful_shutdown() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.mark_unresponsive("i-1")
    assert fleet.heartbeat(5.0, "i-1", 2, state="draining")
    fleet.mark_unresponsive("i-1")
    assert fleet.state.workers["i-1"].state == "draining"


def test_a_draining_worker_that_timed_out_is_not_registered_again() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1, state="draining")
    fleet.remove("i-1")
    assert not fleet.heartbeat(5.0, "i-1", 2)


def test_a_new_leader_restarts_every_workers_timeout() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.run(0.0, 3.0)
    fleet.new_leader(3.0)
    assert fleet.run(3.0, 6.5) == UnresponsiveWorkers()
    assert fleet.run(6.5, 7.0) == UnresponsiveWorkers(newly=("i-1",))


def test_a_process_that_was_paused_reports_no_unresponsive_workers() -> None:
    fleet = Fleet()
    fleet.heartbeat(0.0, "i-1", 1)
    fleet.run(0.0, 1.0)
    assert fleet.registry.unresponsive_workers(30.0) == UnresponsiveWorkers()
    assert fleet.run(30.0, 33.0) == UnresponsiveWorkers()
