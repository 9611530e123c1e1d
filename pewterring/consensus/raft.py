"""The Raft consensus algorithm for one member of a group, without input or output.

The caller passes in the steady clock's time, messages, and what has been saved, and takes out with
`take_ready` what is to be sent, saved and applied. Besides the algorithm as published: pre-votes, leases
for reads, learners, changes of membership by one voter at a time, and pipelined replication in which the
leader's entries may be sent before its own disk has them.
"""

import random
from collections.abc import Sequence

from pewterring.consensus.election import Election
from pewterring.consensus.errors import NotLeaderError
from pewterring.consensus.farewell import Farewell
from pewterring.consensus.follower import FollowerRole
from pewterring.consensus.leader import LeaderRole
from pewterring.consensus.messages import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
    DepartureAck,
    DepartureNotice,
    Entry,
    Membership,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from pewterring.consensus.persistent import PersistentState
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import RaftLimits, RaftTiming, ReadTicket, Ready, Role, Save, Snapshot


class Raft:
    """One member of one group."""

    def __init__(
        self,
        group: str,
        member: str,
        timing: RaftTiming,
        rng: random.Random,
        persisted: PersistentState,
        now: float,
        limits: RaftLimits | None = None,
    ) -> None:
        self.group = group
        self.member = member
        self._state = MemberState(group, member, timing, limits or RaftLimits(), rng, persisted, now)
        self._election = Election(self._state)
        self._following = FollowerRole(self._state)
        self._farewell = Farewell(self._state)
        self._led: LeaderRole | None = None

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def role(self) -> Role:
        """What this member does in the current term."""
        return self._state.role

    @property
    def leader(self) -> str | None:
        """The leader of the current term, if known."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, as far as it knows."""
        return self._state.role is Role.LEADER

    @property
    def is_ready_leader(self) -> bool:
        """Whether this member leads and an entry of its own term is committed."""
        return self._leading is not None and self._leading.has_committed

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry that `take_ready` gave to be applied, or of a snapshot after that."""
        return self._state.applied_index

    @property
    def membership(self) -> Membership:
        """The membership in force, which may not be committed yet."""
        return self._state.members.current

    @property
    def membership_is_committed(self) -> bool:
        """Whether the membership in force can no longer be taken back."""
        return self._state.members.last_change <= self._state.commit_index

    @property
    def installing(self) -> bool:
        """Whether a received snapshot is not on disk yet."""
        return self._state.unpersisted.installing

    @property
    def unpersisted_bytes(self) -> int:
        """Bytes of the entries that the own disk does not hold yet, about."""
        return self._state.log.bytes_after(self._state.unpersisted.persisted_index)

    @property
    def _leading(self) -> LeaderRole | None:
        return self._led if self._state.role is Role.LEADER else None

    def _leading_or_refuse(self) -> LeaderRole:
        leading = self._leading
        if leading is None:
            raise NotLeaderError(self.leader)
        return leading

    def _accepting_or_refuse(self) -> LeaderRole:
        leading = self._leading_or_refuse()
        if leading.hands_over:
            raise NotLeaderError(None)
        return leading

    def match(self, member: str) -> int:
        """Up to which index `member` has the log on disk, as far as this leader knows; 0 elsewhere."""
        return self._leading.match(member) if self._leading is not None else 0

    def seconds_since_contact(self, member: str, now: float) -> float:
        """For how long `member` has answered no heartbeat of this leadership; 0 elsewhere."""
        return self._leading.seconds_since_contact(member, now) if self._leading is not None else 0.0

    def is_leaving(self, member: str) -> bool:
        """Whether `member` has said its farewell to this leader; False elsewhere."""
        return self._leading is not None and self._leading.is_leaving(member)

    def say_farewell(self) -> None:
        """Tells the others that this process is about to end; again and again, until `has_left`."""
        self._farewell.say()

    @property
    def has_left(self) -> bool:
        """Whether this member said its farewell and has no vote any more, or never had one."""
        is_voter = self.member in self.membership.voters or not self.membership_is_committed
        return self._farewell.is_answered or not is_voter

    def has_lease(self, now: float) -> bool:
        """Whether this member leads and no other can have been elected by `now`."""
        return self._leading is not None and self._leading.has_lease(now)

    @property
    def newest_round(self) -> int:
        """The leader's newest round in the current term, as far as this member knows."""
        return self._leading.round_number if self._leading is not None else self._state.last_leader_round

    def is_recent_round(self, term: int, number: int, now: float) -> bool:
        """Whether this member leads in `term` and sent that round within the longest election time-out."""
        leading = self._leading
        return leading is not None and term == self.term and leading.is_recent_round(number, now)

    def next_deadline(self) -> float | None:
        """When `tick` has something to do; None if never without a message."""
        if self._leading is not None:
            return self._leading.due_at
        return self._state.election_at if self._election.may_stand else None

    def tick(self, now: float) -> None:
        """Does what is due by `now`."""
        if self._leading is not None:
            self._leading.tick(now)
        elif self._election.may_stand and now >= self._state.election_at:
            self._election.start(now)

    def step(self, now: float, message: ConsensusMessage) -> None:
        """Takes a message. Messages to other members are ignored."""
        if message.target != self.member or message.group != self.group:
            return
        match message:
            case VoteRequest():
                self._election.on_request(now, message)
            case VoteReply():
                self._lead_if(self._election.on_reply(now, message), now)
            case AppendRequest():
                self._following.on_append(now, message)
            case SnapshotChunk():
                self._following.on_snapshot_part(now, message)
            case AppendReply() | SnapshotReply():
                self._on_follower_reply(now, message)
            case TimeoutNow():
                self._election.on_timeout_now(now, message)
            case DepartureNotice():
                if self._leading is not None:
                    self._leading.on_leave(message)
            case DepartureAck():
                self._farewell.on_left(message)

    def _lead_if(self, elected: bool, now: float) -> None:
        if elected:
            self._led = self._begin_leading(now)

    def _begin_leading(self, now: float) -> LeaderRole:
        return LeaderRole(self._state, now)

    def _on_follower_reply(self, now: float, reply: AppendReply | SnapshotReply) -> None:
        if reply.term > self.term:
            if self._leading is None or not self._leading.yield_to_later_term(now):
                self._state.become_follower(now, reply.term, None)
        elif reply.term == self.term and self._leading is not None:
            self._leading.on_reply(now, reply)

    def propose(self, now: float, data: bytes) -> tuple[int, int]:
        """Appends a command, JSON on one line, and returns the entry's index and term.

        Raises `NotLeaderError` or `TooManyUncommittedError` where nothing was done.
        """
        return self._accepting_or_refuse().append_command(data), self.term

    def propose_membership(self, now: float, membership: Membership) -> tuple[int, int]:
        """Appends a change of membership, in force at once, and returns the entry's index and term."""
        return self._accepting_or_refuse().append_membership(membership), self.term

    def hand_over(self, now: float) -> bool:
        """Begins to hand the leadership over; False where this member does not lead, or is the only voter.

        No commands are taken from then on. The leader steps down after the shortest election time-out
        also where no successor was elected.
        """
        return self._leading is not None and self._leading.hand_over(now)

    def request_read(self, now: float) -> ReadTicket:
        """Asks to read what was committed before; the ticket is confirmed now or in a later `Ready`.

        Tickets that were not confirmed when leadership is lost never will be.
        """
        leading = self._leading_or_refuse()
        return leading.new_ticket(at_once=leading.has_committed and self.has_lease(now))

    def take_ready(self, now: float, can_save: bool = True) -> Ready:
        """What is to be done now; each thing is given once. Without `can_save` no save is begun."""
        state = self._state
        leading = self._leading
        if leading is not None:
            leading.flush(now)
        save = None
        if can_save:
            save = state.unpersisted.take(state.hard_state)
            state.outbox += state.unpersisted.take_released()
        messages, state.outbox = state.outbox, []
        return Ready(
            messages_before_sync=messages,
            save=save,
            committed=self._take_committed(),
            confirmed_reads=leading.take_confirmed_reads() if leading is not None else (),
            snapshot_wanted=leading is not None and leading.snapshot_wanted,
        )

    def _take_committed(self) -> Sequence[Entry]:
        state = self._state
        if state.applied_index >= state.commit_index or state.applied_index < state.log.base_index:
            return ()
        entries = state.log.between(state.applied_index + 1, state.commit_index)
        state.applied_index = state.commit_index
        return entries

    def persisted(self, now: float, save: Save) -> None:
        """All of `save` is on disk; a snapshot in it is in the state machine."""
        state = self._state
        state.unpersisted.done(save)
        if save.snapshot is not None:
            state.applied_index = max(state.applied_index, save.snapshot.index)
        if self._leading is not None:
            self._leading.advance_commit(now)
        else:
            self._lead_if(self._election.on_persisted(now), now)

    def make_snapshot(self, data: bytes) -> Snapshot:
        """A snapshot of the state machine, which has applied all that `take_ready` has given."""
        state = self._state
        index = state.applied_index
        return Snapshot(index, state.log.term_at(index) or 0, state.members.at(index), data)

    def offer_snapshot(self, snapshot: Snapshot) -> None:
        """Sends `snapshot` to the members that want one."""
        if self._leading is not None:
            self._leading.offer_snapshot(snapshot)

    def compact(self, snapshot: Snapshot) -> None:
        """`snapshot`, made here, is on disk: forgets entries that it covers."""
        state = self._state
        state.unpersisted.compacted(snapshot.index)
        sending = self._leading.oldest_snapshot() if self._leading is not None else None
        index = snapshot.index if sending is None else min(snapshot.index, sending)
        state.log.compact(index, state.limits.retained_bytes)
        state.log.compact(snapshot.index, state.limits.retained_for_transfers_bytes)
        state.members.compact(state.log.base_index)
        if self._leading is not None:
            self._leading.compacted()
