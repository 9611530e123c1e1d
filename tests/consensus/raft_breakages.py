"""Variants of the Raft core that each break one rule; the simulation's checks must detect all of them."""

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
    """Sends messages of one type before the state that they acknowledge is on disk."""

    early_type: type[ConsensusMessage]
    _real_save: Save | None = None

    def take_ready(self, now: float, can_save: bool = True) -> Ready:
        ready = super().take_ready(now, can_save)
        if ready.save is None:
            return ready
        self._real_save = ready.save
        after_sync = ready.save.messages_after_sync
        early = [message for message in after_sync if isinstance(message, self.early_type)]
        late = [message for message in after_sync if not isinstance(message, self.early_type)]
        save = dataclasses.replace(ready.save, messages_after_sync=late)
        before_sync = [*ready.messages_before_sync, *early]
        return dataclasses.replace(ready, messages_before_sync=before_sync, save=save)

    def persisted(self, now: float, _save: Save) -> None:
        assert self._real_save is not None
        super().persisted(now, self._real_save)


class _IgnoresDepartures(LeaderRole):
    def is_departing(self, _member: str) -> bool:
        return False


class IgnoresDepartures(Raft):
    """As leader, ignores the departures that voters announce."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _IgnoresDepartures(self._state, now)


class _AcceptsLateDepartures(LeaderRole):
    def on_departure_notice(self, message: DepartureNotice) -> None:
        self._departing_members.on_notice(message.sender, self._rounds.latest_round)


class AcceptsLateDepartures(Raft):
    """As leader, takes a departure notice of an earlier incarnation of a member for one of the current."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _AcceptsLateDepartures(self._state, now)


class VoteBeforeSync(_SendsEarly):
    """Sends its vote before it is on disk."""

    early_type = VoteReply


class ReplyBeforeSync(_SendsEarly):
    """Acknowledges entries before they are on disk."""

    early_type = AppendReply


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
    """Answers reads as leader without a lease, until it learns of a later term."""

    def has_lease(self, _now: float) -> bool:
        return self.is_leader


class _ReadsBeforeOwnEntry(LeaderRole):
    @property
    def has_committed(self) -> bool:
        return True


class ReadsBeforeOwnEntry(Raft):
    """Answers reads before an entry of its own term is committed, when its commit index may be stale."""

    @property
    def is_ready_leader(self) -> bool:
        return self.is_leader

    def _begin_leading(self, now: float) -> LeaderRole:
        return _ReadsBeforeOwnEntry(self._state, now)


class VotesRightAfterRestart(Raft):
    """Votes immediately after a restart, though a leader's lease may still depend on its withheld vote."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        super().__init__(config, rng, persisted, now)
        self._state.votes_withheld_until = 0.0


class VotesDuringLease(Raft):
    """Votes for other candidates shortly after a message of the leader."""

    def step(self, now: float, message: ConsensusMessage) -> None:
        if isinstance(message, VoteRequest):
            self._state.votes_withheld_until = 0.0
        super().step(now, message)


class ChecksLeaseBeforeFreeze(Raft):
    """Checks its lease with the time of the last received message, as if it could not freeze since then."""

    _checked_at = 0.0

    def step(self, now: float, message: ConsensusMessage) -> None:
        self._checked_at = now
        super().step(now, message)

    def request_read(self, _now: float) -> ReadTicket:
        return super().request_read(self._checked_at)


class _RoundsByArrival(HeartbeatRounds):
    def record_arrival(self, member: str, now: float) -> None:
        self._answered_sent_at[member] = now


class _CountsLeaseFromArrival(LeaderRole):
    def on_reply(self, now: float, reply: AppendReply | SnapshotReply) -> None:
        super().on_reply(now, reply)
        self._rounds.__class__ = _RoundsByArrival
        assert isinstance(self._rounds, _RoundsByArrival)
        self._rounds.record_arrival(reply.sender, now)


class CountsLeaseFromArrival(Raft):
    """Counts its lease from the arrival of a reply instead of the sending of the heartbeat."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _CountsLeaseFromArrival(self._state, now)


class _RoundsConfirmEarlier(HeartbeatRounds):
    @property
    def _confirming_round(self) -> int:
        return self.latest_round


class _ReadsByEarlierRound(LeaderRole):
    def __init__(self, state: MemberState, now: float) -> None:
        super().__init__(state, now)
        self._rounds.__class__ = _RoundsConfirmEarlier


