"""Cores that break one rule each: the checks of the simulation must catch every one of them."""

import dataclasses
from random import Random

import msgspec

from pewterring.consensus.follower import FollowerRole
from pewterring.consensus.heartbeat_rounds import HeartbeatRounds
from pewterring.consensus.leader import LeaderRole
from pewterring.consensus.messages import (
    AppendReply,
    ConsensusMessage,
    DepartureNotice,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from pewterring.consensus.persistent import PersistentState
from pewterring.consensus.raft import Raft
from pewterring.consensus.replication import Replication
from pewterring.consensus.snapshot_transfer import SnapshotAssembly
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import RaftConfig, ReadTicket, Ready, Save, Snapshot


class _SendsEarly(Raft):
    """Sends some messages before the disk has what they claim."""

    early: type[ConsensusMessage]
    _real_save: Save | None = None

    def take_ready(self, now: float, can_save: bool = True) -> Ready:
        ready = super().take_ready(now, can_save)
        if ready.save is None:
            return ready
        self._real_save = ready.save
        waiting = ready.save.messages_after_sync
        early = [message for message in waiting if isinstance(message, self.early)]
        late = [message for message in waiting if not isinstance(message, self.early)]
        save = dataclasses.replace(ready.save, messages_after_sync=late)
        at_once = [*ready.messages_before_sync, *early]
        return dataclasses.replace(ready, messages_before_sync=at_once, save=save)

    def persisted(self, now: float, _save: Save) -> None:
        assert self._real_save is not None
        super().persisted(now, self._real_save)


class _IgnoresDepartures(LeaderRole):
    def is_departing(self, _member: str) -> bool:
        return False


class IgnoresDepartures(Raft):
    """Leads as if no voter had said its departure."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _IgnoresDepartures(self._state, now)


class _AcceptsLateDepartures(LeaderRole):
    def on_departure_notice(self, message: DepartureNotice) -> None:
        self._departing_members.on_notice(message.sender, self._rounds.latest_round)


class AcceptsLateDepartures(Raft):
    """Takes a departure of an earlier life of the member for one of the life that runs now."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _AcceptsLateDepartures(self._state, now)


class VoteBeforeSync(_SendsEarly):
    """Tells its vote before it is on disk."""

    early = VoteReply


class AnswerBeforeSync(_SendsEarly):
    """Claims entries before they are on disk."""

    early = AppendReply


class _CountsUnpersisted(LeaderRole):
    def match(self, member: str) -> int:
        if member == self._state.member:
            return self._state.log.last_index
        return super().match(member)


class CountsOwnUnpersisted(Raft):
    """Counts its own entries towards a majority before they are on disk."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _CountsUnpersisted(self._state, now)


class _CommitsOldTerm(LeaderRole):
    def may_commit(self, _index: int) -> bool:
        return True


class CommitsOldTerm(Raft):
    """Commits entries of earlier terms because a majority has them."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _CommitsOldTerm(self._state, now)


class ReadsWithoutLease(Raft):
    """Takes itself for the leader as long as nobody tells it otherwise."""

    def has_lease(self, _now: float) -> bool:
        return self.is_leader


class _CountsEarlierCommits(LeaderRole):
    @property
    def has_committed(self) -> bool:
        return True


class ReadsBeforeOwnEntry(Raft):
    """Reads before an entry of its own term is committed, when it does not know yet what is."""

    @property
    def is_ready_leader(self) -> bool:
        return self.is_leader

    def _begin_leading(self, now: float) -> LeaderRole:
        return _CountsEarlierCommits(self._state, now)


class VotesAgainAtOnce(Raft):
    """Votes at once after a start, though a leader may still count on its silence."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        super().__init__(config, rng, persisted, now)
        self._state.votes_withheld_until = 0.0


class VotesWhileLed(Raft):
    """Votes for others though it heard the leader just now."""

    def step(self, now: float, message: ConsensusMessage) -> None:
        if isinstance(message, VoteRequest):
            self._state.votes_withheld_until = 0.0
        super().step(now, message)


class ChecksLeaseBeforeFreeze(Raft):
    """Goes by the time at which it last did something, as if nothing could come between check and answer."""

    _checked_at = 0.0

    def step(self, now: float, message: ConsensusMessage) -> None:
        self._checked_at = now
        super().step(now, message)

    def request_read(self, _now: float) -> ReadTicket:
        return super().request_read(self._checked_at)


class _RoundsByArrival(HeartbeatRounds):
    def count_from(self, member: str, now: float) -> None:
        self._answered_sent_at[member] = now


class _CountsFromArrival(LeaderRole):
    def on_reply(self, now: float, reply: AppendReply | SnapshotReply) -> None:
        super().on_reply(now, reply)
        self._rounds.__class__ = _RoundsByArrival
        assert isinstance(self._rounds, _RoundsByArrival)
        self._rounds.count_from(reply.sender, now)


class CountsFromArrival(Raft):
    """Counts its lease from when an answer came, not from when it asked."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _CountsFromArrival(self._state, now)


class _RoundsConfirmEarlier(HeartbeatRounds):
    @property
    def _confirming_round(self) -> int:
        return self.latest_round


class _ReadsByEarlierRound(LeaderRole):
    def __init__(self, state: MemberState, now: float) -> None:
        super().__init__(state, now)
        self._rounds.__class__ = _RoundsConfirmEarlier


class ReadsByEarlierRound(Raft):
    """Confirms a read by the answers to what it sent before the read."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _ReadsByEarlierRound(self._state, now)


class LeaseOutlastsHoldback(Raft):
    """Takes its lease to last for longer than voters hold their votes back."""

    def has_lease(self, now: float) -> bool:
        return super().has_lease(now - self._state.timing.election_min_s)


class KeepsItsName(Raft):
    """Comes back with an empty disk under the name that it had, and votes."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        old_name = dataclasses.replace(config, member=config.member.partition("#")[0])
        super().__init__(old_name, rng, persisted, now)


class _StepsDownAtOnce(LeaderRole):
    def yield_to_later_term(self, _now: float) -> bool:
        return False


class StepsDownAtOnce(Raft):
    """Gives up a leadership that a majority follows because of one member in a later term."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _StepsDownAtOnce(self._state, now)


class _TakesOlderSnapshots(FollowerRole):
    def _take_chunk(self, chunk: SnapshotChunk) -> int:
        received = self._assembly.add(chunk)
        if received < chunk.total:
            return received
        snapshot = self._assembly.take_complete(chunk)
        if snapshot is not None:
            self._install(snapshot)
        return chunk.total


class SnapshotOverNewer(Raft):
    """Takes a snapshot in place of a state that is newer."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        super().__init__(config, rng, persisted, now)
        self._follower_role = _TakesOlderSnapshots(self._state)


class _MixesChunks(SnapshotAssembly):
    def add(self, chunk: SnapshotChunk) -> int:
        return super().add(msgspec.structs.replace(chunk, total=0, checksum=0))

    def take_complete(self, chunk: SnapshotChunk) -> Snapshot:
        data, self._data = bytes(self._data), bytearray()
        self._id = None
        return Snapshot(chunk.last_index, chunk.last_term, chunk.membership, data)


class _MixesSnapshots(FollowerRole):
    def __init__(self, state: MemberState) -> None:
        super().__init__(state)
        self._assembly = _MixesChunks()


class ChunksOfTwoSnapshots(Raft):
    """Goes by index and term alone as it puts the chunks of a snapshot together."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        super().__init__(config, rng, persisted, now)
        self._follower_role = _MixesSnapshots(self._state)


class _IgnoresGaps(SnapshotAssembly):
    def add(self, chunk: SnapshotChunk) -> int:
        following = msgspec.structs.replace(chunk, offset=len(self._data) if chunk.offset else 0)
        return super().add(following)


class _IgnoresLostChunks(FollowerRole):
    def __init__(self, state: MemberState) -> None:
        super().__init__(state)
        self._assembly = _IgnoresGaps()


class ChunksWithGaps(Raft):
    """Appends each chunk of a snapshot to those before, whether or not one between them was lost."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        super().__init__(config, rng, persisted, now)
        self._follower_role = _IgnoresLostChunks(self._state)


class _NeverGoesBack(Replication):
    def retransmit_overdue(self, now: float, timeout_s: float) -> None:
        pass


class _GoesOnBehindLosses(LeaderRole):
    def __init__(self, state: MemberState, now: float) -> None:
        super().__init__(state, now)
        self._replication.__class__ = _NeverGoesBack


class GoesOnBehindLosses(Raft):
    """Takes each chunk of a snapshot that was sent to a member that runs for one that will arrive."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _GoesOnBehindLosses(self._state, now)


class CompactedIsSaved(Raft):
    """Takes all entries for saved once a snapshot of some of them is on disk."""

    def compact(self, snapshot: Snapshot) -> None:
        super().compact(snapshot)
        self._state.unpersisted.persisted_index = self._state.log.last_index


BREAKAGES: tuple[type[Raft], ...] = (
    VoteBeforeSync,
    AnswerBeforeSync,
    CountsOwnUnpersisted,
    CommitsOldTerm,
    ReadsWithoutLease,
    ReadsBeforeOwnEntry,
    VotesAgainAtOnce,
    VotesWhileLed,
    ChecksLeaseBeforeFreeze,
    CountsFromArrival,
    ReadsByEarlierRound,
    LeaseOutlastsHoldback,
    KeepsItsName,
    StepsDownAtOnce,
    SnapshotOverNewer,
    ChunksOfTwoSnapshots,
    ChunksWithGaps,
    GoesOnBehindLosses,
    CompactedIsSaved,
)
