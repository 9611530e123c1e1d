"""The transfer of a snapshot from the leader to a member, in chunks (Raft paper, section 7).

Chunks may be lost, duplicated, delayed or reordered, and each member encodes the same state in different
bytes. So the chunks of one snapshot are identified by index, term, size and checksum, and the assembled bytes
are verified with the checksum. A delayed chunk must not be mistaken for a lost one, since retransmissions
would slow down a slow member even more.
"""

import zlib
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from pewterring.consensus.messages import SnapshotChunk
from pewterring.consensus.types import RaftLimits, Snapshot

# Chunks that start more than this after the received bytes are not buffered. A leader's window is smaller.
MAX_REORDERED_BYTES = 4_000_000


class ChunkRange(NamedTuple):
    """A range of the bytes of a snapshot, from `offset` on."""

    offset: int
    data: bytes


@dataclass(slots=True)
class SnapshotTransfer:
    """The leader's side of a transfer, with a window of chunks in flight from `received_bytes` on.

    After a loss, chunks are sent again from the acknowledged bytes on (go-back-N). The member buffers the
    chunks that follow a lost one, and acknowledges them once that one arrives. Times are monotonic times in
    seconds.
    """

    snapshot: Snapshot
    checksum: int
    received_bytes: int = 0  # the number of bytes that the member acknowledged
    sent_bytes: int = 0  # the number of bytes sent in chunks
    is_awaiting_reply: bool = False  # whether a chunk that was sent has not been answered
    _idle_since: float = -inf  # when the last chunk was sent, or when progress was last noticed
    _last_sent_round: int = 0  # the heartbeat round in which the last chunk was sent
    _is_overtaken: bool = False  # whether the member answered a heartbeat sent after the last chunk
    _has_advanced: bool = False  # whether the member acknowledged more bytes since `_idle_since`
    _last_acknowledged_bytes: int = 0  # as stated in the last reply, which may be a delayed one

    @classmethod
    def begin(cls, snapshot: Snapshot) -> "SnapshotTransfer":
        """Creates a transfer of which no chunk has been sent yet."""
        return cls(snapshot, zlib.crc32(snapshot.data))

    def next_chunk(self, limits: RaftLimits) -> ChunkRange | None:
        """The next chunk to send; None if none may be sent now."""
        if self.is_awaiting_reply and not self._has_window(limits):
            return None
        end = self.sent_bytes + limits.snapshot_chunk_bytes
        return ChunkRange(self.sent_bytes, self.snapshot.data[self.sent_bytes : end])

    def _has_window(self, limits: RaftLimits) -> bool:
        """Whether a chunk may follow others in flight; the first is sent alone, as it starts the assembly."""
        window_bytes = limits.snapshot_chunks_in_flight * limits.snapshot_chunk_bytes
        in_flight_bytes = self.sent_bytes - self.received_bytes
        has_more = self.sent_bytes < len(self.snapshot.data)
        return self.received_bytes > 0 and has_more and in_flight_bytes < window_bytes

    def on_chunk_sent(self, size_bytes: int, now: float, round_number: int) -> None:
        """Records that the next chunk, of `size_bytes`, was sent during heartbeat round `round_number`."""
        self.sent_bytes += size_bytes
        self.is_awaiting_reply = True
        self._idle_since = now
        self._has_advanced = False
        self._last_sent_round = round_number
        self._is_overtaken = False

    def on_heartbeat_answered(self, round_number: int) -> None:
        """Records that the member answered the heartbeat of round `round_number`."""
        self._is_overtaken = self._is_overtaken or round_number > self._last_sent_round

    def retransmit_if_overdue(self, now: float, timeout_s: float, limits: RaftLimits) -> None:
        """Rewinds if chunks were not answered in time; the timeout is `timeout_s` per chunk in flight.

        Links keep messages in order. So once a later heartbeat is answered, the chunks are not queued on the
        link any more, and the timeout is only `timeout_s`. A member that is only slow is sent nothing twice.
        """
        if self._has_advanced:
            self._has_advanced = False
            self._idle_since = now
        timeout_s *= 1 if self._is_overtaken else limits.snapshot_chunks_in_flight
        if self.is_awaiting_reply and now - self._idle_since > timeout_s:
            self.rewind()

    def rewind(self) -> None:
        """Counts the chunks in flight as lost, and continues after the last acknowledged bytes."""
        self.received_bytes = self.sent_bytes = self._last_acknowledged_bytes
        self.is_awaiting_reply = False

    def acknowledge(self, received_bytes: int) -> bool:
        """Processes a reply; True if the member has the complete snapshot.

        A reply without progress causes no retransmission: a chunk that was sent twice is answered twice, and
        each of these replies would duplicate all later chunks. The received bytes decrease only when the
        member restarts the assembly, at 0. So a reply with fewer bytes than before, but more than 0, is a
        delayed one.
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
    """Identifies the chunks of one snapshot; the index is not enough, since encodings of a state differ."""

    index: int
    term: int
    total_bytes: int
    checksum: int


class SnapshotAssembly:
    """The follower's side of a transfer: assembles the chunks of one snapshot."""

    def __init__(self) -> None:
        self._id: _SnapshotId | None = None
        self._leader_term = 0  # the term of the leader that sends the snapshot
        self._data = bytearray()
        self._reordered: dict[int, bytes] = {}  # chunks that arrived before an earlier one, by offset

    def add(self, chunk: SnapshotChunk) -> int:
        """Adds a chunk and returns how many bytes of its snapshot were received without a gap.

        Only a first chunk starts a new assembly, and only if the same leader did not make its snapshot before
        the one in progress. So a delayed chunk neither mixes with the assembly in progress nor discards it.
        """
        snapshot_id = _SnapshotId(chunk.last_index, chunk.last_term, chunk.total, chunk.checksum)
        if snapshot_id != self._id:
            if chunk.offset or self._is_older(chunk):
                return 0
            self._begin(snapshot_id, chunk.term)
        if 0 <= chunk.offset - len(self._data) <= MAX_REORDERED_BYTES:
            self._reordered[chunk.offset] = chunk.data
            self._append_contiguous()
        return len(self._data)

    def _append_contiguous(self) -> None:
        while data := self._reordered.pop(len(self._data), b""):
            self._data += data
        size = len(self._data)
        self._reordered = {offset: data for offset, data in self._reordered.items() if offset > size}

    def take_complete(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Returns the snapshot whose last chunk was added, or None if its checksum is wrong; then resets."""
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
