"""Elections: a member's candidacy, preceded by a pre-vote, and its votes for other candidates.

See sections 5.2 and 5.4 of the Raft paper, and section 9.6 of the dissertation for pre-votes, which change no
state. A vote sent before it is on disk can be given twice in one term, so votes are sent by
`send_when_persisted`. A vote given during a leader's lease violates that lease; see `_must_withhold_vote`.
"""

from collections.abc import Iterable

from pewterring.consensus.membership import majority_value
from pewterring.consensus.messages import TimeoutNow, VoteReply, VoteRequest
from pewterring.consensus.persistent import HardState
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import Role


class Poll:
    """The members that granted their vote or pre-vote in one term."""

    def __init__(self, term: int) -> None:
        self.term = term
        self._granted: set[str] = set()

    def grant(self, member: str) -> None:
        """Records the vote of `member`."""
        self._granted.add(member)

    def is_won(self, voters: Iterable[str]) -> bool:
        """Whether a majority of `voters` granted their votes."""
        return majority_value([int(voter in self._granted) for voter in voters]) == 1


class Election:
    """Runs the elections of one member, and votes in those of other members."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._poll = Poll(0)

    @property
    def may_campaign(self) -> bool:
        """Whether this member is a voter in the latest membership that it knows."""
        return self._state.member in self._state.voters

    def start(self, now: float) -> None:
        """Starts a pre-vote, which asks whether the other voters would vote for this member."""
        state = self._state
        state.role = Role.PRECANDIDATE
        state.leader = None
        state.election_due_at = state.next_poll_time(now)
        self._poll = Poll(state.term + 1)
        state.outbox += self._requests(prevote=True)
        self._count_vote(now, state.member)

    def on_timeout_now(self, now: float, message: TimeoutNow) -> None:
        """Starts an election without a pre-vote at the request of the leader; ignores delayed messages."""
        state = self._state
        if message.term == state.term and state.role is Role.FOLLOWER and self.may_campaign:
            self._campaign(now, leadership_transferred=True)

    def _campaign(self, now: float, leadership_transferred: bool = False) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        state.leader = None
        state.hard_state = HardState(state.term + 1, state.member)
        state.last_leader_round = 0
        state.election_due_at = state.next_poll_time(now)
        self._poll = Poll(state.term)
        for request in self._requests(prevote=False, leadership_transferred=leadership_transferred):
            state.unpersisted.defer(request)

    def _requests(self, prevote: bool, leadership_transferred: bool = False) -> list[VoteRequest]:
        state = self._state
        return [
            VoteRequest(
                group=state.group,
                sender=state.member,
                target=voter,
                term=self._poll.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                prevote=prevote,
                leadership_transferred=leadership_transferred,
            )
            for voter in state.voters
            if voter != state.member
        ]

    def _count_vote(self, now: float, voter: str) -> bool:
        self._poll.grant(voter)
        if not self._poll.is_won(self._state.voters):
            return False
        if self._state.role is Role.PRECANDIDATE:
            self._campaign(now)
            return False
        return True

    def on_persisted(self, now: float) -> bool:
        """Counts this member's own vote once it is on disk; True if that makes this member the leader."""
        state = self._state
        if state.role is not Role.CANDIDATE or not state.unpersisted.is_persisted(state.hard_state):
            return False
        return self._count_vote(now, state.member)

    def on_reply(self, now: float, reply: VoteReply) -> bool:
        """Processes the reply to a vote request; True if it makes this member the leader."""
        state = self._state
        if not reply.granted:
            # A leader handles later terms in the replies to its heartbeats, where it may transfer leadership.
            if reply.term > state.term and state.role is not Role.LEADER:
                state.become_follower(now, reply.term, None)
            return False
        expected_role = Role.PRECANDIDATE if reply.prevote else Role.CANDIDATE
        if state.role is not expected_role or reply.term != self._poll.term:
            return False
        return self._count_vote(now, reply.sender)

    def _must_withhold_vote(self, now: float, request: VoteRequest) -> bool:
        """Whether a leader's lease may depend on this member voting for no other candidate.

        A leader that transfers its leadership has given up its lease beforehand. A delayed request of such a
        transfer gets no vote if its term is over.
        """
        if request.leadership_transferred:
            return False
        return self._state.role is Role.LEADER or now < self._state.votes_withheld_until

    def on_request(self, now: float, request: VoteRequest) -> None:
        """Replies to a vote request, or ignores it if a leader was in contact recently."""
        if self._must_withhold_vote(now, request):
            return
        if request.prevote:
            self._answer_prevote(request)
        else:
            self._answer_vote(now, request)

    def _answer_prevote(self, request: VoteRequest) -> None:
        state = self._state
        granted = request.term > state.term and self._is_up_to_date(request)
        self._reply(request, granted, request.term if granted else state.term)

    def _answer_vote(self, now: float, request: VoteRequest) -> None:
        state = self._state
        if request.term > state.term:
            state.become_follower(now, request.term, None)
        may_vote_for_sender = state.hard_state.vote in (None, request.sender)
        granted = request.term == state.term and may_vote_for_sender and self._is_up_to_date(request)
        if granted:
            state.hard_state = HardState(state.term, request.sender)
            state.election_due_at = state.next_election_time(now)
        self._reply(request, granted, state.term)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        return self._state.log.is_no_newer_than(request.last_index, request.last_term)

    def _reply(self, request: VoteRequest, granted: bool, term: int) -> None:
        state = self._state
        state.send_when_persisted(
            VoteReply(
                group=state.group,
                sender=state.member,
                target=request.sender,
                term=term,
                granted=granted,
                prevote=request.prevote,
            )
        )
