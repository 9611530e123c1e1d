"""The follower role in replication: applies a leader's entries and snapshots to the log.

A committed entry that a leader would overwrite, or a second leader in one term, violates Raft's safety
properties (Raft paper, figure 3). Each raises `InvariantError`, and the member stops.
"""

from dataclasses import dataclass

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.log import Log
from pewterring.consensus.messages import AppendReply, AppendRequest, Entry, SnapshotChunk, SnapshotReply
from pewterring.consensus.snapshot_transfer import SnapshotAssembly
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import Role, Snapshot


@dataclass(frozen=True, slots=True)
class LogMerge:
    """The changes to the log: delete the entries from `truncate_from` on, then append `new_entries`."""

    agreed_index: int  # once merged, the log agrees with the leader's up to this index
    truncate_from: int | None
    new_entries: tuple[Entry, ...]


def rejection_hint(log: Log, request: AppendRequest) -> int | None:
    """The index that the leader should try next; None if the log contains the request's previous entry."""
    previous = request.previous_index
    if previous <= log.base_index:
        return None  # entries covered by a snapshot are committed, so the leader's are the same
    if previous > log.last_index:
        return log.last_index
    if log.term_at(previous) == request.previous_term:
        return None
    return log.term_start(previous) - 1


def plan_merge(log: Log, request: AppendRequest, commit_index: int) -> LogMerge:
    """Compares the request's entries with those of the log, which contains the request's previous entry.

    Raises:
        InvariantError: a committed entry would be overwritten.
    """
    agreed_index = max(request.previous_index, log.base_index)
    for position, entry in enumerate(request.entries):
        if entry.index <= log.base_index:
            continue
        term = log.term_at(entry.index)
        if term != entry.term:
            return _merge_from_conflict(request.entries[position:], term, commit_index)
        agreed_index = entry.index
    return LogMerge(agreed_index, None, ())


def _merge_from_conflict(new_entries: tuple[Entry, ...], own_term: int | None, commit_index: int) -> LogMerge:
    first = new_entries[0].index
    if own_term is None:
        return LogMerge(new_entries[-1].index, None, new_entries)
    if first <= commit_index:
        raise InvariantError(
            f"entry {first} is committed with term {own_term}, but the leader has another term for it"
        )
    return LogMerge(new_entries[-1].index, first, new_entries)


class FollowerRole:
    """Processes the messages of a leader for one member, and replies to them."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._assembly = SnapshotAssembly()

    def _on_leader_contact(self, now: float, request: AppendRequest | SnapshotChunk) -> None:
        state = self._state
        if state.role is Role.LEADER and request.term == state.term:
            raise InvariantError(f"{request.sender} leads in term {request.term}, but so does this member")
        state.become_follower(now, request.term, request.sender)
        state.last_leader_round = max(state.last_leader_round, request.round)
        state.votes_withheld_until = now + state.timing.election_min_s
        state.election_due_at = state.next_election_time(now)

    def on_append(self, now: float, request: AppendRequest) -> None:
        """Processes an append request or a heartbeat.

        Raises:
            InvariantError: the sender's log or leadership contradicts that of this member.
        """
        state = self._state
        if request.term < state.term:
            # The reply carries round 0: if the sender leads in the newer term by now, it must not mistake the
            # round of the older term for one of its own.
            self._reply_append(request, False, 0, round_number=0)
            return
        self._on_leader_contact(now, request)
        hint = rejection_hint(state.log, request)
        if hint is not None:
            self._reply_append(request, False, hint, request.round)
            return
        agreed_index = self._merge(request)
        state.commit_index = max(state.commit_index, min(request.commit, agreed_index))
        # The reply to a heartbeat does not wait for the disk: it acknowledges only entries already on disk.
        match = agreed_index if request.entries else min(agreed_index, state.unpersisted.persisted_index)
        self._reply_append(request, True, match, request.round)

    def _merge(self, request: AppendRequest) -> int:
        merge = plan_merge(self._state.log, request, self._state.commit_index)
        if merge.truncate_from is not None:
            self._state.truncate(merge.truncate_from)
        self._state.append(merge.new_entries)
        return merge.agreed_index

    def _reply_append(self, request: AppendRequest, accepted: bool, match: int, round_number: int) -> None:
        state = self._state
        reply = AppendReply(
            group=state.group,
            sender=state.member,
            target=request.sender,
            term=state.term,
            accepted=accepted,
            match=match,
            round=round_number,
            departing=state.departing,
        )
        state.send_when_persisted(reply, match if accepted else 0)

    def on_snapshot_chunk(self, now: float, chunk: SnapshotChunk) -> None:
        """Processes a chunk of a snapshot, and installs the snapshot once it is complete.

        Raises:
            InvariantError: the sender leads in a term in which this member leads.
        """
        if chunk.term < self._state.term:
            self._reply_snapshot(chunk, 0, round_number=0)
            return
        self._on_leader_contact(now, chunk)
        self._reply_snapshot(chunk, self._take_chunk(chunk), chunk.round)

    def _take_chunk(self, chunk: SnapshotChunk) -> int:
        """Returns how many bytes of the snapshot were received; all of them if it is not needed any more."""
        if chunk.last_index <= self._state.commit_index:
            return chunk.total
        received_bytes = self._assembly.add(chunk)
        if received_bytes < chunk.total:
            return received_bytes
        snapshot = self._assembly.take_complete(chunk)
        if snapshot is None:
            return 0
        self._install(snapshot)
        return chunk.total

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        if state.log.term_at(snapshot.index) != snapshot.term:
            state.log.reset(snapshot.index, snapshot.term)
            state.members.reset(snapshot.membership)
            state.unpersisted.on_snapshot_received(snapshot, state.commit_index)
        state.commit_index = snapshot.index

    def _reply_snapshot(self, chunk: SnapshotChunk, received_bytes: int, round_number: int) -> None:
        state = self._state
        reply = SnapshotReply(
            group=state.group,
            sender=state.member,
            target=chunk.sender,
            term=state.term,
            last_index=chunk.last_index,
            received=received_bytes,
            round=round_number,
        )
        state.send_when_persisted(reply, chunk.last_index if received_bytes >= chunk.total else 0)
