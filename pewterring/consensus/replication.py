"""The leader's side of replication: what each other member has, and what to send it next."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.log import Log
from pewterring.consensus.messages import AppendReply, AppendRequest, Entry, SnapshotChunk, SnapshotReply
from pewterring.consensus.snapshot_transfer import SnapshotTransfer
from pewterring.consensus.types import RaftLimits, Snapshot


class Flow(Enum):
    """How entries go to a member."""

    PROBE = "probe"  # one message at a time, until one is accepted
    STREAM = "stream"  # as many as the window allows
    SNAPSHOT = "snapshot"  # needs a snapshot first


@dataclass(slots=True)
class Peer:
    """The leader's view of one other member."""

    name: str
    next_index: int
    match: int = 0  # entries up to here are on its disk
    flow: Flow = Flow.PROBE
    waiting: bool = False  # a probe was sent and not answered
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)  # last index and size of messages
    in_flight_bytes: int = 0
    transfer: SnapshotTransfer | None = None
    silent: bool = True  # nothing but heartbeats is sent to it until it answers one

    def probe(self, next_index: int) -> None:
        """Goes back to one message at a time."""
        self.flow = Flow.PROBE
        self.next_index = max(next_index, self.match + 1)
        self.waiting = False
        self.in_flight.clear()
        self.in_flight_bytes = 0
        self.transfer = None

    def matched(self, index: int) -> bool:
        """Takes note that entries up to `index` are on the member's disk; False if that is nothing new."""
        while self.in_flight and self.in_flight[0][0] <= index:
            self.in_flight_bytes -= self.in_flight.popleft()[1]
        self.next_index = max(self.next_index, index + 1)
        if index <= self.match:
            return False
        self.match = index
        return True

    def sent(self, last_index: int, size: int) -> None:
        """Takes note of a message with entries up to `last_index`."""
        self.next_index = last_index + 1
        self.in_flight.append((last_index, size))
        self.in_flight_bytes += size

    def window_open(self, limits: RaftLimits) -> bool:
        """Whether another message with entries may be sent now."""
        if self.flow is Flow.PROBE:
            return not self.waiting
        return len(self.in_flight) < limits.window_messages and self.in_flight_bytes < limits.window_bytes


Outgoing = list[AppendRequest | SnapshotChunk]


