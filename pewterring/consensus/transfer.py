"""A snapshot on its way from the leader to a member: cut into parts, and put together again."""

import zlib
from dataclasses import dataclass
from math import inf

from pewterring.consensus.messages import SnapshotPart
from pewterring.consensus.types import Snapshot


@dataclass(slots=True)
class SnapshotTransfer:
    """The leader's side: one part at a time is under way, from `received` on."""

    snapshot: Snapshot
    checksum: int
    received: int = 0  # bytes that the member said it has
    waiting: bool = False  # a part was sent and not answered
    part_sent_at: float = -inf

    @classmethod
    def begin(cls, snapshot: Snapshot) -> "SnapshotTransfer":
        """A transfer of which nothing was sent."""
        return cls(snapshot, zlib.crc32(snapshot.data))

    def sent(self, now: float) -> None:
        """Takes note that the part from `received` on was sent."""
        self.waiting = True
        self.part_sent_at = now

    def retry_after(self, now: float, patience_s: float) -> None:
        """Has a part sent again that was not answered in `patience_s`."""
        if now - self.part_sent_at > patience_s:
            self.waiting = False

    def acknowledge(self, received: int) -> bool:
        """Takes an answer; True if the member has all.

        An answer that tells nothing new does not send the part once more: a part that was sent twice is
        answered twice, and each answer would double all parts after it.
        """
        if received != self.received:
            self.received = min(received, len(self.snapshot.data))
            self.waiting = False
        return received >= len(self.snapshot.data)


@dataclass(frozen=True, slots=True)
class _SnapshotId:
    """What ties parts together. Members encode one state differently, so the index alone does not."""

    index: int
    term: int
    total: int
    checksum: int


class SnapshotAssembly:
    """The follower's side: puts the parts of one snapshot together."""

    def __init__(self) -> None:
        self._id: _SnapshotId | None = None
        self._sent_in = 0  # the term of the leader that sends it
        self._data = bytearray()

    def add(self, part: SnapshotPart) -> int:
        """Takes a part and returns how many bytes of its snapshot are there.

        Only a first part begins a snapshot, and none that the same leader made before the one under way:
        a part that comes late neither mixes with it nor undoes what is there.
        """
        snapshot_id = _SnapshotId(part.last_index, part.last_term, part.total, part.checksum)
        if snapshot_id != self._id:
            if part.offset or self._is_older(part):
                return 0
            self._begin(snapshot_id, part.term)
        if part.offset == len(self._data):
            self._data += part.data
        return len(self._data)

    def take_whole(self, part: SnapshotPart) -> Snapshot | None:
        """The snapshot whose last part was added, or None where its bytes are not as sent; starts afresh."""
        data = bytes(self._data)
        self._id = None
        self._data = bytearray()
        if zlib.crc32(data) != part.checksum:
            return None
        return Snapshot(part.last_index, part.last_term, part.membership, data)

    def _is_older(self, part: SnapshotPart) -> bool:
        return self._id is not None and part.term == self._sent_in and part.last_index < self._id.index

    def _begin(self, snapshot_id: _SnapshotId, sent_in: int) -> None:
        self._id = snapshot_id
        self._sent_in = sent_in
        self._data = bytearray()
