"""Owns the leader's side of replication: what each other member has, and what to send it next.

Entries go in one of three modes (as `Progress` of etcd's raft). What may go wrong: a member that does not
answer must cost nothing but heartbeats, or its messages fill the links and the memory; and what a slow one
has already been sent must not be sent again.
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
    """How entries go to a member."""

    PROBE = "probe"  # one message at a time, until one is accepted
    PIPELINE = "pipeline"  # as many messages as the window allows
    SNAPSHOT = "snapshot"  # needs a snapshot first


class InFlightAppend(NamedTuple):
    """A message with entries that was not answered yet."""

    last_index: int
    size_bytes: int


@dataclass(slots=True)
class Peer:
    """The leader's view of one other member."""

    name: str
    next_index: int
    match: int = 0  # entries up to here are on its disk
    mode: ReplicationMode = ReplicationMode.PROBE
    is_probe_in_flight: bool = False
    in_flight: deque[InFlightAppend] = field(default_factory=deque)
    in_flight_bytes: int = 0
    transfer: SnapshotTransfer | None = None
    is_unresponsive: bool = True  # nothing but heartbeats is sent to it until it answers one

    def probe(self, next_index: int) -> None:
        """Goes back to one message at a time."""
        self.mode = ReplicationMode.PROBE
        self.next_index = max(next_index, self.match + 1)
        self.is_probe_in_flight = False
        self.in_flight.clear()
        self.in_flight_bytes = 0
        self.transfer = None

    def on_matched(self, index: int) -> bool:
        """Entries up to `index` are on the member's disk; False if that is nothing new."""
        while self.in_flight and self.in_flight[0].last_index <= index:
            self.in_flight_bytes -= self.in_flight.popleft().size_bytes
        self.next_index = max(self.next_index, index + 1)
        if index <= self.match:
            return False
        self.match = index
        return True

    def on_sent(self, last_index: int, size_bytes: int) -> None:
        """A message with entries up to `last_index` was sent."""
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
        """Whether the member answers, and waits for a snapshot that was not made yet."""
        return self.mode is ReplicationMode.SNAPSHOT and self.transfer is None and not self.is_unresponsive


Outgoing = list[AppendRequest | SnapshotChunk]


class Replication:
    """Makes the leader's messages to the other members and takes their answers, in one term."""

    def __init__(self, group: str, member: str, term: int, log: Log, limits: RaftLimits) -> None:
        self._group = group
        self._member = member
        self._term = term
        self._log = log
        self._limits = limits
        self.peers: dict[str, Peer] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Keeps a `Peer` for each of `members` except the leader itself."""
        others = [member for member in members if member != self._member]
        self.peers = {
            other: self.peers.get(other) or Peer(other, self._log.last_index + 1) for other in others
        }

    def heartbeats(self, round_number: int, commit_index: int) -> Outgoing:
        """A message without entries for each member."""
        return [self._heartbeat(peer, round_number, commit_index) for peer in self.peers.values()]

    def _heartbeat(self, peer: Peer, round_number: int, commit_index: int) -> AppendRequest:
        previous = peer.next_index - 1
        if peer.mode is ReplicationMode.SNAPSHOT or self._log.term_at(previous) is None:
            previous = 0  # agrees with any log, and claims nothing about this one
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
        """Whatever entries and snapshot chunks may be sent now."""
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
        """Takes an answer; True if more entries are known to be on the member's disk.

        Raises:
            InvariantError: the member claims entries that the leader does not have.
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
            raise InvariantError(f"{peer.name} claims entry {reply.match}, which the leader does not have")
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
        """Takes an answer; True if more entries are known to be on the member's disk."""
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
        """Whether a member waits for a snapshot to be made."""
        return any(peer.needs_snapshot for peer in self.peers.values())

    def offer_snapshot(self, snapshot: Snapshot) -> None:
        """Starts to send `snapshot` to the members that wait for one."""
        for peer in self.peers.values():
            if peer.needs_snapshot:
                peer.transfer = SnapshotTransfer.begin(snapshot)

    def retransmit_overdue(self, now: float, patience_s: float) -> None:
        """Sends snapshot chunks again that were not answered in `patience_s`."""
        for peer in self.peers.values():
            if peer.transfer is not None:
                peer.transfer.retransmit_if_overdue(now, patience_s, self._limits)

    def mark_unresponsive(self, name: str) -> None:
        """The member does not answer: what is in flight to it counts as lost.

        What it has of a snapshot is remembered. A member that is paused now and then, longer than a leader
        waits, would otherwise begin each time at the first byte and never have a complete one.
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
        """The index of the oldest snapshot being sent; the entries after it will be needed."""
        indexes = [
            peer.transfer.snapshot.index
            for peer in self.peers.values()
            if peer.transfer is not None and not peer.is_unresponsive
        ]
        return min(indexes, default=None)

    def on_log_compacted(self) -> None:
        """Drops snapshots to unresponsive members that could not go on from them with the entries left."""
        for peer in self.peers.values():
            if peer.transfer is None or not peer.is_unresponsive:
                continue
            if peer.transfer.snapshot.index < self._log.base_index:
                peer.transfer = None
