"""Owns a snapshot on its way from the leader to a member: cut into chunks, and put together again.

What may go wrong: chunks are lost, doubled, late and out of order, and no two members encode one state in the
same bytes. So chunks are tied together by index, term, size and checksum, the assembled bytes are compared
with that checksum, and a chunk that is merely slow is never taken for a lost one (a retransmission to a slow
member would make it slower still). Raft paper, section 7 (`InstallSnapshot`).
"""

import zlib
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from pewterring.consensus.messages import SnapshotChunk
from pewterring.consensus.types import RaftLimits, Snapshot

# How far behind a missing chunk later ones are kept. A leader's window of chunks in flight is smaller.
MAX_REORDERED_BYTES = 4_000_000


class ChunkRange(NamedTuple):
    """Bytes of a snapshot from `offset` on."""

    offset: int
    data: bytes


@dataclass(slots=True)
class SnapshotTransfer:
    """The leader's side: a window of chunks is in flight, from `received_bytes` on.

    After a loss it goes back to what the member has (go-back-N). What the member kept of the chunks behind a
    lost one, it acknowledges as soon as that one arrives. Times are in seconds of the steady clock.
    """

    snapshot: Snapshot
    checksum: int
    received_bytes: int = 0  # that the member said it has
    sent_bytes: int = 0  # up to which chunks were sent
    is_awaiting_reply: bool = False  # a chunk was sent and not answered
    _idle_since: float = -inf  # when a chunk was sent last, or an answer said something new
    _last_sent_round: int = 0  # the heartbeat round in which the last chunk was sent
    _is_overtaken: bool = False  # a heartbeat was answered that was sent after the last chunk
    _has_advanced: bool = False  # since `_idle_since`
    _last_acknowledged_bytes: int = 0  # by the answer that came last, which may be an old one

    @classmethod
    def begin(cls, snapshot: Snapshot) -> "SnapshotTransfer":
        """A transfer of which nothing was sent."""
        return cls(snapshot, zlib.crc32(snapshot.data))

    def next_chunk(self, limits: RaftLimits) -> ChunkRange | None:
        """The next chunk to send; None if none may be sent now."""
        if self.is_awaiting_reply and not self._has_window(limits):
            return None
        end = self.sent_bytes + limits.snapshot_chunk_bytes
        return ChunkRange(self.sent_bytes, self.snapshot.data[self.sent_bytes : end])

    def _has_window(self, limits: RaftLimits) -> bool:
        """Whether a chunk may be sent behind others; the first goes alone, as it begins the assembly."""
        window_bytes = limits.snapshot_chunks_in_flight * limits.snapshot_chunk_bytes
        in_flight_bytes = self.sent_bytes - self.received_bytes
        has_more = self.sent_bytes < len(self.snapshot.data)
        return self.received_bytes > 0 and has_more and in_flight_bytes < window_bytes

    def on_chunk_sent(self, size_bytes: int, now: float, round_number: int) -> None:
        """The next chunk, of `size_bytes`, was sent during a heartbeat round."""
        self.sent_bytes += size_bytes
        self.is_awaiting_reply = True
        self._idle_since = now
        self._has_advanced = False
        self._last_sent_round = round_number
        self._is_overtaken = False

    def on_heartbeat_answered(self, round_number: int) -> None:
        """The member answered a heartbeat of that round."""
        self._is_overtaken = self._is_overtaken or round_number > self._last_sent_round

    def retransmit_if_overdue(self, now: float, patience_s: float, limits: RaftLimits) -> None:
        """Rewinds if chunks were not answered in time: each chunk in flight has `patience_s` of its own.

        Messages keep their order on a link, so an answer to a later heartbeat shows at once that the chunks
        are not merely waiting in it. A member that is only slow is sent nothing twice.
        """
        if self._has_advanced:
            self._has_advanced = False
            self._idle_since = now
        patience_s *= 1 if self._is_overtaken else limits.snapshot_chunks_in_flight
        if self.is_awaiting_reply and now - self._idle_since > patience_s:
            self.rewind()

    def rewind(self) -> None:
        """Counts what is in flight as lost: goes on from what the member acknowledged last."""
        self.received_bytes = self.sent_bytes = self._last_acknowledged_bytes
        self.is_awaiting_reply = False

    def acknowledge(self, received_bytes: int) -> bool:
        """Takes an answer; True if the member has everything.

        An answer that says nothing new does not send chunks again: a chunk that was sent twice is answered
        twice, and each answer would double all chunks after it. What a member has shrinks only when it starts
        anew, at nothing; an answer with less, but something, is one that came late.
        """
        self._last_acknowledged_bytes = min(received_bytes, len(self.snapshot.data))
        if received_bytes >= len(self.snapshot.data):
            return True
        if received_bytes > self.received_bytes:
            self.received_bytes = received_bytes
            self.sent_bytes = max(self.sent_bytes, received_bytes)
            self.is_awaiting_reply = self.sent_bytes > received_bytes
            self._has_advanced = True
        elif not received_bytes and self.received_bytes:
            self.rewind()
        return False


@dataclass(frozen=True, slots=True)
class _SnapshotId:
    """What ties chunks together. Members encode one state differently, so the index alone does not."""

    index: int
    term: int
    total_bytes: int
    checksum: int


class SnapshotAssembly:
    """The follower's side: puts the chunks of one snapshot together."""

    def __init__(self) -> None:
        self._id: _SnapshotId | None = None
        self._leader_term = 0  # the term of the leader that sends it
        self._data = bytearray()
        self._reordered: dict[int, bytes] = {}  # by offset: chunks that arrived before one that they follow

    def add(self, chunk: SnapshotChunk) -> int:
        """Takes a chunk and returns how many bytes of its snapshot are there without a gap.

        Only a first chunk begins a snapshot, and none that the same leader made before the one in progress:
        a chunk that comes late neither mixes with it nor undoes what is there.
        """
        snapshot_id = _SnapshotId(chunk.last_index, chunk.last_term, chunk.total, chunk.checksum)
        if snapshot_id != self._id:
            if chunk.offset or self._is_older(chunk):
                return 0
            self._begin(snapshot_id, chunk.term)
        if 0 <= chunk.offset - len(self._data) <= MAX_REORDERED_BYTES:
            self._reordered[chunk.offset] = chunk.data
            self._join()
        return len(self._data)

    def _join(self) -> None:
        while data := self._reordered.pop(len(self._data), b""):
            self._data += data
        size = len(self._data)
        self._reordered = {offset: data for offset, data in self._reordered.items() if offset > size}

    def take_complete(self, chunk: SnapshotChunk) -> Snapshot | None:
        """The snapshot whose last chunk was added; None if its bytes are not as sent. Starts afresh."""
        data = bytes(self._data)
        self._id = None
        self._discard()
        if zlib.crc32(data) != chunk.checksum:
            return None
        return Snapshot(chunk.last_index, chunk.last_term, chunk.membership, data)

    def _is_older(self, chunk: SnapshotChunk) -> bool:
        if self._id is None or chunk.term != self._leader_term:
            return False
        return chunk.last_index < self._id.index

    def _begin(self, snapshot_id: _SnapshotId, leader_term: int) -> None:
        self._id = snapshot_id
        self._leader_term = leader_term
        self._discard()

    def _discard(self) -> None:
        self._data = bytearray()
        self._reordered = {}
