"""The leader's heartbeat rounds: which members answered which, the lease and the reads that follow."""

from collections.abc import Iterable
from math import inf

from pewterring.consensus.membership import majority_value
from pewterring.consensus.types import RaftTiming, ReadTicket


class HeartbeatRounds:
    """Rounds are numbered from 1 within one term of leadership. Times are when a round was sent."""

    def __init__(self, member: str, timing: RaftTiming, now: float) -> None:
        self._member = member
        self._timing = timing
        self._elected_at = now
        self.number = 0
        self.due_at = now
        self._sent_at: dict[int, float] = {}
        self._answered: dict[str, int] = {}  # member -> last round it answered
        self._answered_at: dict[str, float] = {}  # member -> when that round was sent
        self._reads: list[tuple[int, ReadTicket]] = []  # with the round that must be answered
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

    def answered(self, member: str, number: int) -> bool:
        """Takes note that `member` answered a round; False if that is nothing new."""
        sent_at = self._sent_at.get(number)
        if sent_at is None or number <= self._answered.get(member, 0):
            return False
        self._answered[member] = number
        self._answered_at[member] = sent_at
        return True

    def is_recent(self, number: int, now: float) -> bool:
        """Whether a round was sent no longer ago than the longest election time-out."""
        sent_at = self._sent_at.get(number)
        return sent_at is not None and now - sent_at <= self._timing.election_max_s

    def confirmed_at(self, voters: Iterable[str]) -> float:
        """When the last round that a majority answered was sent; minus infinity if there is none."""
        return majority_value(
            [inf if voter == self._member else self._answered_at.get(voter, -inf) for voter in voters]
        )

    def has_lease(self, voters: Iterable[str], now: float) -> bool:
        """Whether no other member can have been elected by `now`."""
        return now < self.confirmed_at(voters) + self._timing.lease_s

    def has_lost_majority(self, voters: Iterable[str], now: float) -> bool:
        """Whether a majority has been silent for so long that the leader must step down."""
        return now > max(self.confirmed_at(voters), self._elected_at) + self._timing.election_max_s

    def last_answered_at(self, member: str) -> float:
        """When the last round that `member` answered was sent."""
        return self._answered_at.get(member, -inf)

    def seconds_since_contact(self, member: str, now: float) -> float:
        """For how long `member` has answered no round; at most the time of this leadership."""
        return now - max(self.last_answered_at(member), self._elected_at)

    def new_ticket(self, index: int | None) -> ReadTicket:
        """A ticket, confirmed at once if `index` is given; else it waits for a round not begun yet."""
        ticket = ReadTicket(self._next_ticket, index)
        self._next_ticket += 1
        if index is None:
            self._reads.append((self.number + 1, ticket))
        return ticket

    @property
    def wanted(self) -> bool:
        """Whether reads wait for a round that has not begun."""
        return bool(self._reads) and self._reads[-1][0] > self.number

    def take_confirmed(self, voters: Iterable[str], commit: int) -> list[ReadTicket]:
        """The waiting reads whose round a majority answered, confirmed at index `commit`."""
        if not self._reads:
            return []
        confirmed = majority_value(
            [self.number if voter == self._member else self._answered.get(voter, 0) for voter in voters]
        )
        done = [ReadTicket(ticket.number, commit) for number, ticket in self._reads if number <= confirmed]
        self._reads = [read for read in self._reads if read[0] > confirmed]
        return done
