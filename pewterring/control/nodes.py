"""The leader's table of the processes that are there, by their sessions on the feed.

Soft state: it begins with what is committed and goes ahead of it. What may go wrong: a leader whose process
was paused has heard nobody meanwhile, so that it removes nobody at its first check.
"""

from collections.abc import Mapping

from pewterring.control.commands import PutNodes
from pewterring.distribution.messages import NodeRecord
from pewterring.durations import PAUSE_THRESHOLD_S

NODE_TIMEOUT_S = 1.5  # without a renewal for longer a node leaves the table; it renews several times in it


class NodeTable:
    """Owned by the leader; times are those of its monotonic clock, in seconds."""

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._last_contact: dict[str, float] = {}
        self._checked_at = 0.0

    @property
    def records(self) -> Mapping[str, NodeRecord]:
        """The nodes that are there, by id."""
        return self._records

    def start(self, now: float, committed: Mapping[str, NodeRecord]) -> None:
        """Begins a leadership: every committed node gets its complete time-out anew."""
        self._records = dict(committed)
        self._last_contact = dict.fromkeys(committed, now)
        self._checked_at = now

    def observe(self, now: float, node: NodeRecord) -> bool:
        """Takes a session's opening or renewal; returns whether the table changed."""
        self._last_contact[node.node_id] = now
        if self._records.get(node.node_id) == node:
            return False
        self._records[node.node_id] = node
        return True

    def expire(self, now: float) -> bool:
        """Removes nodes whose time-out is over; returns whether the table changed."""
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
        """The command that brings the committed table up to this one, or None."""
        changed = tuple(node for node in self._records.values() if committed.get(node.node_id) != node)
        removed_ids = tuple(node_id for node_id in committed if node_id not in self._records)
        return PutNodes(changed, removed_ids) if changed or removed_ids else None
