"""Owns a leader's heartbeat rounds: which members answered which, and the lease and reads that rest on that.

A round is one heartbeat to every member. What may go wrong: a lease counted from when an answer came, in
place of when its round was sent, outlasts the time for which voters withhold their votes; and a read
confirmed by a round that began before it may miss what a later leader committed (Raft dissertation, section
6.4).
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from pewterring.consensus.membership import majority_value
from pewterring.consensus.types import RaftTiming, ReadTicket


class _PendingRead(NamedTuple):
    """A read, confirmed once a majority has answered `round_number` or a later round."""

    round_number: int
    ticket: ReadTicket


class HeartbeatRounds:
    """The rounds of one leadership, numbered from 1. All times are when a round was sent, in seconds."""

    def __init__(self, member: str, timing: RaftTiming, now: float) -> None:
        self._member = member
        self._timing = timing
        self._elected_at = now
        self.number = 0
        self.due_at = now
        self._sent_at: dict[int, float] = {}
        self._answered_round: dict[str, int] = {}  # by member: the last round that it answered
        self._answered_sent_at: dict[str, float] = {}  # by member: when that round was sent
        self._pending_reads: list[_PendingRead] = []
        self._next_ticket = 1

    def begin(self, now: float) -> int:
        """Begins a round and returns its number."""
        self.number += 1
        self.due_at = now + self._timing.heartbeat_s
        self._sent_at[self.number] = now
        self._forget_before(now - self._timing.election_max_s)
        return self.number

    def _forget_before(self, oldest: float) -> None:
        while True:
            first = next(iter(self._sent_at))
            if self._sent_at[first] >= oldest:
                return
            del self._sent_at[first]

    def record_answer(self, member: str, number: int) -> bool:
        """Takes note that `member` answered a round; False if that is nothing new."""
        sent_at = self._sent_at.get(number)
        if sent_at is None or number <= self._answered_round.get(member, 0):
            return False
        self._answered_round[member] = number
        self._answered_sent_at[member] = sent_at
        return True

    def is_recent(self, number: int, now: float) -> bool:
        """Whether a round was sent no longer ago than the longest election time-out."""
        sent_at = self._sent_at.get(number)
        return sent_at is not None and now - sent_at <= self._timing.election_max_s

    def confirmed_at(self, voters: Iterable[str]) -> float:
        """When the last round that a majority answered was sent; minus infinity if there is none."""
        return majority_value(
            [inf if voter == self._member else self.last_answered_at(voter) for voter in voters]
        )

    def has_lease(self, voters: Iterable[str], now: float) -> bool:
        """Whether no other member can have been elected by `now`."""
        return now < self.confirmed_at(voters) + self._timing.lease_s

    def has_lost_majority(self, voters: Iterable[str], now: float) -> bool:
        """Whether a majority has not answered for so long that the leader must step down."""
        return now > max(self.confirmed_at(voters), self._elected_at) + self._timing.election_max_s

    def last_answered_at(self, member: str) -> float:
        """When the last round that `member` answered was sent; minus infinity if it answered none."""
        return self._answered_sent_at.get(member, -inf)

    def seconds_since_contact(self, member: str, now: float) -> float:
        """For how long `member` has answered no round; at most the time of this leadership."""
        return now - max(self.last_answered_at(member), self._elected_at)

    def new_ticket(self, index: int | None) -> ReadTicket:
        """A ticket, confirmed at once if `index` is given; else it waits for a round not begun yet."""
        ticket = ReadTicket(self._next_ticket, index)
        self._next_ticket += 1
        if index is None:
            self._pending_reads.append(_PendingRead(self._confirming_round, ticket))
        return ticket

    @property
    def _confirming_round(self) -> int:
        """The first round whose answers confirm a read that is requested now."""
        return self.number + 1

    @property
    def is_next_requested(self) -> bool:
        """Whether reads wait for a round that has not begun."""
        return bool(self._pending_reads) and self._pending_reads[-1].round_number > self.number

    def take_confirmed_reads(self, voters: Iterable[str], commit_index: int) -> list[ReadTicket]:
        """The pending reads whose round a majority answered, confirmed at `commit_index`."""
        if not self._pending_reads:
            return []
        confirmed_round = majority_value(
            [self.number if voter == self._member else self._answered_round.get(voter, 0) for voter in voters]
        )
        pending = self._pending_reads
        self._pending_reads = [read for read in pending if read.round_number > confirmed_round]
        return [
            ReadTicket(read.ticket.number, commit_index)
            for read in pending
            if read.round_number <= confirmed_round
        ]
