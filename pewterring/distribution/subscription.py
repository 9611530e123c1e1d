"""The state of a node's subscription, without I/O: its tables, and when they were last confirmed.

During the lifetime of a process neither the configuration version nor the leader's term decreases. Rejected
messages raise a `FeedError` and leave the tables unchanged.

A large configuration is read by the caller between other events. Meanwhile the tables hold the former one,
all other tables are swapped as they arrive, and nothing is confirmed: until the configuration is in force,
these tables are not the current ones.
"""

import math
from collections.abc import Mapping
from dataclasses import replace

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.model import Configuration
from pewterring.configuration.reader import read_configuration
from pewterring.configuration.steps import is_large
from pewterring.distribution.errors import FeedGapError, StaleLeaderError
from pewterring.distribution.fingerprint import FingerprintCache
from pewterring.distribution.messages import (
    CompleteTables,
    NodeRecord,
    Renewed,
    TableChanges,
    WorkerRecord,
)
from pewterring.distribution.tables import Tables

NO_DOCUMENT = b"null"  # sent if the configuration has not changed, or there is none yet


class FeedSubscription:
    """Owns the newest tables of this process, which are replaced as one immutable object.

    All methods must be called on the event loop. Before the first tables `confirmed_at` is minus infinity.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.confirmed_at = -math.inf  # monotonic time at which the tables were known to be current
        self._unread: bytes | None = None  # the newest configuration, if it has not been read yet
        self._fingerprints = FingerprintCache()
        self._unread_confirmed_at = -math.inf  # what `confirmed_at` becomes when it has been read

    @property
    def unread(self) -> bytes | None:
        """The newest configuration's document while it waits to be read and passed to `finish_reading`."""
        return self._unread

    @property
    def fingerprint(self) -> str:
        """The fingerprint of the newest configuration, read or not; empty if that is small."""
        if self._unread is not None:
            return self._fingerprints.of(self._unread)
        current = self.tables.configuration
        return self._fingerprints.of(current.document if current is not None else b"")

    def finish_reading(self, document: bytes, configuration: Configuration | None) -> Tables:
        """Puts a configuration in force, unless a newer one is; None if its document is invalid."""
        current = self.tables.configuration
        if configuration is not None and (current is None or configuration.version >= current.version):
            self.tables = replace(self.tables, configuration=configuration)
        if document == self._unread:
            self._unread = None
            self._confirm(self._unread_confirmed_at)
        return self.tables

    def replace_all(self, message: CompleteTables, requested_at: float) -> Tables:
        """Replaces all tables. `requested_at` is the monotonic time of the request.

        Raises:
            StaleLeaderError: The tables are from a leader of an earlier term.
        """
        self._check_leadership(message.versions.epoch)
        self.tables = Tables(
            versions=message.versions,
            configuration=self._newest_configuration(message.configuration),
            workers={worker.id: worker for worker in message.workers},
            nodes=message.nodes,
            placements=message.placements,
            groups=message.groups,
            controls=message.controls,
        )
        self._confirm(requested_at)
        return self.tables

    def apply_change(self, message: TableChanges) -> Tables:
        """Applies one change and returns the new tables.

        Raises:
            FeedGapError: Earlier changes are missing.
        """
        current = self.tables
        if message.base != current.versions:
            raise FeedGapError(f"change on {message.base}, known are {current.versions}")
        self.tables = Tables(
            versions=message.versions,
            configuration=self._newest_configuration(message.configuration),
            workers=_changed_workers(current.workers, message),
            nodes=_changed_nodes(current.nodes, message),
            placements=current.placements if message.placements is None else message.placements,
            groups=current.groups if message.groups is None else message.groups,
            controls=current.controls if message.controls is None else message.controls,
        )
        return self.tables

    def confirm(self, message: Renewed, sent_at: float) -> bool:
        """Applies the answer to a renewal that was sent at the monotonic time `sent_at`.

        Returns:
            False if the leader has other versions of the tables than this node.
        """
        if message.versions != self.tables.versions:
            return False
        self._confirm(sent_at)
        return True

    def _confirm(self, moment: float) -> None:
        if self._unread is None:
            self.confirmed_at = max(self.confirmed_at, moment)
        else:
            self._unread_confirmed_at = max(self._unread_confirmed_at, moment)

    def _check_leadership(self, epoch: int) -> None:
        """Rejects tables of an earlier term; the epoch is the leader's term, which never decreases.

        A former leader that continues to serve because of a wrong clock or lease would bring back workers
        that have left.

        Raises:
            StaleLeaderError: The tables are from a leader of an earlier term.
        """
        known_epoch = self.tables.versions.epoch
        if epoch < known_epoch:
            raise StaleLeaderError(epoch, known_epoch)

    def _newest_configuration(self, document: msgspec.Raw) -> Configuration | None:
        """Returns the received configuration, or the current one if it is newer or the document invalid.

        A large document stays unread.
        """
        current = self.tables.configuration
        text = bytes(document)
        if text == NO_DOCUMENT or text == self._unread:
            return current
        self._unread = None
        if current is not None and text == current.document:
            return current
        if is_large(text):
            self._unread, self._unread_confirmed_at = text, -math.inf
            return current
        try:
            received = read_configuration(text)
        except ConfigurationError:
            # Control validates documents, but a newer control may accept what this program cannot parse.
            return current
        return received if current is None or received.version >= current.version else current


def _changed_workers(
    current: Mapping[str, WorkerRecord], message: TableChanges
) -> Mapping[str, WorkerRecord]:
    """Returns the workers after a change; the same object if none changed."""
    if not message.workers and not message.workers_gone:
        return current
    workers = dict(current)
    workers.update((worker.id, worker) for worker in message.workers)
    for worker_id in message.workers_gone:
        workers.pop(worker_id, None)
    return workers


def _changed_nodes(current: tuple[NodeRecord, ...], message: TableChanges) -> tuple[NodeRecord, ...]:
    """Returns the nodes after a change; the same object if none changed."""
    if not message.nodes and not message.nodes_gone:
        return current
    nodes = {node.node_id: node for node in current}
    nodes.update((node.node_id, node) for node in message.nodes)
    for node_id in message.nodes_gone:
        nodes.pop(node_id, None)
    return tuple(nodes.values())
