"""Decides at control's leader which changes of worker records follow from heartbeats and timeouts.

Committed records are only read here. The registry owns soft state, which a new leader does not inherit: the
time and the sequence number of each worker's last heartbeat. A leader that was paused would consider all
workers unresponsive, so after a pause all timeouts are restarted.
"""

import itertools
from collections.abc import Mapping, Set
from dataclasses import dataclass

from pewterring.distribution.messages import RegistrationState, WorkerRecord
from pewterring.durations import PAUSE_THRESHOLD_S
from pewterring.registry.heartbeats import Heartbeat

HEARTBEAT_TIMEOUT_PERIODS = 3.5  # heartbeat periods without a heartbeat after which a worker is unresponsive
# Heartbeat periods after which an unresponsive worker is removed, even if it still responds to gateways.
REMOVAL_PERIODS = 50.0
CALL_TIMEOUT_S = 1.0  # time after which a worker gives up a heartbeat and calls another machine (PROTOCOL)
# A live worker begins its next call within this factor of the heartbeat period or of the call timeout,
# whichever is longer. If its calls cannot account for the time since the last heartbeat, the heartbeat that
# arrives now was delayed for the rest of that time.
SLOWEST_CALL_FACTOR = 1.25
# Heartbeat periods between a late heartbeat and the one that confirms it. Calls that were delayed together
# arrive together, and so do not confirm each other.
CONFIRMATION_PERIODS = 0.5


@dataclass(slots=True)
class Contact:
    """The time of a worker's last heartbeat in seconds, and the highest sequence number so far."""

    heard_at: float
    sequence: int
    unconfirmed_at: float | None = None  # when a heartbeat arrived that may be late and awaits confirmation


@dataclass(frozen=True, slots=True)
class UnresponsiveWorkers:
    """Ids of workers whose timeout has just expired."""

    newly: tuple[str, ...] = ()  # ready workers; from now on only gateways that they respond to send requests
    expired: tuple[str, ...] = ()  # workers to remove


class WorkerRegistry:
    """Compares workers' heartbeats with the committed records. Runs on the leader's event loop.

    `departed` holds the ids of workers that must not be registered again. All times are seconds of one
    monotonic clock.
    """

    def __init__(
        self, committed: Mapping[str, WorkerRecord], departed: Set[str], heartbeat_period_s: float
    ) -> None:
        self._heartbeat_period_s = heartbeat_period_s
        self._heartbeat_timeout_s = HEARTBEAT_TIMEOUT_PERIODS * heartbeat_period_s
        self._removal_s = REMOVAL_PERIODS * heartbeat_period_s
        self._committed = committed
        self._departed = departed
        self._contacts: dict[str, Contact] = {}
        self._checked_at = 0.0

    def restart_timeouts(self, now: float) -> None:
        """Restarts the timeout of every worker, at the beginning of a leadership or after a pause."""
        for worker_id in self._committed:
            self._contacts.setdefault(worker_id, Contact(now, 0)).heard_at = now
        self._checked_at = now

    def observe(self, now: float, worker_id: str, heartbeat: Heartbeat) -> WorkerRecord | None:
        """Takes a heartbeat; returns the record to commit, or None if nothing changes."""
        if worker_id in self._departed:
            return None
        contact = self._contacts.get(worker_id)
        if contact is None:
            contact = self._contacts[worker_id] = Contact(now, 0)
        is_draining = heartbeat.state == RegistrationState.DRAINING
        is_overtaken = heartbeat.sequence < contact.sequence
        if not is_draining and (is_overtaken or self._may_be_late(now, worker_id, contact, heartbeat)):
            return None
        contact.heard_at = now
        contact.unconfirmed_at = None
        contact.sequence = max(contact.sequence, heartbeat.sequence)
        return self._change(heartbeat.record(worker_id))

    def _may_be_late(self, now: float, worker_id: str, contact: Contact, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat would restore a worker, but was perhaps delayed until after the worker ended.

        Otherwise a heartbeat delayed by a network partition could restore a crashed worker, or take the
        address from the worker that has it now. A heartbeat is accepted if its sequence number shows that the
        worker continued its calls, or if it arrives some time after a first late one.
        """
        if not contact.sequence or not self._would_restore(worker_id, heartbeat):
            return False
        calls = heartbeat.sequence - contact.sequence
        slowest_call_s = SLOWEST_CALL_FACTOR * max(self._heartbeat_period_s, CALL_TIMEOUT_S)
        min_delay_s = now - contact.heard_at - calls * slowest_call_s
        if min_delay_s <= slowest_call_s:
            return False
        if contact.unconfirmed_at is None:
            contact.unconfirmed_at = now
        return now - contact.unconfirmed_at < CONFIRMATION_PERIODS * self._heartbeat_period_s

    def _would_restore(self, worker_id: str, heartbeat: Heartbeat) -> bool:
        """Whether the worker is unresponsive, or was removed while another worker has its address."""
        committed = self._committed.get(worker_id)
        if committed is not None:
            return committed.state == RegistrationState.UNRESPONSIVE
        return any(worker.address == heartbeat.address for worker in self._committed.values())

    def _change(self, record: WorkerRecord) -> WorkerRecord | None:
        """The record if it differs from the committed one. A draining worker does not become ready again."""
        committed = self._committed.get(record.id)
        if committed is None:
            return record
        if committed.state == RegistrationState.DRAINING and record.state != RegistrationState.DRAINING:
            return None
        return None if record == committed else record

    def unresponsive_workers(self, now: float) -> UnresponsiveWorkers:
        """Returns the committed workers whose timeout has expired. Called periodically.

        If the last call was too long ago, this process was paused and could not receive heartbeats: then all
        timeouts are restarted.
        """
        if now - self._checked_at > PAUSE_THRESHOLD_S:
            self.restart_timeouts(now)
            return UnresponsiveWorkers()
        self._checked_at = now
        self._forget_removed(now)
        overdue: dict[str, list[str]] = {}  # by state, so that ids of one state are adjacent in the command
        for worker in self._committed.values():
            contact = self._contacts.setdefault(worker.id, Contact(now, 0))
            if now - contact.heard_at > self._timeout_s(worker):
                overdue.setdefault(worker.state, []).append(worker.id)
        newly = overdue.pop(RegistrationState.READY, [])
        return UnresponsiveWorkers(tuple(newly), tuple(itertools.chain.from_iterable(overdue.values())))

    def _timeout_s(self, worker: WorkerRecord) -> float:
        is_unresponsive = worker.state == RegistrationState.UNRESPONSIVE
        return self._removal_s if is_unresponsive else self._heartbeat_timeout_s

    def _forget_removed(self, now: float) -> None:
        """Drops contacts of workers that are no longer committed, once delayed heartbeats have arrived."""
        removed = [
            worker_id
            for worker_id, contact in self._contacts.items()
            if now - contact.heard_at > self._removal_s and worker_id not in self._committed
        ]
        for worker_id in removed:
            del self._contacts[worker_id]
