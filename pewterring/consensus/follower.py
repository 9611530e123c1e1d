"""The follower's side of replication: what a leader's entries and snapshots do to the log."""

from dataclasses import dataclass

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.log import Log
from pewterring.consensus.messages import AppendReply, AppendRequest, Entry, SnapshotChunk, SnapshotReply
from pewterring.consensus.snapshot_transfer import SnapshotAssembly
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import Role, Snapshot


@dataclass(frozen=True, slots=True)
class Placement:
    """Where entries go: those from `truncate_from` on are dropped, then `fresh` ones are appended."""

    agreed: int  # the log agrees with the leader's up to here, `fresh` included
    truncate_from: int | None
    fresh: tuple[Entry, ...]


def rejection_hint(log: Log, request: AppendRequest) -> int | None:
    """Where the leader should try next; None if the log holds the entry before the request's."""
    previous = request.previous_index
    if previous <= log.base_index:
        return None  # what a snapshot covers is committed, so the leader has the same
    if previous > log.last_index:
        return log.last_index
    if log.term_at(previous) == request.previous_term:
        return None
    return log.term_start(previous) - 1


def place_entries(log: Log, request: AppendRequest, commit: int) -> Placement:
    """Compares the request's entries with the log's; the entry before them must agree."""
    agreed = max(request.previous_index, log.base_index)
    for position, entry in enumerate(request.entries):
        if entry.index <= log.base_index:
            continue
        term = log.term_at(entry.index)
        if term != entry.term:
            return _place_rest(request.entries[position:], term, commit)
        agreed = entry.index
    return Placement(agreed, None, ())


def _place_rest(fresh: tuple[Entry, ...], term: int | None, commit: int) -> Placement:
    first = fresh[0].index
    if term is None:
        return Placement(fresh[-1].index, None, fresh)
    if first <= commit:
        raise InvariantError(f"entry {first} is committed with term {term}, and the leader has another")
    return Placement(fresh[-1].index, first, fresh)


class FollowerRole:
    """The part of a member that takes a leader's messages."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._assembly = SnapshotAssembly()

    def _hear_leader(self, now: float, request: AppendRequest | SnapshotChunk) -> None:
        state = self._state
        if state.role is Role.LEADER and request.term == state.term:
            raise InvariantError(f"{request.sender} leads in term {request.term}, in which this member leads")
        state.become_follower(now, request.term, request.sender)
        state.last_leader_round = max(state.last_leader_round, request.round)
        state.vote_free_at = now + state.timing.election_min_s
        state.election_at = state.election_time(now)

    def on_append(self, now: float, request: AppendRequest) -> None:
        """Takes entries, or a heartbeat."""
        state = self._state
        if request.term < state.term:
            # Round 0: another term's rounds must not be taken for this one's, should the sender lead in it.
            self._reply_append(request, False, 0, round_number=0)
            return
        self._hear_leader(now, request)
        hint = rejection_hint(state.log, request)
        if hint is not None:
            self._reply_append(request, False, hint, request.round)
            return
        agreed = self._accept(request)
        state.commit_index = max(state.commit_index, min(request.commit, agreed))
        # A heartbeat's answer does not wait for the disk: it tells only what is there already.
        match = agreed if request.entries else min(agreed, state.unpersisted.persisted_index)
        self._reply_append(request, True, match, request.round)

    def _accept(self, request: AppendRequest) -> int:
        placement = place_entries(self._state.log, request, self._state.commit_index)
        if placement.truncate_from is not None:
            self._state.truncate(placement.truncate_from)
        self._state.append(placement.fresh)
        return placement.agreed

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

    def on_snapshot_part(self, now: float, part: SnapshotChunk) -> None:
        """Takes a part of a snapshot, and the snapshot once it is whole."""
        if part.term < self._state.term:
            self._reply_snapshot(part, 0, round_number=0)
            return
        self._hear_leader(now, part)
        self._reply_snapshot(part, self._take_part(part), part.round)

    def _take_part(self, part: SnapshotChunk) -> int:
        """How many bytes of the part's snapshot are there; all where it is needed no more."""
        if part.last_index <= self._state.commit_index:
            return part.total
        received = self._assembly.add(part)
        if received < part.total:
            return received
        snapshot = self._assembly.take_whole(part)
        if snapshot is None:
            return 0
        self._install(snapshot)
        return part.total

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        if state.log.term_at(snapshot.index) != snapshot.term:
            state.log.reset(snapshot.index, snapshot.term)
            state.members.reset(snapshot.membership)
            state.unpersisted.replaced(snapshot, state.commit_index)
        state.commit_index = snapshot.index

    def _reply_snapshot(self, part: SnapshotChunk, received: int, round_number: int) -> None:
        state = self._state
        reply = SnapshotReply(
            group=state.group,
            sender=state.member,
            target=part.sender,
            term=state.term,
            last_index=part.last_index,
            received=received,
            round=round_number,
        )
        state.send_when_persisted(reply, part.last_index if received >= part.total else 0)
