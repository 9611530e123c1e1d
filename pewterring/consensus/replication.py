"""The leader's side of replication: the progress of each other member, and the messages to send to it.

A member is in one of three replication modes, as in `Progress` of etcd's raft. An unresponsive member is sent
only heartbeats, since other messages would fill up links and memory. A slow member is not sent the same
entries twice.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.log import Log
from pewterring.consensus.messages import AppendReply, AppendRequest, Entry, SnapshotChunk, SnapshotReply
from pewterring.consensus.snapshot_transfer import ChunkRange, SnapshotTransfer
from pewterring.consensus.types import RaftLimits, Snapshot


class ReplicationMode(Enum):
    """How the leader sends entries to a member."""

    PROBE = "probe"  # one message at a time, until the member accepts one
    PIPELINE = "pipeline"  # as many messages as the window allows
    SNAPSHOT = "snapshot"  # the member needs a snapshot before further entries


class InFlightAppend(NamedTuple):
    """A message with entries that has not been answered yet."""

    last_index: int
    size_bytes: int


@dataclass(slots=True)
class Peer:
    """The replication progress of one other member, as known to the leader."""

    name: str
    next_index: int  # index of the next entry to send
    match: int = 0  # the member has the log on disk up to this index
    mode: ReplicationMode = ReplicationMode.PROBE
    is_probe_in_flight: bool = False
    in_flight: deque[InFlightAppend] = field(default_factory=deque)
    in_flight_bytes: int = 0
    transfer: SnapshotTransfer | None = None
    is_unresponsive: bool = True  # only heartbeats are sent to the member until it answers one

    def probe(self, next_index: int) -> None:
        """Switches to PROBE mode, starting at `next_index` or the first unmatched entry if that is later."""
        self.mode = ReplicationMode.PROBE
        self.next_index = max(next_index, self.match + 1)
        self.is_probe_in_flight = False
        self.in_flight.clear()
        self.in_flight_bytes = 0
        self.transfer = None

    def on_matched(self, index: int) -> bool:
        """Records that the member has the log on disk up to `index`; False if that was known before."""
        while self.in_flight and self.in_flight[0].last_index <= index:
            self.in_flight_bytes -= self.in_flight.popleft().size_bytes
        self.next_index = max(self.next_index, index + 1)
        if index <= self.match:
            return False
        self.match = index
        return True

    def on_sent(self, last_index: int, size_bytes: int) -> None:
        """Records that a message with entries up to `last_index` was sent."""
        self.next_index = last_index + 1
        self.in_flight.append(InFlightAppend(last_index, size_bytes))
        self.in_flight_bytes += size_bytes

    def has_window(self, limits: RaftLimits) -> bool:
        """Whether another message with entries may be sent now."""
        if self.mode is ReplicationMode.PROBE:
            return not self.is_probe_in_flight
        return len(self.in_flight) < limits.window_messages and self.in_flight_bytes < limits.window_bytes

    @property
    def needs_snapshot(self) -> bool:
        """Whether the member is responsive and needs a snapshot that has not been made yet."""
        return self.mode is ReplicationMode.SNAPSHOT and self.transfer is None and not self.is_unresponsive


Outgoing = list[AppendRequest | SnapshotChunk]


class Replication:
    """Creates the leader's messages to the other members and processes their replies, in one term."""

    def __init__(self, group: str, member: str, term: int, log: Log, limits: RaftLimits) -> None:
        self._group = group
        self._member = member
        self._term = term
        self._log = log
        self._limits = limits
        self.peers: dict[str, Peer] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Replicates to `members`, except to the leader itself; keeps the progress of those known before."""
        others = [member for member in members if member != self._member]
        self.peers = {
            other: self.peers.get(other) or Peer(other, self._log.last_index + 1) for other in others
        }

    def heartbeats(self, round_number: int, commit_index: int) -> Outgoing:
        """Creates a heartbeat, which is an append request without entries, for each other member."""
        return [self._heartbeat(peer, round_number, commit_index) for peer in self.peers.values()]

    def _heartbeat(self, peer: Peer, round_number: int, commit_index: int) -> AppendRequest:
        previous = peer.next_index - 1
        if peer.mode is ReplicationMode.SNAPSHOT or self._log.term_at(previous) is None:
            previous = 0  # index 0 matches every log, so the reply verifies nothing about the member's log
        return self._append_request(peer, previous, commit_index, round_number, ())

    def _append_request(
        self, peer: Peer, previous: int, commit_index: int, round_number: int, entries: tuple[Entry, ...]
    ) -> AppendRequest:
        return AppendRequest(
            group=self._group,
            sender=self._member,
            target=peer.name,
            term=self._term,
            previous_index=previous,
            previous_term=(self._log.term_at(previous) or 0) if previous else 0,
            commit=commit_index,
            round=round_number,
            entries=entries,
        )

    def flush(self, now: float, round_number: int, commit_index: int) -> Outgoing:
        """Creates the messages with entries and snapshot chunks that may be sent now."""
        outgoing: Outgoing = []
        for peer in self.peers.values():
            if peer.is_unresponsive:
                continue
            if peer.mode is not ReplicationMode.SNAPSHOT and peer.next_index <= self._log.base_index:
                peer.mode = ReplicationMode.SNAPSHOT
            if peer.mode is ReplicationMode.SNAPSHOT:
                self._flush_snapshot(peer, now, round_number, outgoing)
            else:
                self._flush_entries(peer, round_number, commit_index, outgoing)
        return outgoing

    def _flush_entries(self, peer: Peer, round_number: int, commit_index: int, outgoing: Outgoing) -> None:
        while peer.next_index <= self._log.last_index and peer.has_window(self._limits):
            previous = peer.next_index - 1
            entries, size_bytes = self._log.batch(peer.next_index, self._limits.message_bytes)
            outgoing.append(self._append_request(peer, previous, commit_index, round_number, entries))
            if peer.mode is ReplicationMode.PROBE:
                peer.is_probe_in_flight = True
            else:
                peer.on_sent(entries[-1].index, size_bytes)

    def _flush_snapshot(self, peer: Peer, now: float, round_number: int, outgoing: Outgoing) -> None:
        transfer = peer.transfer
        while transfer is not None and (chunk := transfer.next_chunk(self._limits)) is not None:
            outgoing.append(self._chunk_message(peer, transfer, chunk, round_number))
            transfer.on_chunk_sent(len(chunk.data), now, round_number)

    def _chunk_message(
        self, peer: Peer, transfer: SnapshotTransfer, chunk: ChunkRange, round_number: int
    ) -> SnapshotChunk:
        snapshot = transfer.snapshot
        return SnapshotChunk(
            group=self._group,
            sender=self._member,
            target=peer.name,
            term=self._term,
            last_index=snapshot.index,
            last_term=snapshot.term,
            membership=snapshot.membership,
            offset=chunk.offset,
            total=len(snapshot.data),
            checksum=transfer.checksum,
            data=chunk.data,
            round=round_number,
        )

    def on_append_reply(self, reply: AppendReply) -> bool:
        """Processes a reply; True if more entries than before are known to be on the member's disk.

        Raises:
            InvariantError: the member acknowledges entries that the leader does not have.
        """
        peer = self.peers.get(reply.sender)
        if peer is None:
            return False
        peer.is_unresponsive = False
        if peer.transfer is not None:
            peer.transfer.on_heartbeat_answered(reply.round)
        if not reply.accepted:
            if peer.mode is not ReplicationMode.SNAPSHOT:
                peer.probe(min(reply.match + 1, peer.next_index))
            return False
        if reply.match > self._log.last_index:
            raise InvariantError(
                f"{peer.name} acknowledged entry {reply.match}, which the leader does not have"
            )
        return self._on_accepted(peer, reply.match)

    def _on_accepted(self, peer: Peer, match: int) -> bool:
        advanced = peer.on_matched(match)
        if peer.mode is ReplicationMode.PROBE:
            peer.mode = ReplicationMode.PIPELINE
            peer.is_probe_in_flight = False
        elif peer.mode is ReplicationMode.SNAPSHOT and peer.match >= self._log.base_index:
            peer.probe(peer.match + 1)
        return advanced

    def on_snapshot_reply(self, reply: SnapshotReply) -> bool:
        """Processes a reply; True if more entries than before are known to be on the member's disk."""
        peer = self.peers.get(reply.sender)
        if peer is None or peer.transfer is None or peer.transfer.snapshot.index != reply.last_index:
            return False
        peer.is_unresponsive = False
        if not peer.transfer.acknowledge(reply.received):
            return False
        advanced = peer.on_matched(reply.last_index)
        peer.probe(peer.match + 1)
        return advanced

    @property
    def snapshot_wanted(self) -> bool:
        """Whether a member needs a snapshot to be made."""
        return any(peer.needs_snapshot for peer in self.peers.values())

    def offer_snapshot(self, snapshot: Snapshot) -> None:
        """Starts to send `snapshot` to the members that need one."""
        for peer in self.peers.values():
            if peer.needs_snapshot:
                peer.transfer = SnapshotTransfer.begin(snapshot)

    def retransmit_overdue(self, now: float, timeout_s: float) -> None:
        """Schedules the retransmission of snapshot chunks that were not answered within `timeout_s`."""
        for peer in self.peers.values():
            if peer.transfer is not None:
                peer.transfer.retransmit_if_overdue(now, timeout_s, self._limits)

    def mark_unresponsive(self, name: str) -> None:
        """Marks a member as unresponsive; messages in flight to it count as lost.

        The received bytes of a snapshot are kept. Otherwise a member that repeatedly pauses for longer than
        the timeout would restart at the first byte each time and never receive a complete snapshot.
        """
        peer = self.peers[name]
        if peer.is_unresponsive:
            return
        peer.is_unresponsive = True
        if peer.transfer is not None:
            peer.transfer.rewind()
        else:
            is_probing = peer.mode is ReplicationMode.PROBE
            peer.probe(peer.next_index if is_probing else peer.match + 1)

    def oldest_snapshot_index(self) -> int | None:
        """The index of the oldest snapshot being sent, whose receiver needs the entries after it, or None."""
        indexes = [
            peer.transfer.snapshot.index
            for peer in self.peers.values()
            if peer.transfer is not None and not peer.is_unresponsive
        ]
        return min(indexes, default=None)

    def on_log_compacted(self) -> None:
        """Drops transfers to unresponsive members if the log no longer has the entries after the snapshot."""
        for peer in self.peers.values():
            if peer.transfer is None or not peer.is_unresponsive:
                continue
            if peer.transfer.snapshot.index < self._log.base_index:
                peer.transfer = None
