"""The Raft consensus algorithm for one member of a group, without any input or output.

The caller passes in the monotonic time, received messages and completed saves. `take_ready` returns the
messages to send, the state to save and the entries to apply. Beyond the published algorithm (Ongaro and
Ousterhout, 2014) this implementation has pre-votes, read leases, learners, membership changes of one voter
at a time, and pipelined replication in which a leader may send entries before they are on its own disk
(Raft dissertation, section 10.2.1).

The modules `election`, `follower`, `leader`, `replication` and `unpersisted` each document the failures that
they prevent.
"""

import random
from collections.abc import Sequence

from pewterring.consensus.departure import Departure
from pewterring.consensus.election import Election
from pewterring.consensus.errors import NotLeaderError
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
from pewterring.consensus.types import RaftConfig, ReadTicket, Ready, Role, Save, Snapshot


class Raft:
    """One member of one group. All times are monotonic times in seconds. Not thread-safe."""

    def __init__(
        self, config: RaftConfig, rng: random.Random, persisted: PersistentState, now: float
    ) -> None:
        self.group = config.group
        self.member = config.member
        self._state = MemberState(config, rng, persisted, now)
        self._election = Election(self._state)
        self._follower_role = FollowerRole(self._state)
        self._departure = Departure(self._state)
        self._last_leader_role: LeaderRole | None = None  # from the last term in which this member led

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def role(self) -> Role:
        """The role of this member in the current term."""
        return self._state.role

    @property
    def leader(self) -> str | None:
        """The leader of the current term, if known."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this member believes itself the leader; another member may lead a later term already."""
        return self._state.role is Role.LEADER

    @property
    def is_ready_leader(self) -> bool:
        """Whether this member leads and an entry of its own term is committed."""
        return self._leader_role is not None and self._leader_role.has_committed

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry returned by `take_ready`, or of a later installed snapshot."""
        return self._state.applied_index

    @property
    def last_index(self) -> int:
        """Index of the last entry in this member's log."""
        return self._state.log.last_index

    @property
    def membership(self) -> Membership:
        """The membership in force, which may not be committed yet."""
        return self._state.members.current

    @property
    def membership_is_committed(self) -> bool:
        """Whether the membership in force is committed, so that it cannot be reverted any more."""
        return self._state.members.last_change <= self._state.commit_index

    @property
    def is_installing_snapshot(self) -> bool:
        """Whether a received snapshot is not on disk yet."""
        return self._state.unpersisted.is_installing_snapshot

    @property
    def unpersisted_bytes(self) -> int:
        """Approximate size of the entries that are not on this member's own disk yet, in bytes."""
        return self._state.log.bytes_after(self._state.unpersisted.persisted_index)

    @property
    def _leader_role(self) -> LeaderRole | None:
        return self._last_leader_role if self._state.role is Role.LEADER else None

    def _require_leader_role(self) -> LeaderRole:
        role = self._leader_role
        if role is None:
            raise NotLeaderError(self.leader)
        return role

    def _require_accepting_leader_role(self) -> LeaderRole:
        """The leader role, unless a leadership transfer is in progress, during which no entry is appended."""
        role = self._require_leader_role()
        if role.is_transferring_leadership:
            raise NotLeaderError(None)
        return role

    def match(self, member: str) -> int:
        """The index up to which `member` is known to have the log on disk; 0 if this member does not lead."""
        return self._leader_role.match(member) if self._leader_role is not None else 0

    def seconds_since_contact(self, member: str, now: float) -> float:
        """Seconds since `member` last answered a heartbeat of this leader; 0 if this member does not lead."""
        return self._leader_role.seconds_since_contact(member, now) if self._leader_role is not None else 0.0

    def is_departing(self, member: str) -> bool:
        """Whether `member` has announced its departure to this leader; False if this member does not lead."""
        return self._leader_role is not None and self._leader_role.is_departing(member)

    def announce_departure(self) -> None:
        """Announces to all voters that this process is about to end. Call repeatedly until `has_departed`."""
        self._departure.announce()

    @property
    def has_departed(self) -> bool:
        """Whether this member's departure was acknowledged, or it is no voter of the committed membership."""
        is_voter = self.member in self.membership.voters or not self.membership_is_committed
        return self._departure.is_acknowledged or not is_voter

    def has_lease(self, now: float) -> bool:
        """Whether this member leads and no other member can have been elected by `now`."""
        return self._leader_role is not None and self._leader_role.has_lease(now)

    @property
    def newest_round(self) -> int:
        """The number of the leader's latest heartbeat round in the current term, as known to this member."""
        return (
            self._leader_role.round_number if self._leader_role is not None else self._state.last_leader_round
        )

    def is_recent_round(self, term: int, round_number: int, now: float) -> bool:
        """Whether this member leads in `term` and sent the round within the longest election timeout."""
        role = self._leader_role
        return role is not None and term == self.term and role.is_recent_round(round_number, now)

    def next_deadline(self) -> float | None:
        """When `tick` must be called next; None if nothing is due until a message arrives."""
        if self._leader_role is not None:
            return self._leader_role.due_at
        return self._state.election_due_at if self._election.may_campaign else None

    def tick(self, now: float) -> None:
        """Starts the heartbeat round or the election that is due by `now`, if any."""
        if self._leader_role is not None:
            self._leader_role.tick(now)
        elif self._election.may_campaign and now >= self._state.election_due_at:
            self._election.start(now)

    def step(self, now: float, message: ConsensusMessage) -> None:
        """Processes a received message; messages addressed to other members or groups are ignored.

        Raises:
            InvariantError: a member violated the protocol; this member must stop.
        """
        if message.target != self.member or message.group != self.group:
            return
        match message:
            case AppendRequest():
                self._follower_role.on_append(now, message)
            case AppendReply() | SnapshotReply():
                self._on_follower_reply(now, message)
            case SnapshotChunk():
                self._follower_role.on_snapshot_chunk(now, message)
            case VoteRequest() | VoteReply() | TimeoutNow():
                self._step_election(now, message)
            case DepartureNotice():
                if self._leader_role is not None:
                    self._leader_role.on_departure_notice(message)
            case DepartureAck():
                self._departure.on_ack(message)

    def _step_election(self, now: float, message: VoteRequest | VoteReply | TimeoutNow) -> None:
        match message:
            case VoteRequest():
                self._election.on_request(now, message)
            case VoteReply():
                self._lead_if(self._election.on_reply(now, message), now)
            case TimeoutNow():
                self._election.on_timeout_now(now, message)

    def _lead_if(self, elected: bool, now: float) -> None:
        if elected:
            self._last_leader_role = self._begin_leading(now)

    def _begin_leading(self, now: float) -> LeaderRole:
        return LeaderRole(self._state, now)

    def _on_follower_reply(self, now: float, reply: AppendReply | SnapshotReply) -> None:
        if reply.term > self.term:
            if self._leader_role is None or not self._leader_role.yield_to_later_term(now):
                self._state.become_follower(now, reply.term, None)
        elif reply.term == self.term and self._leader_role is not None:
            self._leader_role.on_reply(now, reply)

    def propose(self, data: bytes) -> tuple[int, int]:
        """Appends a command, JSON on one line, and returns the index and the term of its entry.

        Raises:
            NotLeaderError: this member is not the leader, or is transferring its leadership; the call had no
                effect.
            TooManyUncommittedError: the size limit of uncommitted entries is reached; the call had no effect.
        """
        return self._require_accepting_leader_role().append_command(data), self.term

    def propose_membership(self, membership: Membership) -> tuple[int, int]:
        """Appends a membership change, which takes effect at once, and returns its index and term.

        Raises:
            NotLeaderError: this member is not the leader, or is transferring its leadership; the call had no
                effect.
            MembershipRejectedError: the change is not allowed now; the call had no effect.
        """
        return self._require_accepting_leader_role().append_membership(membership), self.term

    def transfer_leadership(self, now: float) -> bool:
        """Starts a leadership transfer; False if this member does not lead or there is no other voter.

        From then on the leader accepts no commands. It steps down after the shortest election timeout even if
        no successor was elected.
        """
        return self._leader_role is not None and self._leader_role.transfer_leadership(now)

    def request_read(self, now: float) -> ReadTicket:
        """Requests a read that sees everything committed before this call.

        The ticket is confirmed immediately or in a later `Ready`. Tickets that are still unconfirmed when the
        leadership is lost are never confirmed.

        Raises:
            NotLeaderError: this member is not the leader.
        """
        role = self._require_leader_role()
        return role.new_read_ticket(is_confirmed=role.has_committed and self.has_lease(now))

    def take_ready(self, now: float, can_save: bool = True) -> Ready:
        """Returns the work due at `now`, each item once. Without `can_save` no save is started."""
        state = self._state
        leader_role = self._leader_role
        if leader_role is not None:
            leader_role.flush(now)
        save = None
        if can_save:
            save = state.unpersisted.begin_save(state.hard_state)
            state.outbox += state.unpersisted.take_deferred_messages()
        messages, state.outbox = state.outbox, []
        return Ready(
            messages_before_sync=messages,
            save=save,
            committed=self._take_committed(),
            confirmed_reads=leader_role.take_confirmed_reads() if leader_role is not None else (),
            snapshot_wanted=leader_role is not None and leader_role.snapshot_wanted,
        )

    def _take_committed(self) -> Sequence[Entry]:
        state = self._state
        if state.applied_index >= state.commit_index or state.applied_index < state.log.base_index:
            return ()
        entries = state.log.between(state.applied_index + 1, state.commit_index)
        state.applied_index = state.commit_index
        return entries

    def persisted(self, now: float, save: Save) -> None:
        """Reports that `save` is on disk and that its snapshot, if any, is installed in the state machine.

        Raises:
            InvariantError: `save` is not the save in progress.
        """
        state = self._state
        state.unpersisted.on_saved(save)
        if save.snapshot is not None:
            state.applied_index = max(state.applied_index, save.snapshot.index)
        if self._leader_role is not None:
            self._leader_role.advance_commit(now)
        else:
            self._lead_if(self._election.on_persisted(now), now)

    def make_snapshot(self, data: bytes) -> Snapshot:
        """Makes a snapshot from `data`, the state machine after all entries that `take_ready` returned."""
        state = self._state
        index = state.applied_index
        return Snapshot(index, state.log.term_at(index) or 0, state.members.at(index), data)

    def offer_snapshot(self, snapshot: Snapshot) -> None:
        """Starts to send `snapshot` to the members that need one."""
        if self._leader_role is not None:
            self._leader_role.offer_snapshot(snapshot)

    def compact(self, snapshot: Snapshot) -> None:
        """Drops log entries covered by `snapshot`, which this member made and which is on disk."""
        state = self._state
        leader_role = self._leader_role
        state.unpersisted.on_compacted(snapshot.index)
        oldest_sent = leader_role.oldest_snapshot_index() if leader_role is not None else None
        index = snapshot.index if oldest_sent is None else min(snapshot.index, oldest_sent)
        state.log.compact(index, state.limits.retained_bytes)
        state.log.compact(snapshot.index, state.limits.retained_for_transfers_bytes)
        state.members.compact(state.log.base_index)
        if leader_role is not None:
            leader_role.on_log_compacted()
