"""The replicated state of the control group: a state machine without I/O, clock or randomness.

Consists of several tables (`configuration_history`, `worker_table`, `store_tables`) and dispatches each
committed command to the table that it concerns. Every member applies the same commands in the same order, so
the decisions of a table must depend only on its content and the command. A command or snapshot of a later
software version raises `InvalidCommandError` or `InvalidSnapshotError`, and the member stops.
"""

from collections.abc import Callable, Mapping, Set
from typing import Any

import msgspec

from pewterring.configuration.steps import Steps
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
        # The parameter type is Any because each handler accepts only the command type that is its key.
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
        """Version of the current configuration; 0 before the first one."""
        return self._configuration.version

    @property
    def document(self) -> msgspec.Raw:
        """The current configuration as JSON; null before the first one."""
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
        """The committed nodes by id. The leader's table of live nodes is more recent."""
        return self._nodes.records

    @property
    def stores(self) -> Mapping[str, NodeRecord]:
        """All stores that ever connected, also those that are gone, by node id."""
        return self._nodes.stores

    @property
    def placements(self) -> Mapping[str, PlacementRecord]:
        """Placements of batch partitions by group name."""
        return self._placements.records

    @property
    def decommissionings(self) -> Mapping[str, Decommissioning]:
        """Decommissionings that are running or have ended, by the store's node id."""
        return self._decommissionings.records

    def has_accepted(self, version: int, digest: str) -> bool:
        """Whether this configuration was accepted, now or earlier, as far as its digest is remembered."""
        return self._configuration.has_accepted(version, digest)

    def is_outdated(self, base: int, version: int, digest: str | None = None) -> bool:
        """Whether a change to version `base` conflicts now and at any later time, and was never accepted."""
        return self._configuration.is_outdated(base, version, digest)

    def preparation_steps(self) -> Steps[None] | None:
        """Work on the newest configuration that makes the next patch cheap; None if there is none to do."""
        return self._configuration.preparation_steps()

    def is_decommissioning(self, node: NodeRecord) -> bool:
        """Whether a store is being emptied, or has been and is still the same member."""
        return self._decommissionings.includes(node)

    def take_changes(self) -> StateChanges:
        """Returns the changes since the last call."""
        return self._changes.take()

    def apply(self, index: int, data: bytes) -> Result:
        """Applies one committed command; `index` is its position in the log.

        Raises:
            InvalidCommandError: The entry is not a command known to this version; the state is unchanged.
        """
        command = decode_command(index, data)
        result = self._handlers[type(command)](command)
        self._on_change()
        return result

    def snapshot(self) -> bytes:
        """The complete state as a single line of JSON."""
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
            InvalidSnapshotError: The bytes are not a snapshot known to this version; the state is unchanged.
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
