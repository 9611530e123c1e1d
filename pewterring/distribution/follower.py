"""The node's side of the feed without I/O: tables from messages, and how old their confirmation is."""

import math

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.model import Configuration
from pewterring.configuration.reader import read_configuration
from pewterring.distribution.messages import NodeRecord, Renewed, TableChanges, WholeTables
from pewterring.distribution.tables import Tables

NO_DOCUMENT = b"null"


class FeedError(Exception):
    """What a leader said is not taken; the tables must be read whole, from it or another."""


class FeedGap(FeedError):
    """A change does not follow on what is held."""


class OldLeader(FeedError):
    """The tables are of an earlier leadership than those held."""


class LateAnswer(FeedError):
    """The tables were asked for too long ago to count as current."""


class TableFollower:
    """Holds the newest tables of this process. Within its life neither a configuration goes back nor a
    leadership: the epoch is the leader's term, which only rises.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.confirmed_at = -math.inf  # steady clock; the tables were current then

    def whole(self, message: WholeTables, asked_at: float) -> Tables:
        """Takes all tables, asked for at `asked_at`; raises `OldLeader`."""
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
        self.confirmed_at = max(self.confirmed_at, asked_at)
        return self.tables

    def _check_leadership(self, epoch: int) -> None:
        """Symptom answered: a leader that goes on after its time, should its clock or its lease be wrong,
        brings back workers that have left.
        """
        held = self.tables.versions.epoch
        if epoch < held:
            raise OldLeader(f"tables of term {epoch}, held are those of term {held}")

    def change(self, message: TableChanges) -> Tables:
        """Takes one change; raises `FeedGap` where changes before it are missing."""
        held = self.tables
        if message.base != held.versions:
            raise FeedGap(f"change on {message.base}, held are {held.versions}")
        workers = held.workers
        if message.workers or message.workers_gone:
            changed = dict(workers)
            changed.update((worker.id, worker) for worker in message.workers)
            for worker_id in message.workers_gone:
                changed.pop(worker_id, None)
            workers = changed
        self.tables = Tables(
            versions=message.versions,
            configuration=self._newer(message.configuration),
            workers=workers,
            nodes=_changed_nodes(held.nodes, message),
            placements=held.placements if message.placements is None else message.placements,
            groups=held.groups if message.groups is None else message.groups,
            controls=held.controls if message.controls is None else message.controls,
        )
        return self.tables

    def renewed(self, message: Renewed, sent_at: float) -> bool:
        """Takes a confirmation of a renewal sent at `sent_at`; False where the tables held are others."""
        if message.versions != self.tables.versions:
            return False
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return True

    def _newer(self, document: msgspec.Raw) -> Configuration | None:
        held = self.tables.configuration
        text = bytes(document)
        if text == NO_DOCUMENT or (held is not None and text == held.document):
            return held
        try:
            told = read_configuration(text)
        except ConfigurationError:
            return held  # control checks before it accepts; a newer control may accept what this cannot read
        return told if held is None or told.version >= held.version else held


def _changed_nodes(held: tuple[NodeRecord, ...], message: TableChanges) -> tuple[NodeRecord, ...]:
    """The same object where nothing changed."""
    if not message.nodes and not message.nodes_gone:
        return held
    nodes = {node.node_id: node for node in held}
    nodes.update((node.node_id, node) for node in message.nodes)
    for node_id in message.nodes_gone:
        nodes.pop(node_id, None)
    return tuple(nodes.values())
