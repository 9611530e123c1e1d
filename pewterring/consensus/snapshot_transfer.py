"""A snapshot on its way from the leader to a member: cut into parts, and put together again."""

import zlib
from dataclasses import dataclass
from math import inf

from pewterring.consensus.messages import SnapshotChunk
from pewterring.consensus.types import RaftLimits, Snapshot

MOST_AHEAD_BYTES = 4_000_000  # how far behind a missing part others are kept; a leader's window is smaller


@dataclass(slots=True)
class SnapshotTransfer:
    """The leader's side: some parts are on the way at a time, from `received` on.

    After a loss it goes back to what the member has (go-back-N). What the member has kept of the parts
    behind a lost one it tells as soon as that one came.
    """

    snapshot: Snapshot
    checksum: int
    received: int = 0  # bytes that the member said it has
    sent: int = 0  # bytes up to which parts were sent
    waiting: bool = False  # a part was sent and not answered
    idle_since: float = -inf  # when a part was sent last, or an answer told something new
    round: int = 0  # in which the last part was sent
    overtaken: bool = False  # a heartbeat was answered that was sent after the last part
    _advanced: bool = False  # since `idle_since`
    _told: int = 0  # bytes by the answer that came last, which may be an old one

    @classmethod
    def begin(cls, snapshot: Snapshot) -> "SnapshotTransfer":
        """A transfer of which nothing was sent."""
        return cls(snapshot, zlib.crc32(snapshot.data))

    def next_part(self, limits: RaftLimits) -> tuple[int, bytes] | None:
        """Offset and bytes of the next part; None where no part may be sent now."""
        if self.waiting and not self._may_follow(limits):
            return None
        return self.sent, self.snapshot.data[self.sent : self.sent + limits.snapshot_chunk_bytes]

    def _may_follow(self, limits: RaftLimits) -> bool:
        """Whether a part may be sent behind others; the first goes alone, as it begins the assembly."""
        window_bytes = limits.snapshot_chunks_in_flight * limits.snapshot_chunk_bytes
        in_flight = self.sent - self.received
        return self.received > 0 and self.sent < len(self.snapshot.data) and in_flight < window_bytes

    def sent_part(self, size: int, now: float, round_number: int) -> None:
        """Takes note that the next part, of `size` bytes, was sent."""
        self.sent += size
        self.waiting = True
        self.idle_since = now
        self._advanced = False
        self.round = round_number
        self.overtaken = False

    def heard(self, round_number: int) -> None:
        """The member answered a heartbeat of that round."""
        self.overtaken = self.overtaken or round_number > self.round

    def retry_after(self, now: float, patience_s: float, limits: RaftLimits) -> None:
        """Goes back where parts were not answered in `patience_s`, each in its own.

        Messages keep their order on a link, so an answer to a later heartbeat shows at once that the parts
        are not merely waiting in it. A member that is only slow is sent nothing twice.
        """
        if self._advanced:
            self._advanced = False
            self.idle_since = now
        patience_s *= 1 if self.overtaken else limits.snapshot_chunks_in_flight
        if self.waiting and now - self.idle_since > patience_s:
            self.go_back()

    def go_back(self) -> None:
        """What is on the way counts as lost: goes on from what the member said last."""
        self.received = self.sent = self._told
        self.waiting = False

    def acknowledge(self, received: int) -> bool:
        """Takes an answer; True if the member has all.

        An answer that tells nothing new does not send parts once more: a part that was sent twice is
        answered twice, and each answer would double all parts after it. What a member has becomes less
        only by beginning anew, at nothing; an answer with less, but something, is one that came late.
        """
        self._told = min(received, len(self.snapshot.data))
        if received >= len(self.snapshot.data):
            return True
        if received > self.received:
            self.received = received
            self.sent = max(self.sent, received)
            self.waiting = self.sent > received
            self._advanced = True
        elif not received and self.received:
            self.go_back()
        return False


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
        self._ahead: dict[int, bytes] = {}  # by offset: parts that came before one that they follow

    def add(self, part: SnapshotChunk) -> int:
        """Takes a part and returns how many bytes of its snapshot are there.

        Only a first part begins a snapshot, and none that the same leader made before the one under way:
        a part that comes late neither mixes with it nor undoes what is there.
        """
        snapshot_id = _SnapshotId(part.last_index, part.last_term, part.total, part.checksum)
        if snapshot_id != self._id:
            if part.offset or self._is_older(part):
                return 0
            self._begin(snapshot_id, part.term)
        if 0 <= part.offset - len(self._data) <= MOST_AHEAD_BYTES:
            self._ahead[part.offset] = part.data
            self._join()
        return len(self._data)

    def _join(self) -> None:
        while data := self._ahead.pop(len(self._data), b""):
            self._data += data
        self._ahead = {offset: data for offset, data in self._ahead.items() if offset > len(self._data)}

    def take_whole(self, part: SnapshotChunk) -> Snapshot | None:
        """The snapshot whose last part was added, or None where its bytes are not as sent; starts afresh."""
        data = bytes(self._data)
        self._id = None
        self._forget()
        if zlib.crc32(data) != part.checksum:
            return None
        return Snapshot(part.last_index, part.last_term, part.membership, data)

    def _is_older(self, part: SnapshotChunk) -> bool:
        return self._id is not None and part.term == self._sent_in and part.last_index < self._id.index

    def _begin(self, snapshot_id: _SnapshotId, sent_in: int) -> None:
        self._id = snapshot_id
        self._sent_in = sent_in
        self._forget()

    def _forget(self) -> None:
        self._data = bytearray()
        self._ahead = {}
