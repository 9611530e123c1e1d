"""Decides at control's leader what each heartbeat or time-out of a worker changes of what is committed.

What is committed of workers is only read here. The registry itself owns soft state, which a new leader starts
without: when each worker last sent a heartbeat, and with which sequence number. What may go wrong: a leader
that was paused itself would take all workers for unresponsive, so after a pause all time-outs start anew.
"""

import itertools
from collections.abc import Mapping, Set
from dataclasses import dataclass

from pewterring.distribution.messages import RegistrationState, WorkerRecord
from pewterring.durations import PAUSE_THRESHOLD_S
from pewterring.registry.heartbeats import Heartbeat

HEARTBEAT_TIMEOUT_PERIODS = 3.5  # without a heartbeat for so many periods a worker counts as unresponsive
# Periods after which an unresponsive worker is removed, though a gateway may still have answers from it.
REMOVAL_PERIODS = 50.0
CALL_TIMEOUT_S = 1.0  # after which a worker gives a heartbeat up and calls another machine (PROTOCOL)
# A live worker begins its next call within that many times the longer of its period and the time-out. What
# its calls cannot have taken by this a heartbeat has been on its way.
SLOWEST_CALL_FACTOR = 1.25
CONFIRMATION_PERIODS = 0.5  # calls that were held up together arrive together, not one such a time apart


@dataclass(slots=True)
class Contact:
    """A worker's last heartbeat: when it came, in seconds, and the highest sequence number so far."""

    heard_at: float
    sequence: int
    unconfirmed_at: float | None = None  # when one came that may be late; the next one confirms it


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
        self._heartbeat_period_s = heartbeat_period_s
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
        is_draining = heartbeat.state == RegistrationState.DRAINING
        overtaken = heartbeat.sequence < contact.sequence
        if not is_draining and (overtaken or self._may_be_late(now, worker_id, contact, heartbeat)):
            return None
        contact.heard_at = now
        contact.unconfirmed_at = None
        contact.sequence = max(contact.sequence, heartbeat.sequence)
        return self._change(heartbeat.record(worker_id))

    def _may_be_late(self, now: float, worker_id: str, contact: Contact, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat would bring a worker back, and was perhaps held up until the worker had ended.

        Symptom answered: a heartbeat behind a cut brought a crashed worker back, or took an address from the
        worker that is there now. One that shows by its number that the worker went on calling is believed, as
        is the next one that comes a while after the first.
        """
        if not contact.sequence or not self._would_bring_back(worker_id, heartbeat):
            return False
        calls = heartbeat.sequence - contact.sequence
        slowest_call_s = SLOWEST_CALL_FACTOR * max(self._heartbeat_period_s, CALL_TIMEOUT_S)
        least_age_s = now - contact.heard_at - calls * slowest_call_s
        if least_age_s <= slowest_call_s:
            return False
        if contact.unconfirmed_at is None:
            contact.unconfirmed_at = now
        return now - contact.unconfirmed_at < CONFIRMATION_PERIODS * self._heartbeat_period_s

    def _would_bring_back(self, worker_id: str, heartbeat: Heartbeat) -> bool:
        """Whether the worker is unresponsive, or was removed and another one is at its address."""
        committed = self._committed.get(worker_id)
        if committed is not None:
            return committed.state == RegistrationState.UNRESPONSIVE
        return any(worker.address == heartbeat.address for worker in self._committed.values())

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
        overdue: dict[str, list[str]] = {}  # by state: ids of one state stand together in the command
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
        """Drops contacts of workers that are no longer committed, once heartbeats held up are past."""
        forgotten = [
            worker_id
            for worker_id, contact in self._contacts.items()
            if now - contact.heard_at > self._removal_s and worker_id not in self._committed
        ]
        for worker_id in forgotten:
            del self._contacts[worker_id]
