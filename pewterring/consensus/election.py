"""Elections: standing for one after a poll that changes nothing (a pre-vote), and voting."""

from collections.abc import Iterable

from pewterring.consensus.membership import majority_value
from pewterring.consensus.messages import TimeoutNow, VoteReply, VoteRequest
from pewterring.consensus.persistent import HardState
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import Role


class Poll:
    """Who granted their vote at one term."""

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
    def may_stand(self) -> bool:
        """Whether the member is a voter by the membership that it knows."""
        return self._state.member in self._state.voters

    def start(self, now: float) -> None:
        """Asks whether the others would vote for this member."""
        state = self._state
        state.role = Role.PRECANDIDATE
        state.leader = None
        state.election_at = state.retry_time(now)
        self._poll = Poll(state.term + 1)
        state.outbox += self._requests(prevote=True)
        self._count(now, state.member)

    def on_timeout_now(self, now: float, message: TimeoutNow) -> None:
        """Stands without a poll, since the leader of the own term wishes it; later ones change nothing."""
        state = self._state
        if message.term == state.term and state.role is Role.FOLLOWER and self.may_stand:
            self._stand(now, leadership_transferred=True)

    def _stand(self, now: float, leadership_transferred: bool = False) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        state.leader = None
        state.hard_state = HardState(state.term + 1, state.member)
        state.last_leader_round = 0
        state.election_at = state.retry_time(now)
        self._poll = Poll(state.term)
        for request in self._requests(prevote=False, leadership_transferred=leadership_transferred):
            state.unpersisted.hold(request)

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

    def _count(self, now: float, voter: str) -> bool:
        self._poll.grant(voter)
        if not self._poll.is_won(self._state.voters):
            return False
        if self._state.role is Role.PRECANDIDATE:
            self._stand(now)
            return False
        return True

    def on_persisted(self, now: float) -> bool:
        """Counts the own vote once it is on disk; True if that makes this member the leader."""
        state = self._state
        if state.role is not Role.CANDIDATE or not state.unpersisted.is_persisted(state.hard_state):
            return False
        return self._count(now, state.member)

    def on_reply(self, now: float, reply: VoteReply) -> bool:
        """Takes an answer; True if it makes this member the leader."""
        state = self._state
        if not reply.granted:
            if reply.term > state.term and state.role is not Role.LEADER:  # it learns that by its heartbeats
                state.become_follower(now, reply.term, None)
            return False
        asked = Role.PRECANDIDATE if reply.prevote else Role.CANDIDATE
        if state.role is not asked or reply.term != self._poll.term:
            return False
        return self._count(now, reply.sender)

    def _is_bound(self, now: float, request: VoteRequest) -> bool:
        """Whether a leader may count on this member's not voting for another.

        A request that was handed over follows a lease given up; one that comes late, in a later term,
        gets no vote by its term.
        """
        if request.leadership_transferred:
            return False
        return self._state.role is Role.LEADER or now < self._state.vote_free_at

    def on_request(self, now: float, request: VoteRequest) -> None:
        """Votes, or leaves the request unanswered while a leader was heard not long ago."""
        if self._is_bound(now, request):
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
        free = state.hard_state.vote in (None, request.sender)
        granted = request.term == state.term and free and self._is_up_to_date(request)
        if granted:
            state.hard_state = HardState(state.term, request.sender)
            state.election_at = state.election_time(now)
        self._reply(request, granted, state.term)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        return self._state.log.is_behind(request.last_index, request.last_term)

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