class ReadsByEarlierRound(Raft):
    """Confirms a read by the replies to a heartbeat round that started before the read."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _ReadsByEarlierRound(self._state, now)


class LeaseOutlastsWithheldVotes(Raft):
    """Counts on a lease that lasts longer than voters withhold their votes."""

    def has_lease(self, now: float) -> bool:
        return super().has_lease(now - self._state.timing.election_min_s)


class KeepsNameAfterDiskLoss(Raft):
    """Returns with an empty disk under its old name, and votes."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        old_name = dataclasses.replace(config, member=config.member.partition("#")[0])
        super().__init__(old_name, rng, persisted, now)


class _StepsDownForLaterTerm(LeaderRole):
    def yield_to_later_term(self, _now: float) -> bool:
        return False


class StepsDownForLaterTerm(Raft):
    """Steps down because of one member in a later term, although a majority follows this leader."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _StepsDownForLaterTerm(self._state, now)


class _InstallsOlderSnapshot(FollowerRole):
    def _take_chunk(self, chunk: SnapshotChunk) -> int:
        received = self._assembly.add(chunk)
        if received < chunk.total:
            return received
        snapshot = self._assembly.take_complete(chunk)
        if snapshot is not None:
            self._install(snapshot)
        return chunk.total


class InstallsOlderSnapshot(Raft):
    """Installs a snapshot over newer state."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        super().__init__(config, rng, persisted, now)
        self._follower_role = _InstallsOlderSnapshot(self._state)


class _AssemblyThatMixesChunks(SnapshotAssembly):
    def add(self, chunk: SnapshotChunk) -> int:
        return super().add(msgspec.structs.replace(chunk, total=0, checksum=0))

    def take_complete(self, chunk: SnapshotChunk) -> Snapshot:
        data, self._data = bytes(self._data), bytearray()
        self._id = None
        return Snapshot(chunk.last_index, chunk.last_term, chunk.membership, data)


class _FollowerThatMixesChunks(FollowerRole):
    def __init__(self, state: MemberState) -> None:
        super().__init__(state)
        self._assembly = _AssemblyThatMixesChunks()


class MixesChunksOfSnapshots(Raft):
    """Identifies the chunks of a snapshot only by index and term."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        super().__init__(config, rng, persisted, now)
        self._follower_role = _FollowerThatMixesChunks(self._state)


class _AssemblyThatIgnoresGaps(SnapshotAssembly):
    def add(self, chunk: SnapshotChunk) -> int:
        moved = msgspec.structs.replace(chunk, offset=len(self._data) if chunk.offset else 0)
        return super().add(moved)


class _FollowerThatIgnoresGaps(FollowerRole):
    def __init__(self, state: MemberState) -> None:
        super().__init__(state)
        self._assembly = _AssemblyThatIgnoresGaps()


class IgnoresChunkGaps(Raft):
    """Appends each chunk of a snapshot to the previous ones, even if a chunk between them was lost."""

    def __init__(self, config: RaftConfig, rng: Random, persisted: PersistentState, now: float) -> None:
        super().__init__(config, rng, persisted, now)
        self._follower_role = _FollowerThatIgnoresGaps(self._state)


class _ReplicationWithoutRetransmission(Replication):
    def retransmit_overdue(self, now: float, timeout_s: float) -> None:
        pass


class _NeverRetransmitsChunks(LeaderRole):
    def __init__(self, state: MemberState, now: float) -> None:
        super().__init__(state, now)
        self._replication.__class__ = _ReplicationWithoutRetransmission


class NeverRetransmitsChunks(Raft):
    """Never retransmits a chunk of a snapshot to a responsive member."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _NeverRetransmitsChunks(self._state, now)


class CountsCompactedAsPersisted(Raft):
    """Counts the complete log as persisted once a snapshot of some of its entries is on disk."""

    def compact(self, snapshot: Snapshot) -> None:
        super().compact(snapshot)
        self._state.unpersisted.persisted_index = self._state.log.last_index


BREAKAGES: tuple[type[Raft], ...] = (
    VoteBeforeSync,
    ReplyBeforeSync,
    CountsOwnUnpersisted,
    CommitsOldTerm,
    ReadsWithoutLease,
    ReadsBeforeOwnEntry,
    VotesRightAfterRestart,
    VotesDuringLease,
    ChecksLeaseBeforeFreeze,
    CountsLeaseFromArrival,
    ReadsByEarlierRound,
    LeaseOutlastsWithheldVotes,
    KeepsNameAfterDiskLoss,
    StepsDownForLaterTerm,
    InstallsOlderSnapshot,
    MixesChunksOfSnapshots,
    IgnoresChunkGaps,
    NeverRetransmitsChunks,
    CountsCompactedAsPersisted,
)
