"""The leader's side of the feed without I/O: sessions, tables with versions, whole tables and changes.

What a new session is told is what was published last, so that the next change fits every session.
"""

from collections.abc import Hashable, Iterable

import msgspec

from pewterring.control.nodes import NodeTable
from pewterring.control.state import NO_DOCUMENT, ControlState
from pewterring.distribution.messages import (
    GroupStatus,
    NodeRecord,
    Renewed,
    TableChanges,
    TableVersions,
    WholeTables,
)


class FeedPublisher:
    """Publishes the control state to sessions. Versions count up within one leadership (`epoch`)."""

    def __init__(self, state: ControlState, nodes: NodeTable) -> None:
        self.sessions: set[Hashable] = set()
        self._state = state
        self._nodes = nodes
        self._versions = TableVersions()
        self._published_nodes: tuple[NodeRecord, ...] = ()
        self._published_groups: tuple[GroupStatus, ...] = ()
        self._controls: tuple[str, ...] = ()
        self._new_controls: tuple[str, ...] | None = None
        self._statuses: dict[str, GroupStatus] = {}  # newest report of each partition in this leadership
        self._reported: dict[str, float] = {}  # when it came

    @property
    def versions(self) -> TableVersions:
        """The versions last published."""
        return self._versions

    def start(self, epoch: int, controls: Iterable[str]) -> None:
        """Begins a leadership without sessions."""
        self.sessions.clear()
        self._statuses.clear()
        self._reported.clear()
        self._state.take_changes()
        self._versions = TableVersions(epoch=epoch, configuration=self._state.version, workers=1, nodes=1)
        self._published_nodes = self._current_nodes()
        self._published_groups = ()
        self._controls = tuple(sorted(controls))
        self._new_controls = None

    def set_control_ips(self, controls: Iterable[str]) -> None:
        """Names the control machines anew."""
        told = tuple(sorted(controls))
        self._new_controls = None if told == self._controls else told

    def record_report(self, now: float, status: GroupStatus) -> None:
        """Takes a report of a partition's leader, unless a later one is known."""
        known = self._statuses.get(status.group)
        if known is None or (status.term, status.commit) >= (known.term, known.commit):
            self._statuses[status.group] = status
            self._reported[status.group] = now

    def reports_since(self, moment: float) -> dict[str, GroupStatus]:
        """The newest report of each partition that made one after `moment`."""
        return {group: self._statuses[group] for group, came in self._reported.items() if came > moment}

    def open(self, session: Hashable) -> WholeTables:
        """Adds a session. Changes that are due must have been published before."""
        self.sessions.add(session)
        state = self._state
        return WholeTables(
            versions=self._versions,
            configuration=state.document,
            workers=tuple(state.workers.values()),
            nodes=self._published_nodes,
            placements=tuple(state.placements.values()),
            groups=self._published_groups,
            controls=self._controls,
        )

    def close(self, session: Hashable) -> None:
        """Drops a session. Its node stays in the table until it is silent for too long."""
        self.sessions.discard(session)

    def renew(self, session: Hashable) -> Renewed | None:
        """Confirms the published versions; None for a session that is not open."""
        return Renewed(self._versions) if session in self.sessions else None

    def take_state_changes(self) -> TableChanges | None:
        """Publishes what changed of configuration, workers and placements."""
        changes = self._state.take_changes()
        workers = self._state.workers
        new = tuple(workers[worker_id] for worker_id in changes.workers if worker_id in workers)
        gone = tuple(worker_id for worker_id in changes.workers if worker_id not in workers)
        nodes, nodes_gone = self._changed_nodes() if changes.decommissionings else ((), ())
        placements = tuple(self._state.placements.values()) if changes.placements else None
        return self._publish(
            TableChanges(
                base=self._versions,
                versions=self._versions,
                configuration=self._state.document if changes.configuration else NO_DOCUMENT,
                workers=new,
                workers_gone=gone,
                nodes=nodes,
                nodes_gone=nodes_gone,
                placements=placements,
            )
        )

    def take_node_changes(self) -> TableChanges | None:
        """Publishes what changed of nodes, leaders of partitions and control machines."""
        nodes, nodes_gone = self._changed_nodes()
        groups = self._new_groups()
        controls, self._new_controls = self._new_controls, None
        if controls is not None:
            self._controls = controls
        return self._publish(
            TableChanges(
                base=self._versions,
                versions=self._versions,
                nodes=nodes,
                nodes_gone=nodes_gone,
                groups=groups,
                controls=controls,
            )
        )

    def _publish(self, changes: TableChanges) -> TableChanges | None:
        """Gives the changes their versions; None where there are none."""
        base = self._versions
        soft = (changes.placements, changes.groups, changes.controls)
        workers_changed = bool(changes.workers or changes.workers_gone)
        nodes_changed = bool(changes.nodes or changes.nodes_gone) or any(part is not None for part in soft)
        configured = changes.configuration != NO_DOCUMENT
        self._versions = TableVersions(
            epoch=base.epoch,
            configuration=self._state.version if configured else base.configuration,
            workers=base.workers + workers_changed,
            nodes=base.nodes + nodes_changed,
        )
        if self._versions == base:
            return None
        return msgspec.structs.replace(changes, versions=self._versions)

    def _changed_nodes(self) -> tuple[tuple[NodeRecord, ...], tuple[str, ...]]:
        """The nodes that are new or changed since they were published, and the ids of those gone.

        Symptom: with the whole table in each change, the bytes of a start of all grow as its square.
        """
        before = {node.node_id: node for node in self._published_nodes}
        current = self._current_nodes()
        self._published_nodes = current
        changed = tuple(node for node in current if before.pop(node.node_id, None) != node)
        return changed, tuple(before)

    def _current_nodes(self) -> tuple[NodeRecord, ...]:
        is_decommissioning = self._state.is_decommissioning
        return tuple(
            msgspec.structs.replace(node, retiring=True) if is_decommissioning(node) else node
            for node in self._nodes.records.values()
        )

    def _new_groups(self) -> tuple[GroupStatus, ...] | None:
        """The reports where a leader or member changed; progress alone is not published."""
        current = tuple(self._statuses.values())
        if [_shape(status) for status in current] == [_shape(status) for status in self._published_groups]:
            return None
        self._published_groups = current
        return current


def _shape(status: GroupStatus) -> tuple[str, int, str, tuple[str, ...], tuple[str, ...]]:
    return status.group, status.term, status.leader, status.voters, status.learners
