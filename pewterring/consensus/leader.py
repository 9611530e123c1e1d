"""The leader role in one term: heartbeats, replication, commits and reads.

It prevents three failures. An entry of an earlier term that is committed by counting replicas can still be
overwritten (Raft paper, figure 8; see `may_commit`). A membership change that starts before the previous one
is committed allows majorities that do not overlap (see `append_membership`). A leader that no majority
answers must step down (see `tick`).
"""

from collections.abc import Sequence
from math import inf

import msgspec

from pewterring.consensus.departure import DepartingMembers
from pewterring.consensus.errors import MembershipRejectedError
from pewterring.consensus.heartbeat_rounds import HeartbeatRounds
from pewterring.consensus.leadership_transfer import LeadershipTransfer
from pewterring.consensus.membership import check_change, encode_membership, majority_value
from pewterring.consensus.messages import (
    ENTRY_COMMAND,
    ENTRY_EMPTY,
    ENTRY_MEMBERS,
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
    """A member's leadership in one term. It starts with an empty log entry and a heartbeat round."""

    def __init__(self, state: MemberState, now: float) -> None:
        state.role = Role.LEADER
        state.leader = state.member
        self._state = state
        self._rounds = HeartbeatRounds(state.member, state.timing, now)
        self._leadership_transfer = LeadershipTransfer(state.timing)
        self._departing_members = DepartingMembers()
        self._replication = Replication(state.group, state.member, state.term, state.log, state.limits)
        # When the last reply of each member arrived, to whichever round: a member that is slow to read its
        # messages is responsive.
        self._last_reply_at: dict[str, float] = {}
        self._uncommitted_limit = UncommittedLimit(state.limits.uncommitted_bytes)
        self._first_index = self.append(ENTRY_EMPTY, b"null")
        self._set_members(state.members.current)
        self._begin_round(now)

    def _set_members(self, membership: Membership) -> None:
        self._replication.set_members((*membership.voters, *membership.learners))

    @property
    def due_at(self) -> float:
        """When `tick` must be called next."""
        return self._rounds.due_at

    @property
    def round_number(self) -> int:
        """The round_number of the latest heartbeat round."""
        return self._rounds.latest_round

    def is_recent_round(self, round_number: int, now: float) -> bool:
        """Whether round `round_number` was sent within the longest election timeout."""
        return self._rounds.is_recent(round_number, now)

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this leader's own term is committed."""
        return self._state.commit_index >= self._first_index

    def has_lease(self, now: float) -> bool:
        """Whether no other member can have been elected by `now`."""
        return not self._leadership_transfer.has_notified and self._rounds.has_lease(self._state.voters, now)

    def match(self, member: str) -> int:
        """The index up to which `member` is known to have the log on disk."""
        if member == self._state.member:
            return self._state.unpersisted.persisted_index
        peer = self._replication.peers.get(member)
        return peer.match if peer else 0

    def seconds_since_contact(self, member: str, now: float) -> float:
        """Seconds since `member` last answered a heartbeat of this leader; 0 for the leader itself."""
        return 0.0 if member == self._state.member else self._rounds.seconds_since_contact(member, now)

    def is_departing(self, member: str) -> bool:
        """Whether `member` announced its departure and no later incarnation of it has answered since."""
        return self._departing_members.is_departing(member)

    def on_departure_notice(self, message: DepartureNotice) -> None:
        """Records the departure notice of a voter, or acknowledges that of a member already removed."""
        state = self._state
        if message.sender in state.voters:
            if message.term == state.term:
                self._departing_members.on_notice(message.sender, message.round)
        elif state.members.last_change <= state.commit_index:
            self._acknowledge_departure(message.sender, message.round)

    def _acknowledge_departure(self, member: str, round_number: int) -> None:
        state = self._state
        state.outbox.append(
            DepartureAck(
                group=state.group, sender=state.member, target=member, term=state.term, round=round_number
            )
        )

    def _acknowledge_departures(self) -> None:
        """Acknowledges the departures of members that a committed change removed from the voters."""
        for member, round_number in self._departing_members.departing().items():
            if member not in self._state.voters:
                self._acknowledge_departure(member, round_number)

    def append(self, kind: str, data: bytes) -> int:
        """Appends an entry of this leader's term and returns its index."""
        entry = Entry(self._state.log.last_index + 1, self._state.term, kind, msgspec.Raw(data))
        self._state.append((entry,))
        self._uncommitted_limit.on_appended(entry)
        return entry.index

    def append_command(self, data: bytes) -> int:
        """Appends a command and returns its index.

        Raises:
            TooManyUncommittedError: the limit of uncommitted bytes is reached; nothing was appended.
        """
        self._uncommitted_limit.on_committed(self._state.commit_index)
        self._uncommitted_limit.check(len(data))
        return self.append(ENTRY_COMMAND, data)

    def append_membership(self, membership: Membership) -> int:
        """Appends a membership change and returns its index.

        The first check fixes the safety bug of single-server changes (Ongaro, raft-dev, 10 July 2015).

        Raises:
            MembershipRejectedError: majorities before and after the change might not overlap; nothing was
            appended.
        """
        state = self._state
        if not self.has_committed:
            raise MembershipRejectedError("no entry of the leader's term is committed yet")
        if state.members.last_change > state.commit_index:
            raise MembershipRejectedError("the previous membership change is not committed yet")
        check_change(state.members.current, membership)
        index = self.append(ENTRY_MEMBERS, encode_membership(membership))
        self._set_members(membership)
        return index

    def tick(self, now: float) -> None:
        """Steps down if a majority is unresponsive; otherwise starts a heartbeat round if one is due."""
        state = self._state
        if now < self.due_at:
            return
        if self._rounds.has_lost_majority(state.voters, now) or self._leadership_transfer.has_timed_out(now):
            state.become_follower(now, state.term, None)
            return
        self._leadership_transfer.allow_another_notice()
        self._mark_unresponsive(now)
        self._replication.retransmit_overdue(now, state.timing.election_min_s)
        self._begin_round(now)

    def _mark_unresponsive(self, now: float) -> None:
        cutoff = now - self._state.timing.election_max_s
        for name in self._replication.peers:
            if self._last_reply_at.get(name, -inf) < cutoff:
                self._replication.mark_unresponsive(name)

    def _begin_round(self, now: float) -> None:
        round_number = self._rounds.begin(now)
        self._state.outbox += self._replication.heartbeats(round_number, self._state.commit_index)

    @property
    def is_transferring_leadership(self) -> bool:
        """Whether a leadership transfer is in progress, during which no entry is appended."""
        return self._leadership_transfer.is_active

    def transfer_leadership(self, now: float) -> bool:
        """Starts a leadership transfer; False if there is no other voter."""
        if all(voter == self._state.member for voter in self._state.voters):
            return False
        self._leadership_transfer.begin(now)
        return True

    def yield_to_later_term(self, now: float) -> bool:
        """Starts a leadership transfer if a member has a later term; False if the leader must step down.

        That member cannot follow this leader, and the later term has no leader while a majority follows this
        one. The successor leads in a still later term, which the member can join. Without the transfer, the
        group has no leader for an election timeout whenever a member that started an election just before it
        was partitioned reconnects.
        """
        return self._rounds.has_lease(self._state.voters, now) and self.transfer_leadership(now)

    def _notify_successor(self, now: float) -> None:
        state = self._state
        if not self.is_transferring_leadership or state.commit_index < state.log.last_index:
            return
        successor = self._leadership_transfer.choose_successor(self._possible_successors(now))
        if successor is not None:
            state.outbox.append(
                TimeoutNow(group=state.group, sender=state.member, target=successor, term=state.term)
            )

    def _possible_successors(self, now: float) -> list[str]:
        """Responsive voters with the complete log: departing ones last, then by the latest answered round."""
        state = self._state
        cutoff = now - state.timing.election_min_s
        up_to_date = [
            voter
            for voter in state.voters
            if voter != state.member
            and self.match(voter) == state.log.last_index
            and self._rounds.last_answered_at(voter) > cutoff
        ]
        return sorted(
            up_to_date,
            key=lambda voter: (not self.is_departing(voter), self._rounds.last_answered_at(voter)),
            reverse=True,
        )

    def flush(self, now: float) -> None:
        """Puts the messages that may be sent now into the outbox."""
        self._notify_successor(now)
        if self._rounds.is_next_requested:
            self._begin_round(now)
        self._state.outbox += self._replication.flush(
            now, self._rounds.latest_round, self._state.commit_index
        )

    def on_reply(self, now: float, reply: AppendReply | SnapshotReply) -> None:
        """Processes a member's reply in this leader's term."""
        self._last_reply_at[reply.sender] = now
        self._rounds.record_answer(reply.sender, reply.round)
        if isinstance(reply, AppendReply):
            self._departing_members.on_reply(reply.sender, reply.round, reply.departing)
            advanced = self._replication.on_append_reply(reply)
        else:
            advanced = self._replication.on_snapshot_reply(reply)
        if advanced:
            self.advance_commit(now)

    def advance_commit(self, now: float) -> None:
        """Commits the entries that a majority has on disk; steps down if one of them removes the leader."""
        state = self._state
        index = majority_value([self.match(voter) for voter in state.voters])
        if index <= state.commit_index or not self.may_commit(index):
            return
        has_changed_members = state.commit_index < state.members.last_change <= index
        state.commit_index = index
        if has_changed_members:
            self._acknowledge_departures()
        if state.member not in state.voters and state.members.last_change <= index:
            self._begin_round(now)  # announces the new commit index to the other members
            state.become_follower(now, state.term, None)

    def may_commit(self, index: int) -> bool:
        """Whether entries up to `index` may be committed by counting replicas, as `index` has this term."""
        return self._state.log.term_at(index) == self._state.term

    def new_read_ticket(self, is_confirmed: bool) -> ReadTicket:
        """A read ticket, confirmed at once or by a later heartbeat round."""
        return self._rounds.new_read_ticket(self._state.commit_index if is_confirmed else None)

    def take_confirmed_reads(self) -> Sequence[ReadTicket]:
        """The tickets whose round a majority has answered; each is returned once."""
        if not self.has_committed:
            return ()
        return self._rounds.take_confirmed_reads(self._state.voters, self._state.commit_index)

    @property
    def snapshot_wanted(self) -> bool:
        """Whether a member needs a snapshot to be made."""
        return self._replication.snapshot_wanted

    def offer_snapshot(self, snapshot: Snapshot) -> None:
        """Starts to send `snapshot` to the members that need one."""
        self._replication.offer_snapshot(snapshot)

    def oldest_snapshot_index(self) -> int | None:
        """The index of the oldest snapshot being sent; None if none is being sent."""
        return self._replication.oldest_snapshot_index()

    def on_log_compacted(self) -> None:
        """Adapts replication to a log that dropped entries covered by a snapshot."""
        self._replication.on_log_compacted()
