"""The leader's table of the processes that are there, by their sessions on the feed."""

from collections.abc import Mapping

from pewterring.control.commands import PutNodes
from pewterring.distribution.messages import NodeRecord
from pewterring.durations import PAUSE_THRESHOLD_S

SILENCE_S = 1.5  # a node that was not heard for longer leaves the table


class NodeTable:
    """Soft state of a leader; `start` takes over what the log knows, so that a new leader begins with all."""

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._heard: dict[str, float] = {}
        self._checked = 0.0

    @property
    def records(self) -> Mapping[str, NodeRecord]:
        """The nodes that are there, by id."""
        return self._records

    def start(self, now: float, committed: Mapping[str, NodeRecord]) -> None:
        """Begins a leadership: every committed node gets its whole time anew."""
        self._records = dict(committed)
        self._heard = dict.fromkeys(committed, now)
        self._checked = now

    def hear(self, now: float, node: NodeRecord) -> bool:
        """Takes a sign of life; says whether the table changed."""
        self._heard[node.node_id] = now
        if self._records.get(node.node_id) == node:
            return False
        self._records[node.node_id] = node
        return True

    def expire(self, now: float) -> bool:
        """Removes silent nodes; says whether the table changed."""
        held_up = now - self._checked > PAUSE_THRESHOLD_S
        self._checked = now
        if held_up:
            self._heard = dict.fromkeys(self._records, now)
            return False
        silent = [node_id for node_id, heard in self._heard.items() if now - heard > SILENCE_S]
        for node_id in silent:
            del self._heard[node_id]
            del self._records[node_id]
        return bool(silent)

    def uncommitted(self, committed: Mapping[str, NodeRecord]) -> PutNodes | None:
        """The command that brings the log's table up to this one, or None."""
        new = tuple(node for node in self._records.values() if committed.get(node.node_id) != node)
        gone = tuple(node_id for node_id in committed if node_id not in self._records)
        return PutNodes(new, gone) if new or gone else None
