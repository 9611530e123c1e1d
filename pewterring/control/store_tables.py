"""Committed tables of the tier's processes, of batch partitions and of decommissioned stores."""

from collections.abc import Mapping

import msgspec

from pewterring.control.commands import (
    Accepted,
    CreateGroup,
    EndDecommissioning,
    PutNodes,
    Result,
    StartDecommissioning,
)
from pewterring.control.snapshot import Decommissioning, Snapshot
from pewterring.control.state_changes import StateChanges
from pewterring.distribution.messages import STORE, NodeRecord, PlacementRecord


class CommittedNodes:
    """The nodes as last committed, and all stores that ever connected, by node id.

    The leader's own table of live nodes (`NodeTable`) is more recent.
    """

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._stores: dict[str, NodeRecord] = {}

    @property
    def records(self) -> Mapping[str, NodeRecord]:
        """Nodes by id."""
        return self._records

    @property
    def stores(self) -> Mapping[str, NodeRecord]:
        """The newest record of each store, also of stores that are gone, by node id."""
        return self._stores

    def put(self, command: PutNodes) -> Result:
        """Adds, changes and removes nodes."""
        for node_id in command.removed_ids:
            self._records.pop(node_id, None)
        for node in command.nodes:
            self._records[node.node_id] = node
            if node.program == STORE:
                self._stores[node.node_id] = node
        return Accepted()

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces all content by that of the snapshot."""
        self._records.clear()
        self._records.update((node.node_id, node) for node in snapshot.nodes)
        self._stores.clear()
        self._stores.update((node.node_id, node) for node in snapshot.stores)


class PlacementTable:
    """The initial members of each batch partition, by group name."""

    def __init__(self, changes: StateChanges) -> None:
        self._records: dict[str, PlacementRecord] = {}
        self._changes = changes

    @property
    def records(self) -> Mapping[str, PlacementRecord]:
        """Placements by group name."""
        return self._records

    def create(self, command: CreateGroup) -> Result:
        """Places a partition, unless it was placed before."""
        if command.placement.group in self._records:
            return Accepted(repeated=True)
        self._records[command.placement.group] = command.placement
        self._changes.placements = True
        return Accepted()

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces all content by that of the snapshot."""
        self._records.clear()
        self._records.update((placement.group, placement) for placement in snapshot.placements)


class DecommissioningTable:
    """Running and ended decommissionings, by the store's node id."""

    def __init__(self, changes: StateChanges) -> None:
        self._records: dict[str, Decommissioning] = {}
        self._changes = changes

    @property
    def records(self) -> Mapping[str, Decommissioning]:
        """Decommissionings by node id."""
        return self._records

    def includes(self, node: NodeRecord) -> bool:
        """Whether a store is being emptied, or has been and is still the same member.

        A store that comes back as another member after the end is an ordinary store again.
        """
        known = self._records.get(node.node_id)
        return known is not None and (not known.ended or known.member == node.member)

    def start(self, command: StartDecommissioning) -> Result:
        """Starts a decommissioning, unless one is running, or has ended for the same member."""
        known = self._records.get(command.node_id)
        if known is not None and (known.member == command.member or not known.ended):
            return Accepted(repeated=True)
        self._records[command.node_id] = Decommissioning(command.node_id, command.member)
        self._changes.decommissionings = True
        return Accepted()

    def end(self, command: EndDecommissioning) -> Result:
        """Ends a running decommissioning."""
        known = self._records.get(command.node_id)
        if known is None or known.ended:
            return Accepted(repeated=True)
        self._records[command.node_id] = msgspec.structs.replace(known, ended=True)
        self._changes.decommissionings = True
        return Accepted()

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces all content by that of the snapshot."""
        self._records.clear()
        self._records.update((each.node_id, each) for each in snapshot.decommissionings)
