"""Owns elections: standing for one after a poll that changes nothing (a pre-vote), and voting.

Raft paper, sections 5.2 and 5.4; pre-votes as in section 9.6 of the dissertation. What may go wrong: a vote
told before it is on disk can be given twice in one term, and a vote given while a leader counts on this
member's silence breaks that leader's lease. So votes go out by `send_when_persisted`, and
`_must_withhold_vote` guards both.
"""

from collections.abc import Iterable

from pewterring.consensus.membership import majority_value
from pewterring.consensus.messages import TimeoutNow, VoteReply, VoteRequest
from pewterring.consensus.persistent import HardState
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import Role


class Poll:
    """Which members granted their vote in one term."""

    def __init__(self, term: int) -> None:
        self.term = term
        self._granted: set[str] = set()

    def grant(self, member: str) -> None:
        """Counts the vote of `member`."""
        self._granted.add(member)

    def is_won(self, voters: Iterable[str]) -> bool:
        """Whether a majority of `voters` granted theirs."""
        return majority_value([int(voter in self._granted) for voter in voters]) == 1


class Election:
    """The part of a member that stands for election and votes."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._poll = Poll(0)

    @property
    def may_campaign(self) -> bool:
        """Whether the member is a voter by the membership that it knows."""
        return self._state.member in self._state.voters

    def start(self, now: float) -> None:
        """Starts a poll: would the others vote for this member?"""
        state = self._state
        state.role = Role.PRECANDIDATE
        state.leader = None
        state.election_due_at = state.next_poll_time(now)
        self._poll = Poll(state.term + 1)
        state.outbox += self._requests(prevote=True)
        self._count_vote(now, state.member)

    def on_timeout_now(self, now: float, message: TimeoutNow) -> None:
        """Stands without a poll, as the leader of this term requests; a late message changes nothing."""
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
        """Counts the member's own vote once it is on disk; True if that makes this member the leader."""
        state = self._state
        if state.role is not Role.CANDIDATE or not state.unpersisted.is_persisted(state.hard_state):
            return False
        return self._count_vote(now, state.member)

    def on_reply(self, now: float, reply: VoteReply) -> bool:
        """Takes an answer; True if it makes this member the leader."""
        state = self._state
        if not reply.granted:
            if (
                reply.term > state.term and state.role is not Role.LEADER
            ):  # a leader learns that by its heartbeats
                state.become_follower(now, reply.term, None)
            return False
        polled_as = Role.PRECANDIDATE if reply.prevote else Role.CANDIDATE
        if state.role is not polled_as or reply.term != self._poll.term:
            return False
        return self._count_vote(now, reply.sender)

    def _must_withhold_vote(self, now: float, request: VoteRequest) -> bool:
        """Whether a leader's lease may rest on this member's voting for nobody else.

        A leader that transfers its leadership has given up its lease before; such a request that comes late,
        when its term is over, gets no vote by its term.
        """
        if request.leadership_transferred:
            return False
        return self._state.role is Role.LEADER or now < self._state.votes_withheld_until

    def on_request(self, now: float, request: VoteRequest) -> None:
        """Votes, or leaves the request unanswered while a leader was in contact not long ago."""
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
        is_free = state.hard_state.vote in (None, request.sender)
        granted = request.term == state.term and is_free and self._is_up_to_date(request)
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
