"""The state of a node's subscription to the feed, without I/O: its tables, and when they were last confirmed.

Within one incarnation of a process neither a configuration nor a leadership goes back. What may go wrong is a
`FeedError`, after which the tables are as they were.
"""

import math
from collections.abc import Mapping

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.model import Configuration
from pewterring.configuration.reader import read_configuration
from pewterring.distribution.errors import FeedGapError, StaleLeaderError
from pewterring.distribution.messages import (
    CompleteTables,
    NodeRecord,
    Renewed,
    TableChanges,
    WorkerRecord,
)
from pewterring.distribution.tables import Tables

NO_DOCUMENT = b"null"  # stands for a configuration that has not changed, or before the first


class FeedSubscription:
    """Owns the newest tables of this process, which are swapped as one object.

    All methods are called on the event loop. Before the first tables `confirmed_at` is minus infinity.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.confirmed_at = -math.inf  # seconds of the steady clock; the tables were current then

    def replace_all(self, message: CompleteTables, requested_at: float) -> Tables:
        """Takes complete tables, requested at `requested_at` (seconds of the steady clock).

        Raises:
            StaleLeaderError: they are of an earlier leadership.
        """
        self._check_leadership(message.versions.epoch)
        self.tables = Tables(
            versions=message.versions,
            configuration=self._newer(message.configuration),
            workers={worker.id: worker for worker in message.workers},
            nodes=message.nodes,
            placements=message.placements,
            groups=message.groups,
            controls=message.controls,
        )
        self.confirmed_at = max(self.confirmed_at, requested_at)
        return self.tables

    def apply_change(self, message: TableChanges) -> Tables:
        """Takes one change.

        Raises:
            FeedGapError: changes before it are missing.
        """
        current = self.tables
        if message.base != current.versions:
            raise FeedGapError(f"change on {message.base}, known are {current.versions}")
        self.tables = Tables(
            versions=message.versions,
            configuration=self._newer(message.configuration),
            workers=_changed_workers(current.workers, message),
            nodes=_changed_nodes(current.nodes, message),
            placements=current.placements if message.placements is None else message.placements,
            groups=current.groups if message.groups is None else message.groups,
            controls=current.controls if message.controls is None else message.controls,
        )
        return self.tables

    def confirm(self, message: Renewed, sent_at: float) -> bool:
        """Takes the answer to a renewal sent at `sent_at` (seconds of the steady clock).

        Returns:
            False where the leader has other tables than this node.
        """
        if message.versions != self.tables.versions:
            return False
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return True

    def _check_leadership(self, epoch: int) -> None:
        """Refuses tables of an earlier leadership: the epoch is the leader's term, which only rises.

        Symptom answered: a leader that goes on after its time, should its clock or its lease be wrong, brings
        back workers that have left.
        """
        known_epoch = self.tables.versions.epoch
        if epoch < known_epoch:
            raise StaleLeaderError(epoch, known_epoch)

    def _newer(self, document: msgspec.Raw) -> Configuration | None:
        """The configuration to serve by: the one received, unless it is older or cannot be read."""
        current = self.tables.configuration
        text = bytes(document)
        if text == NO_DOCUMENT or (current is not None and text == current.document):
            return current
        try:
            received = read_configuration(text)
        except ConfigurationError:
            # Control checks before it accepts; a newer control may accept what this program cannot read.
            return current
        return received if current is None or received.version >= current.version else current


def _changed_workers(
    current: Mapping[str, WorkerRecord], message: TableChanges
) -> Mapping[str, WorkerRecord]:
    """The same object where nothing changed."""
    if not message.workers and not message.workers_gone:
        return current
    workers = dict(current)
    workers.update((worker.id, worker) for worker in message.workers)
    for worker_id in message.workers_gone:
        workers.pop(worker_id, None)
    return workers


def _changed_nodes(current: tuple[NodeRecord, ...], message: TableChanges) -> tuple[NodeRecord, ...]:
    """The same object where nothing changed."""
    if not message.nodes and not message.nodes_gone:
        return current
    nodes = {node.node_id: node for node in current}
    nodes.update((node.node_id, node) for node in message.nodes)
    for node_id in message.nodes_gone:
        nodes.pop(node_id, None)
    return tuple(nodes.values())
