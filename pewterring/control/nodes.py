"""The leader's table of the live processes of the tier, according to their sessions on the feed.

Soft state: it starts with the committed nodes and is more recent than them. A leader whose process was paused
could not receive renewals in that time, so it removes no node at its first check after the pause.
"""

from collections.abc import Mapping

from pewterring.control.commands import PutNodes
from pewterring.distribution.messages import NodeRecord
from pewterring.durations import PAUSE_THRESHOLD_S

NODE_TIMEOUT_S = 1.5  # since the last renewal of a session; nodes renew several times within it


class NodeTable:
    """Live nodes and the time of their last contact, in seconds of the leader's monotonic clock."""

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._last_contact: dict[str, float] = {}
        self._checked_at = 0.0

    @property
    def records(self) -> Mapping[str, NodeRecord]:
        """The live nodes by id."""
        return self._records

    def start(self, now: float, committed: Mapping[str, NodeRecord]) -> None:
        """Begins a leadership with the committed nodes, whose timeouts all start at `now`."""
        self._records = dict(committed)
        self._last_contact = dict.fromkeys(committed, now)
        self._checked_at = now

    def observe(self, now: float, node: NodeRecord) -> bool:
        """Records that a node opened or renewed its session; returns whether the table changed."""
        self._last_contact[node.node_id] = now
        if self._records.get(node.node_id) == node:
            return False
        self._records[node.node_id] = node
        return True

    def expire(self, now: float) -> bool:
        """Removes nodes that have timed out; returns whether the table changed."""
        was_paused = now - self._checked_at > PAUSE_THRESHOLD_S
        self._checked_at = now
        if was_paused:
            self._last_contact = dict.fromkeys(self._records, now)
            return False
        expired = [
            node_id for node_id, contact in self._last_contact.items() if now - contact > NODE_TIMEOUT_S
        ]
        for node_id in expired:
            del self._last_contact[node_id]
            del self._records[node_id]
        return bool(expired)

    def uncommitted(self, committed: Mapping[str, NodeRecord]) -> PutNodes | None:
        """The command that makes the committed table equal to this one, or None if they are equal."""
        changed = tuple(node for node in self._records.values() if committed.get(node.node_id) != node)
        removed_ids = tuple(node_id for node_id in committed if node_id not in self._records)
        return PutNodes(changed, removed_ids) if changed or removed_ids else None
