"""The committed workers, and the ids of workers that left permanently.

Enforces two rules: an address has at most one worker, and an id that left permanently is never registered
again, not even by a delayed heartbeat.
"""

from collections.abc import Mapping, Set

import msgspec

from pewterring.control.bounded_memory import drop_oldest
from pewterring.control.commands import Accepted, MarkWorkersUnresponsive, PutWorker, RemoveWorkers, Result
from pewterring.control.snapshot import Snapshot
from pewterring.control.state_changes import StateChanges
from pewterring.distribution.messages import RegistrationState, WorkerRecord

REMEMBERED_DEPARTURES = 8192  # worker ids; limits the memory and snapshot size that departed ids take


class WorkerTable:
    """Workers by id. `records` and `departed` are live views: they show every later change."""

    def __init__(self, changes: StateChanges) -> None:
        self._records: dict[str, WorkerRecord] = {}
        self._id_by_address: dict[str, str] = {}
        self._departed: dict[str, None] = {}  # ordered by departure
        self._changes = changes

    @property
    def records(self) -> Mapping[str, WorkerRecord]:
        """Committed workers by id."""
        return self._records

    @property
    def departed(self) -> Set[str]:
        """Ids of workers that left permanently, in the order of their departure."""
        return self._departed.keys()

    def put(self, command: PutWorker) -> Result:
        """Adds or changes a worker. A draining worker never becomes ready again; a departed id is ignored."""
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
        """Removes workers. With `permanent`, ids without a worker are recorded as departed too."""
        for worker_id in command.ids:
            self._remove(worker_id, command.permanent)
        return Accepted()

    def mark_unresponsive(self, command: MarkWorkersUnresponsive) -> Result:
        """Sets the state of the given workers to unresponsive if they are ready."""
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
        """Removes a worker; a draining worker counts as departed permanently, since it will not return."""
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
