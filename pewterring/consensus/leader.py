"""The part of a member that exists only while it leads, in one term."""

from collections.abc import Sequence
from math import inf

import msgspec

from pewterring.consensus.errors import MembershipRejectedError
from pewterring.consensus.farewell import Farewells
from pewterring.consensus.handover import Handover
from pewterring.consensus.heartbeat_rounds import HeartbeatRounds
from pewterring.consensus.membership import MEMBERS, check_change, encode_membership, majority_value
from pewterring.consensus.messages import (
    AppendReply,
    DepartureAck,
    DepartureNotice,
    Entry,
    Membership,
    SnapshotReply,
    TimeoutNow,
)
from pewterring.consensus.replication import Replication
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import ReadTicket, Role, Snapshot
from pewterring.consensus.uncommitted_limit import UncommittedLimit


class LeaderRole:
    """Heartbeats, replication, commitment and reads of a leader."""

    def __init__(self, state: MemberState, now: float) -> None:
        state.role = Role.LEADER
        state.leader = state.member
        self._state = state
        self._rounds = HeartbeatRounds(state.member, state.timing, now)
        self._handover = Handover(state.timing)
        self._farewells = Farewells()
        self._replication = Replication(state.group, state.member, state.term, state.log, state.limits)
        # When an answer of a member came, be it to a round of long ago: one that reads slowly is not silent.
        self._heard_at: dict[str, float] = {}
        self._uncommitted = UncommittedLimit(state.limits.uncommitted_bytes)
        self._first_index = self.append("empty", b"null")
        self._set_members(state.members.current)
        self._begin_round(now)

    def _set_members(self, membership: Membership) -> None:
        self._replication.set_members((*membership.voters, *membership.learners))

    @property
    def due_at(self) -> float:
        """When `tick` has something to do."""
        return self._rounds.due_at

    @property
    def round_number(self) -> int:
        """The number of the newest round."""
        return self._rounds.number

    def is_recent_round(self, number: int, now: float) -> bool:
        """Whether a round was sent no longer ago than the longest election time-out."""
        return self._rounds.is_recent(number, now)

    @property
    def has_committed(self) -> bool:
        """Whether an entry of the own term is committed."""
        return self._state.commit_index >= self._first_index

    def has_lease(self, now: float) -> bool:
        """Whether no other member can have been elected by `now`."""
        return not self._handover.has_told and self._rounds.has_lease(self._state.voters, now)

    def match(self, member: str) -> int:
        """Up to which index `member` is known to have the log on disk."""
        if member == self._state.member:
            return self._state.unpersisted.persisted_index
        peer = self._replication.peers.get(member)
        return peer.match if peer else 0

    def seconds_since_contact(self, member: str, now: float) -> float:
        """For how long `member` has answered no heartbeat of this leadership; never the leader itself."""
        return 0.0 if member == self._state.member else self._rounds.seconds_since_contact(member, now)

    def is_leaving(self, member: str) -> bool:
        """Whether the process of `member` said that it is about to end, and no later one answered."""
        return self._farewells.is_leaving(member)

    def on_leave(self, message: DepartureNotice) -> None:
        """Takes a farewell, and answers that of a member which is no voter any more."""
        state = self._state
        if message.sender in state.voters:
            if message.term == state.term:
                self._farewells.on_leave(message.sender, message.round)
        elif state.members.last_change <= state.commit_index:
            self._answer_farewell(message.sender, message.round)

    def _answer_farewell(self, member: str, number: int) -> None:
        state = self._state
        state.outbox.append(
            DepartureAck(group=state.group, sender=state.member, target=member, term=state.term, round=number)
        )

    def _answer_farewells(self) -> None:
        """A change was committed: who waits for it need not say its farewell again."""
        for member, number in self._farewells.leaving().items():
            if member not in self._state.voters:
                self._answer_farewell(member, number)

    def append(self, kind: str, data: bytes) -> int:
        """Appends an entry of the own term and returns its index."""
        entry = Entry(self._state.log.last_index + 1, self._state.term, kind, msgspec.Raw(data))
        self._state.append((entry,))
        self._uncommitted.appended(entry)
        return entry.index

    def append_command(self, data: bytes) -> int:
        """Appends a command and returns its index; raises `TooManyUncommittedError`."""
        self._uncommitted.committed(self._state.commit_index)
        self._uncommitted.check_room(len(data))
        return self.append("command", data)

    def append_membership(self, membership: Membership) -> int:
        """Appends a change of membership and returns its index."""
        state = self._state
        if not self.has_committed:
            raise MembershipRejectedError("no entry of the leader's term is committed yet")
        if state.members.last_change > state.commit_index:
            raise MembershipRejectedError("the change before is not committed yet")
        check_change(state.members.current, membership)
        index = self.append(MEMBERS, encode_membership(membership))
        self._set_members(membership)
        return index

    def tick(self, now: float) -> None:
        """Steps down where a majority is silent; otherwise begins a round when one is due."""
        state = self._state
        if now < self.due_at:
            return
        if self._rounds.has_lost_majority(state.voters, now) or self._handover.is_over(now):
            state.become_follower(now, state.term, None)
            return
        self._handover.tell_again()
        oldest = now - state.timing.election_max_s
        for name in self._replication.peers:
            if self._heard_at.get(name, -inf) < oldest:
                self._replication.give_up(name)
        self._replication.retry_lost(now, state.timing.election_min_s)
        self._begin_round(now)

    def _begin_round(self, now: float) -> None:
        number = self._rounds.begin(now)
        self._state.outbox += self._replication.heartbeats(number, self._state.commit_index)

    @property
    def hands_over(self) -> bool:
        """Whether the leadership is being handed over, so that no more is appended."""
        return self._handover.under_way

    def hand_over(self, now: float) -> bool:
        """Begins to hand the leadership over; False without another voter."""
        if all(voter == self._state.member for voter in self._state.voters):
            return False
        self._handover.begin(now)
        return True

    def yield_to_later_term(self, now: float) -> bool:
        """Hands over because of a member in a later term; False where the leader must step down for it.

        The member cannot follow this leader, and while a majority does, nobody leads in the later term. The
        successor's term takes the member in. Symptom answered: a member that stood for election just before
        it was cut off comes back, and for an election time-out nobody leads.
        """
        return self._rounds.has_lease(self._state.voters, now) and self.hand_over(now)

    def _tell_successor(self, now: float) -> None:
        state = self._state
        last = state.log.last_index
        if not self.hands_over or state.commit_index < last:
            return
        oldest = now - state.timing.election_min_s
        complete = [
            voter
            for voter in state.voters
            if voter != state.member
            and self.match(voter) == last
            and self._rounds.last_answered_at(voter) > oldest
        ]
        complete.sort(
            key=lambda voter: (not self.is_leaving(voter), self._rounds.last_answered_at(voter)), reverse=True
        )
        successor = self._handover.choose(complete)
        if successor is not None:
            state.outbox.append(
                TimeoutNow(group=state.group, sender=state.member, target=successor, term=state.term)
            )

    def flush(self, now: float) -> None:
        """Sends what may be sent now."""
        self._tell_successor(now)
        if self._rounds.wanted:
            self._begin_round(now)
        self._state.outbox += self._replication.flush(now, self._rounds.number, self._state.commit_index)

    def on_reply(self, now: float, reply: AppendReply | SnapshotReply) -> None:
        """Takes a member's answer of the own term."""
        self._heard_at[reply.sender] = now
        self._rounds.answered(reply.sender, reply.round)
        if isinstance(reply, AppendReply):
            self._farewells.on_reply(reply.sender, reply.round, reply.departing)
            advanced = self._replication.on_append_reply(reply)
        else:
            advanced = self._replication.on_snapshot_reply(reply)
        if advanced:
            self.advance_commit(now)

    def advance_commit(self, now: float) -> None:
        """Commits what a majority has on disk; steps down when that was the own removal."""
        state = self._state
        index = majority_value([self.match(voter) for voter in state.voters])
        if index <= state.commit_index or not self.may_commit(index):
            return
        changed = state.commit_index < state.members.last_change <= index
        state.commit_index = index
        if changed:
            self._answer_farewells()
        if state.member not in state.voters and state.members.last_change <= index:
            self._begin_round(now)  # tells the others what is committed
            state.become_follower(now, state.term, None)

    def may_commit(self, index: int) -> bool:
        """Only entries of the own term are committed by counting; those before go with them."""
        return self._state.log.term_at(index) == self._state.term

    def new_ticket(self, at_once: bool) -> ReadTicket:
        """A ticket to read, confirmed at once or by a later round."""
        return self._rounds.new_ticket(self._state.commit_index if at_once else None)

    def take_confirmed_reads(self) -> Sequence[ReadTicket]:
        """Tickets whose round a majority has answered."""
        if not self.has_committed:
            return ()
        return self._rounds.take_confirmed(self._state.voters, self._state.commit_index)

    @property
    def snapshot_wanted(self) -> bool:
        """Whether a member waits for a snapshot to be made."""
        return self._replication.snapshot_wanted

    def offer_snapshot(self, snapshot: Snapshot) -> None:
        """Sends `snapshot` to the members that wait for one."""
        self._replication.offer_snapshot(snapshot)

    def oldest_snapshot(self) -> int | None:
        """The index of the oldest snapshot being sent."""
        return self._replication.oldest_snapshot()

    def compacted(self) -> None:
        """The log forgot entries that a snapshot covers."""
        self._replication.compacted()
