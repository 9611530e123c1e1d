"""The leader's side of the feed without I/O: sessions, table versions, complete tables and changes.

A new session gets the tables as last published, so that the next change applies to every session. Versions
increase within one leadership (`epoch`); a subscriber whose versions do not match the base of a change must
open a new session.
"""

from collections.abc import Hashable, Iterable
from typing import NamedTuple

import msgspec

from pewterring.control.configuration_history import NO_DOCUMENT
from pewterring.control.nodes import NodeTable
from pewterring.control.partition_reports import PartitionReports
from pewterring.control.state import ControlState
from pewterring.distribution.fingerprint import NO_FINGERPRINT, FingerprintCache
from pewterring.distribution.messages import (
    CompleteTables,
    GroupStatus,
    NodeRecord,
    Renewed,
    TableChanges,
    TableVersions,
)


class NodeDifference(NamedTuple):
    """The nodes that changed since they were last published."""

    changed: tuple[NodeRecord, ...] = ()  # added and changed nodes
    removed_ids: tuple[str, ...] = ()


class PublishedGroup(NamedTuple):
    """The fields of a partition's report whose change is published; its log progress is not among them."""

    group: str
    term: int
    leader: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class FeedPublisher:
    """Computes what is sent to the sessions. Each `take_...` method counts what it returns as published.

    Times are seconds of the leader's monotonic clock.
    """

    def __init__(self, state: ControlState, nodes: NodeTable) -> None:
        self.sessions: set[Hashable] = set()
        self._state = state
        self._nodes = nodes
        self._reports = PartitionReports()
        self._versions = TableVersions()
        self._fingerprints = FingerprintCache()
        self._published_nodes: tuple[NodeRecord, ...] = ()
        self._published_groups: tuple[GroupStatus, ...] = ()
        self._published_control_ips: tuple[str, ...] = ()
        self._control_ips: tuple[str, ...] = ()

    @property
    def versions(self) -> TableVersions:
        """The table versions that were last published."""
        return self._versions

    def start(self, epoch: int, control_ips: Iterable[str]) -> None:
        """Begins a leadership without sessions."""
        self.sessions.clear()
        self._reports.clear()
        self._state.take_changes()
        self._versions = TableVersions(epoch=epoch, configuration=self._state.version, workers=1, nodes=1)
        self._published_nodes = self._current_nodes()
        self._published_groups = ()
        self._published_control_ips = self._control_ips = tuple(sorted(control_ips))

    def set_control_ips(self, control_ips: Iterable[str]) -> None:
        """Sets the IPs of the control group's members, which `take_node_changes` publishes."""
        self._control_ips = tuple(sorted(control_ips))

    def record_report(self, now: float, status: GroupStatus) -> None:
        """Records a report of a partition's leader, unless a later one is known."""
        self._reports.record(now, status)

    def reports_since(self, moment: float) -> dict[str, GroupStatus]:
        """The newest report of each partition from which one was received after `moment`."""
        return self._reports.since(moment)

    def sends_large_document(self, known_fingerprint: str) -> bool:
        """Whether the answer to a node that knows such a configuration has a large one."""
        return self._fingerprint not in (NO_FINGERPRINT, known_fingerprint)

    def open(self, session: Hashable, known_fingerprint: str = NO_FINGERPRINT) -> CompleteTables:
        """Adds a session and returns the published tables. Pending changes must be published first.

        The configuration is left out if `known_fingerprint`, which the node has sent, is its fingerprint.
        """
        self.sessions.add(session)
        state = self._state
        is_known = known_fingerprint != NO_FINGERPRINT and known_fingerprint == self._fingerprint
        return CompleteTables(
            versions=self._versions,
            configuration=NO_DOCUMENT if is_known else state.document,
            workers=tuple(state.workers.values()),
            nodes=self._published_nodes,
            placements=tuple(state.placements.values()),
            groups=self._published_groups,
            controls=self._published_control_ips,
        )

    def close(self, session: Hashable) -> None:
        """Removes a session. Its node stays in the node table until it times out."""
        self.sessions.discard(session)

    def renew(self, session: Hashable) -> Renewed | None:
        """Confirms the published versions; None for a session that is not open."""
        return Renewed(self._versions) if session in self.sessions else None

    def take_state_changes(self) -> TableChanges | None:
        """Returns the changes of configuration, workers, placements and decommissioned stores, if any."""
        changes = self._state.take_changes()
        workers = self._state.workers
        nodes = self._take_node_difference() if changes.decommissionings else NodeDifference()
        return self._publish(
            TableChanges(
                base=self._versions,
                versions=self._versions,
                configuration=self._state.document if changes.configuration else NO_DOCUMENT,
                workers=tuple(workers[each] for each in changes.worker_ids if each in workers),
                workers_gone=tuple(each for each in changes.worker_ids if each not in workers),
                nodes=nodes.changed,
                nodes_gone=nodes.removed_ids,
                placements=tuple(self._state.placements.values()) if changes.placements else None,
            )
        )

    def take_node_changes(self) -> TableChanges | None:
        """Returns the changes of nodes, partition leaders and control machines, if any."""
        nodes = self._take_node_difference()
        return self._publish(
            TableChanges(
                base=self._versions,
                versions=self._versions,
                nodes=nodes.changed,
                nodes_gone=nodes.removed_ids,
                groups=self._take_new_groups(),
                controls=self._take_new_control_ips(),
            )
        )

    @property
    def _fingerprint(self) -> str:
        return self._fingerprints.of(self._state.document)

    def _publish(self, changes: TableChanges) -> TableChanges | None:
        """Returns the changes with the new versions set, or None if nothing changed."""
        base = self._versions
        optional = (changes.placements, changes.groups, changes.controls)
        workers_changed = bool(changes.workers or changes.workers_gone)
        nodes_changed = bool(changes.nodes or changes.nodes_gone) or any(
            each is not None for each in optional
        )
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

    def _take_node_difference(self) -> NodeDifference:
        """The nodes added or changed since they were last published, and the ids of those removed.

        Only differences are sent: with the complete table in each change, the bytes sent while all nodes
        start would grow with the square of their number.
        """
        published = {node.node_id: node for node in self._published_nodes}
        current = self._current_nodes()
        self._published_nodes = current
        changed = tuple(node for node in current if published.pop(node.node_id, None) != node)
        return NodeDifference(changed, tuple(published))

    def _current_nodes(self) -> tuple[NodeRecord, ...]:
        is_decommissioning = self._state.is_decommissioning
        return tuple(
            msgspec.structs.replace(node, decommissioning=True) if is_decommissioning(node) else node
            for node in self._nodes.records.values()
        )

    def _take_new_groups(self) -> tuple[GroupStatus, ...] | None:
        """All reports if the leader or a member of any partition changed, else None."""
        current = self._reports.all()
        if [_published_group(status) for status in current] == [
            _published_group(status) for status in self._published_groups
        ]:
            return None
        self._published_groups = current
        return current

    def _take_new_control_ips(self) -> tuple[str, ...] | None:
        """The IPs of the control machines if they changed, else None."""
        if self._control_ips == self._published_control_ips:
            return None
        self._published_control_ips = self._control_ips
        return self._control_ips


def _published_group(status: GroupStatus) -> PublishedGroup:
    return PublishedGroup(status.group, status.term, status.leader, status.voters, status.learners)
