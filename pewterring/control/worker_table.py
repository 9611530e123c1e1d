"""The committed workers, and the ids of those that left permanently.

Owns two rules: an address has one worker at most, and an id that left permanently never comes back, also not
by a heartbeat that was delayed.
"""

from collections.abc import Mapping, Set

import msgspec

from pewterring.control.bounded_memory import drop_oldest
from pewterring.control.commands import Accepted, MarkWorkersUnresponsive, PutWorker, RemoveWorkers, Result
from pewterring.control.snapshot import Snapshot
from pewterring.control.state_changes import StateChanges
from pewterring.distribution.messages import RegistrationState, WorkerRecord

REMEMBERED_DEPARTURES = 8192  # ids kept: the bound on what departures cost in memory and snapshots


class WorkerTable:
    """Workers by id, changed in place: whoever holds `records` or `departed` sees each change."""

    def __init__(self, changes: StateChanges) -> None:
        self._records: dict[str, WorkerRecord] = {}
        self._id_by_address: dict[str, str] = {}
        self._departed: dict[str, None] = {}  # ordered by departure
        self._changes = changes

    @property
    def records(self) -> Mapping[str, WorkerRecord]:
        """Workers by id."""
        return self._records

    @property
    def departed(self) -> Set[str]:
        """Ids of workers that left permanently, oldest first."""
        return self._departed.keys()

    def put(self, command: PutWorker) -> Result:
        """Adds or changes a worker. A draining one does not become ready again, a departed id stays out."""
        worker = command.worker
        known = self._records.get(worker.id)
        if known == worker or worker.id in self._departed:
            return Accepted(repeated=True)
        if (
            known is not None
            and known.state == RegistrationState.DRAINING
            and worker.state != RegistrationState.DRAINING
        ):
            return Accepted(repeated=True)
        if known is not None:
            self._release_address(known)
        previous = self._id_by_address.get(worker.address)
        if previous is not None:
            self._remove(previous, permanent=False)
        self._records[worker.id] = worker
        self._id_by_address[worker.address] = worker.id
        self._changes.worker_ids.add(worker.id)
        return Accepted()

    def remove(self, command: RemoveWorkers) -> Result:
        """Removes workers, as far as they are there."""
        for worker_id in command.ids:
            self._remove(worker_id, command.permanent)
        return Accepted()

    def mark_unresponsive(self, command: MarkWorkersUnresponsive) -> Result:
        """Marks those of the workers that are ready."""
        for worker_id in command.ids:
            worker = self._records.get(worker_id)
            if worker is not None and worker.state == RegistrationState.READY:
                self._records[worker_id] = msgspec.structs.replace(
                    worker, state=RegistrationState.UNRESPONSIVE
                )
                self._changes.worker_ids.add(worker_id)
        return Accepted()

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces all content by that of the snapshot."""
        self._records.clear()
        self._records.update((worker.id, worker) for worker in snapshot.workers)
        self._id_by_address = {worker.address: worker.id for worker in snapshot.workers}
        self._departed.clear()
        self._departed.update(dict.fromkeys(snapshot.departed))

    def _remove(self, worker_id: str, permanent: bool) -> None:
        """Removes a worker. One that was draining departs: it has nothing left to come back for."""
        worker = self._records.pop(worker_id, None)
        if permanent or (worker is not None and worker.state == RegistrationState.DRAINING):
            self._departed[worker_id] = None
            drop_oldest(self._departed, REMEMBERED_DEPARTURES)
        if worker is None:
            return
        self._release_address(worker)
        self._changes.worker_ids.add(worker_id)

    def _release_address(self, worker: WorkerRecord) -> None:
        if self._id_by_address.get(worker.address) == worker.id:
            del self._id_by_address[worker.address]