class Replication:
    """Makes the leader's messages to the other members and takes their answers."""

    def __init__(self, group: str, member: str, term: int, log: Log, limits: RaftLimits) -> None:
        self._group = group
        self._member = member
        self._term = term
        self._log = log
        self._limits = limits
        self.peers: dict[str, Peer] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Keeps a `Peer` for each of `members` but the own one."""
        others = [member for member in members if member != self._member]
        self.peers = {
            other: self.peers.get(other) or Peer(other, self._log.last_index + 1) for other in others
        }

    def heartbeats(self, round_number: int, commit: int) -> Outgoing:
        """A message without entries for each member."""
        return [self._heartbeat(peer, round_number, commit) for peer in self.peers.values()]

    def _heartbeat(self, peer: Peer, round_number: int, commit: int) -> AppendRequest:
        previous = peer.next_index - 1
        if peer.flow is Flow.SNAPSHOT or self._log.term_at(previous) is None:
            previous = 0  # agrees with any log, and tells nothing of this one
        return self._append_request(peer, previous, commit, round_number, ())

    def _append_request(
        self, peer: Peer, previous: int, commit: int, round_number: int, entries: tuple[Entry, ...]
    ) -> AppendRequest:
        return AppendRequest(
            group=self._group,
            sender=self._member,
            target=peer.name,
            term=self._term,
            previous_index=previous,
            previous_term=(self._log.term_at(previous) or 0) if previous else 0,
            commit=commit,
            round=round_number,
            entries=entries,
        )

    def flush(self, now: float, round_number: int, commit: int) -> Outgoing:
        """Whatever entries and parts of snapshots may be sent now."""
        outgoing: Outgoing = []
        for peer in self.peers.values():
            if peer.silent:
                continue
            if peer.flow is not Flow.SNAPSHOT and peer.next_index <= self._log.base_index:
                peer.flow = Flow.SNAPSHOT
            if peer.flow is Flow.SNAPSHOT:
                self._flush_snapshot(peer, now, round_number, outgoing)
            else:
                self._flush_entries(peer, round_number, commit, outgoing)
        return outgoing

    def _flush_entries(self, peer: Peer, round_number: int, commit: int, outgoing: Outgoing) -> None:
        while peer.next_index <= self._log.last_index and peer.window_open(self._limits):
            previous = peer.next_index - 1
            entries, size = self._log.batch(peer.next_index, self._limits.message_bytes)
            outgoing.append(self._append_request(peer, previous, commit, round_number, entries))
            if peer.flow is Flow.PROBE:
                peer.waiting = True
            else:
                peer.sent(entries[-1].index, size)

    def _flush_snapshot(self, peer: Peer, now: float, round_number: int, outgoing: Outgoing) -> None:
        transfer = peer.transfer
        while transfer is not None and (part := transfer.next_part(self._limits)) is not None:
            offset, data = part
            outgoing.append(self._part(peer, transfer, offset, data, round_number))
            transfer.sent_part(len(data), now, round_number)

    def _part(
        self, peer: Peer, transfer: SnapshotTransfer, offset: int, data: bytes, round_number: int
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
            offset=offset,
            total=len(snapshot.data),
            checksum=transfer.checksum,
            data=data,
            round=round_number,
        )

    def on_append_reply(self, reply: AppendReply) -> bool:
        """Takes an answer; True if more entries are known to be on the member's disk."""
        peer = self.peers.get(reply.sender)
        if peer is None:
            return False
        peer.silent = False
        if peer.transfer is not None:
            peer.transfer.heard(reply.round)
        if not reply.accepted:
            if peer.flow is not Flow.SNAPSHOT:
                peer.probe(min(reply.match + 1, peer.next_index))
            return False
        if reply.match > self._log.last_index:
            raise InvariantError(f"{peer.name} claims entry {reply.match}, which the leader does not have")
        advanced = peer.matched(reply.match)
        if peer.flow is Flow.PROBE:
            peer.flow = Flow.STREAM
            peer.waiting = False
        elif peer.flow is Flow.SNAPSHOT and peer.match >= self._log.base_index:
            peer.probe(peer.match + 1)
        return advanced

    def on_snapshot_reply(self, reply: SnapshotReply) -> bool:
        """Takes an answer; True if more entries are known to be on the member's disk."""
        peer = self.peers.get(reply.sender)
        if peer is None or peer.transfer is None or peer.transfer.snapshot.index != reply.last_index:
            return False
        peer.silent = False
        if not peer.transfer.acknowledge(reply.received):
            return False
        advanced = peer.matched(reply.last_index)
        peer.probe(peer.match + 1)
        return advanced

    @property
    def snapshot_wanted(self) -> bool:
        """Whether a member waits for a snapshot to be made."""
        return any(
            peer.flow is Flow.SNAPSHOT and peer.transfer is None and not peer.silent
            for peer in self.peers.values()
        )

    def offer_snapshot(self, snapshot: Snapshot) -> None:
        """Starts to send `snapshot` to the members that wait for one."""
        for peer in self.peers.values():
            if peer.flow is Flow.SNAPSHOT and peer.transfer is None and not peer.silent:
                peer.transfer = SnapshotTransfer.begin(snapshot)

    def retry_lost(self, now: float, patience_s: float) -> None:
        """Sends parts of snapshots again that were not answered in `patience_s`."""
        for peer in self.peers.values():
            if peer.transfer is not None:
                peer.transfer.retry_after(now, patience_s, self._limits)

    def give_up(self, name: str) -> None:
        """The member is silent: what is on the way to it counts as lost.

        What it has of a snapshot is remembered. A member that stands still now and then, longer than a
        leader waits, would else begin each time from the first byte and never have one whole.
        """
        peer = self.peers[name]
        if peer.silent:
            return
        peer.silent = True
        if peer.transfer is not None:
            peer.transfer.go_back()
        else:
            peer.probe(peer.match + 1 if peer.flow is not Flow.PROBE else peer.next_index)

    def oldest_snapshot(self) -> int | None:
        """The index of the oldest snapshot being sent; the entries after it will be needed."""
        indexes = [
            peer.transfer.snapshot.index
            for peer in self.peers.values()
            if peer.transfer is not None and not peer.silent
        ]
        return min(indexes, default=None)

    def compacted(self) -> None:
        """The log forgot entries: snapshots to silent members that cannot go on from them are dropped."""
        for peer in self.peers.values():
            if (
                peer.silent
                and peer.transfer is not None
                and peer.transfer.snapshot.index < self._log.base_index
            ):
                peer.transfer = None
