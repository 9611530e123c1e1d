"""Decides at control's leader what each heartbeat or time-out of a worker changes of what is committed.

What is committed of workers is only read here. The registry itself owns soft state, which a new leader starts
without: when each worker last sent a heartbeat, and with which sequence number. What may go wrong: a leader
that was paused itself would take all workers for unresponsive, so after a pause all time-outs start anew.
"""

from collections.abc import Mapping, Set
from dataclasses import dataclass

from pewterring.distribution.messages import RegistrationState, WorkerRecord
from pewterring.durations import PAUSE_THRESHOLD_S
from pewterring.registry.heartbeats import Heartbeat

HEARTBEAT_TIMEOUT_PERIODS = 3.5  # without a heartbeat for so many periods a worker counts as unresponsive
# Periods after which an unresponsive worker is removed, though a gateway may still have answers from it.
REMOVAL_PERIODS = 50.0


@dataclass(slots=True)
class Contact:
    """A worker's last heartbeat: when it came, in seconds, and the highest sequence number so far."""

    heard_at: float
    sequence: int


@dataclass(frozen=True, slots=True)
class UnresponsiveWorkers:
    """Ids of workers whose time-out has consequences now."""

    newly: tuple[str, ...] = ()  # ready ones: from now on only gateways that they answer send to them
    expired: tuple[str, ...] = ()  # to be removed


class WorkerRegistry:
    """Compares what workers state with what is committed. Runs on the leader's event loop.

    `departed` holds ids that never come back. All times are seconds of one monotonic clock.
    """

    def __init__(
        self, committed: Mapping[str, WorkerRecord], departed: Set[str], heartbeat_period_s: float
    ) -> None:
        self._heartbeat_timeout_s = HEARTBEAT_TIMEOUT_PERIODS * heartbeat_period_s
        self._removal_s = REMOVAL_PERIODS * heartbeat_period_s
        self._committed = committed
        self._departed = departed
        self._contacts: dict[str, Contact] = {}
        self._checked_at = 0.0

    def restart_timeouts(self, now: float) -> None:
        """Gives every worker its full time anew: at the beginning of a leadership, or after a pause."""
        for worker_id in self._committed:
            self._contacts.setdefault(worker_id, Contact(now, 0)).heard_at = now
        self._checked_at = now

    def observe(self, now: float, worker_id: str, heartbeat: Heartbeat) -> WorkerRecord | None:
        """Takes a heartbeat; returns the record to commit, or None where nothing changes."""
        if worker_id in self._departed:
            return None
        contact = self._contacts.get(worker_id)
        if contact is None:
            contact = self._contacts[worker_id] = Contact(now, 0)
        overtaken = heartbeat.sequence < contact.sequence
        if overtaken and heartbeat.state != RegistrationState.DRAINING:
            return None
        contact.heard_at = now
        contact.sequence = max(contact.sequence, heartbeat.sequence)
        return self._change(heartbeat.record(worker_id))

    def _change(self, record: WorkerRecord) -> WorkerRecord | None:
        """The record where it differs from the committed one; draining is never taken back."""
        committed = self._committed.get(record.id)
        if committed is None:
            return record
        if committed.state == RegistrationState.DRAINING and record.state != RegistrationState.DRAINING:
            return None
        return None if record == committed else record

    def unresponsive_workers(self, now: float) -> UnresponsiveWorkers:
        """The committed workers that have sent no heartbeat for too long. Called periodically.

        Where this was not called for a while the process was frozen or starved and could hear nobody:
        then every worker gets its full time anew.
        """
        if now - self._checked_at > PAUSE_THRESHOLD_S:
            self.restart_timeouts(now)
            return UnresponsiveWorkers()
        self._checked_at = now
        self._forget_removed(now)
        newly: list[str] = []
        expired: list[str] = []
        for worker in self._committed.values():
            contact = self._contacts.setdefault(worker.id, Contact(now, 0))
            timeout_s = (
                self._removal_s
                if worker.state == RegistrationState.UNRESPONSIVE
                else self._heartbeat_timeout_s
            )
            if now - contact.heard_at > timeout_s:
                (newly if worker.state == RegistrationState.READY else expired).append(worker.id)
        return UnresponsiveWorkers(tuple(newly), tuple(expired))

    def _forget_removed(self, now: float) -> None:
        """Drops contacts of workers that are no longer committed, once overtaken heartbeats are past."""
        forgotten = [
            worker_id
            for worker_id, contact in self._contacts.items()
            if now - contact.heard_at > 2 * self._heartbeat_timeout_s and worker_id not in self._committed
        ]
        for worker_id in forgotten:
            del self._contacts[worker_id]
