"""The replicated state of the control group: a state machine without I/O, clock or randomness.

Owns the tables that it is made of (`configuration_history`, `worker_table`, `store_tables`) and hands each
committed command to the one that it concerns. Every member applies the same commands in the same order, so
whatever a table decides must depend on its content and the command alone. What may go wrong: a command or
snapshot of a later version, at which the member stops (`InvalidCommandError`, `InvalidSnapshotError`).
"""

from collections.abc import Callable, Mapping, Set
from typing import Any

import msgspec

from pewterring.control.commands import (
    CreateGroup,
    EndDecommissioning,
    MarkWorkersUnresponsive,
    PatchConfiguration,
    PutConfiguration,
    PutNodes,
    PutWorker,
    RemoveWorkers,
    Result,
    StartDecommissioning,
    decode_command,
)
from pewterring.control.configuration_history import ConfigurationHistory
from pewterring.control.snapshot import Decommissioning, Snapshot, decode_snapshot, encode_snapshot
from pewterring.control.state_changes import StateChanges
from pewterring.control.store_tables import CommittedNodes, DecommissioningTable, PlacementTable
from pewterring.control.worker_table import WorkerTable
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord


class ControlState:
    """All committed tables. `on_change` is called after each command and each restored snapshot.

    The mappings that properties return stay the same objects and are changed in place.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None) -> None:
        self._on_change = on_change
        self._changes = StateChanges()
        self._configuration = ConfigurationHistory(self._changes)
        self._workers = WorkerTable(self._changes)
        self._nodes = CommittedNodes()
        self._placements = PlacementTable(self._changes)
        self._decommissionings = DecommissioningTable(self._changes)
        # Any: each handler takes the type under which it stands.
        self._handlers: dict[type, Callable[[Any], Result]] = {
            PutConfiguration: self._configuration.put,
            PatchConfiguration: self._configuration.patch,
            PutWorker: self._workers.put,
            RemoveWorkers: self._workers.remove,
            MarkWorkersUnresponsive: self._workers.mark_unresponsive,
            PutNodes: self._nodes.put,
            CreateGroup: self._placements.create,
            StartDecommissioning: self._decommissionings.start,
            EndDecommissioning: self._decommissionings.end,
        }

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._configuration.version

    @property
    def document(self) -> msgspec.Raw:
        """The configuration in force as JSON; null before the first."""
        return self._configuration.document

    @property
    def workers(self) -> Mapping[str, WorkerRecord]:
        """Workers by id."""
        return self._workers.records

    @property
    def departed(self) -> Set[str]:
        """Ids of workers that left permanently."""
        return self._workers.departed

    @property
    def nodes(self) -> Mapping[str, NodeRecord]:
        """The committed nodes by id; the leader's table of live nodes is ahead of it."""
        return self._nodes.records

    @property
    def stores(self) -> Mapping[str, NodeRecord]:
        """All stores that were ever seen, by node id."""
        return self._nodes.stores

    @property
    def placements(self) -> Mapping[str, PlacementRecord]:
        """Batch partitions by group name."""
        return self._placements.records

    @property
    def decommissionings(self) -> Mapping[str, Decommissioning]:
        """Stores that are to be emptied, or have been, by node id."""
        return self._decommissionings.records

    def has_accepted(self, version: int, digest: str) -> bool:
        """Whether exactly this configuration is or was in force, as far as that is remembered."""
        return self._configuration.has_accepted(version, digest)

    def is_decommissioning(self, node: NodeRecord) -> bool:
        """Whether a store is to be emptied. After the end only the same member still is."""
        return self._decommissionings.includes(node)

    def take_changes(self) -> StateChanges:
        """What changed since the last call."""
        return self._changes.take()

    def apply(self, index: int, data: bytes) -> Result:
        """Applies one committed command; `index` is its position in the log.

        Raises:
            InvalidCommandError: The entry is no command that this version knows; the state is as before.
        """
        command = decode_command(index, data)
        result = self._handlers[type(command)](command)
        self._on_change()
        return result

    def snapshot(self) -> bytes:
        """The complete state as JSON in one line."""
        return encode_snapshot(
            Snapshot(
                version=self.version,
                document=self.document,
                accepted_digests=self._configuration.accepted_digests,
                workers=tuple(self.workers.values()),
                departed=tuple(self.departed),
                nodes=tuple(self.nodes.values()),
                stores=tuple(self.stores.values()),
                placements=tuple(self.placements.values()),
                decommissionings=tuple(self.decommissionings.values()),
                newest_forgotten_version=self._configuration.newest_forgotten_version,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Raises:
            InvalidSnapshotError: The bytes are no snapshot that this version knows; the state is as before.
        """
        snapshot = decode_snapshot(data)
        replaced_workers = set(self.workers)
        self._configuration.restore(snapshot)
        self._workers.restore(snapshot)
        self._nodes.restore(snapshot)
        self._placements.restore(snapshot)
        self._decommissionings.restore(snapshot)
        self._changes.mark_all(replaced_workers | set(self.workers))
        self._on_change()
