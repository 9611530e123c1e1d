"""Decides at the leader what each heartbeat, farewell or silence of a worker changes of what is committed.

What is committed of workers is only read here. The registry itself holds soft state, which a new leader
starts without: when each worker was last heard, and the last sequence number.
"""

from collections.abc import Mapping, Set
from dataclasses import dataclass

from pewterring.distribution.messages import RegistrationState, WorkerRecord
from pewterring.durations import LATE_CHECK_S
from pewterring.registry.heartbeats import Heartbeat

SILENCE_PERIODS = 3.5  # heartbeat periods without a heartbeat after which a worker counts as silent
# Heartbeat periods after which a silent worker is removed, though a gateway may still have answers from it.
REMOVAL_PERIODS = 50.0


@dataclass(slots=True)
class Contact:
    """When a worker was last heard, and the sequence number it had."""

    heard: float
    sequence: int


@dataclass(frozen=True, slots=True)
class Silences:
    """Ids of workers whose silence has consequences now."""

    fallen: tuple[str, ...] = ()  # ready ones: from now on only gateways that they answer send to them
    gone: tuple[str, ...] = ()  # to be removed


class WorkerRegistry:
    """Compares what workers say with what is committed. `departed` holds ids that never come back."""

    def __init__(
        self, committed: Mapping[str, WorkerRecord], departed: Set[str], heartbeat_period_s: float
    ) -> None:
        self.silence_s = SILENCE_PERIODS * heartbeat_period_s
        self._removal_s = REMOVAL_PERIODS * heartbeat_period_s
        self._committed = committed
        self._departed = departed
        self._contacts: dict[str, Contact] = {}
        self._checked = 0.0

    def start(self, now: float) -> None:
        """Begins a leadership: every worker gets its whole time anew."""
        for worker_id in self._committed:
            self._contacts.setdefault(worker_id, Contact(now, 0)).heard = now
        self._checked = now

    def observe(self, now: float, worker_id: str, heartbeat: Heartbeat) -> WorkerRecord | None:
        """Takes a heartbeat; returns the record to commit, or None where nothing changes."""
        if worker_id in self._departed:
            return None
        known = self._committed.get(worker_id)
        contact = self._contacts.get(worker_id)
        if contact is None:
            contact = self._contacts[worker_id] = Contact(now, 0)
        late = heartbeat.sequence < contact.sequence
        if late and heartbeat.state != RegistrationState.DRAINING:
            return None
        contact.heard = now
        contact.sequence = max(contact.sequence, heartbeat.sequence)
        record = heartbeat.record(worker_id)
        if known is None:
            return record
        if known.state == RegistrationState.DRAINING and record.state != RegistrationState.DRAINING:
            return None
        return None if record == known else record

    def silent(self, now: float) -> Silences:
        """The committed workers that have been silent for too long.

        Where this was not called for a while the process was frozen or starved and could hear nobody:
        then every worker gets its whole time anew.
        """
        if now - self._checked > LATE_CHECK_S:
            self.start(now)
            return Silences()
        self._checked = now
        self._forget_removed(now)
        found: dict[str, list[str]] = {}
        for worker in self._committed.values():
            contact = self._contacts.setdefault(worker.id, Contact(now, 0))
            if now - contact.heard > (
                self._removal_s if worker.state == RegistrationState.UNRESPONSIVE else self.silence_s
            ):
                found.setdefault(worker.state, []).append(worker.id)
        fallen = found.pop(RegistrationState.READY, [])
        return Silences(tuple(fallen), tuple(worker_id for ids in found.values() for worker_id in ids))

    def _forget_removed(self, now: float) -> None:
        """Drops contacts of workers that are no longer committed, once late heartbeats are over."""
        forgotten = [
            worker_id
            for worker_id, contact in self._contacts.items()
            if now - contact.heard > 2 * self.silence_s and worker_id not in self._committed
        ]
        for worker_id in forgotten:
            del self._contacts[worker_id]
