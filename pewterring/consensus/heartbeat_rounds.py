"""A leader's heartbeat rounds: which members answered which round, and the lease and reads based on them.

A round is one heartbeat to every member. A lease counts from the time at which its round was sent: if it
counted from the arrival of the answers, it would last longer than voters withhold their votes. A read is
confirmed only by a round that starts after it: otherwise it may miss entries that a later leader committed
(Raft dissertation, section 6.4).
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from pewterring.consensus.membership import majority_value
from pewterring.consensus.types import RaftTiming, ReadTicket


class _PendingRead(NamedTuple):
    """A read that is confirmed once a majority has answered round `round_number` or a later one."""

    round_number: int
    ticket: ReadTicket


class HeartbeatRounds:
    """The rounds of one leadership, numbered from 1. All times are monotonic times in seconds."""

    def __init__(self, member: str, timing: RaftTiming, now: float) -> None:
        self._member = member
        self._timing = timing
        self._elected_at = now
        self.latest_round = 0
        self.due_at = now
        self._sent_at: dict[int, float] = {}
        self._answered_round: dict[str, int] = {}  # the latest round that each member answered
        self._answered_sent_at: dict[str, float] = {}  # the times at which those rounds were sent, by member
        self._pending_reads: list[_PendingRead] = []
        self._next_ticket = 1

    def begin(self, now: float) -> int:
        """Starts a round and returns its number."""
        self.latest_round += 1
        self.due_at = now + self._timing.heartbeat_s
        self._sent_at[self.latest_round] = now
        self._drop_rounds_before(now - self._timing.election_max_s)
        return self.latest_round

    def _drop_rounds_before(self, oldest: float) -> None:
        while True:
            first = next(iter(self._sent_at))
            if self._sent_at[first] >= oldest:
                return
            del self._sent_at[first]

    def record_answer(self, member: str, round_number: int) -> bool:
        """Records an answer of `member`; False if the round expired or is not later than its last one."""
        sent_at = self._sent_at.get(round_number)
        if sent_at is None or round_number <= self._answered_round.get(member, 0):
            return False
        self._answered_round[member] = round_number
        self._answered_sent_at[member] = sent_at
        return True

    def is_recent(self, round_number: int, now: float) -> bool:
        """Whether round `round_number` was sent within the longest election timeout."""
        sent_at = self._sent_at.get(round_number)
        return sent_at is not None and now - sent_at <= self._timing.election_max_s

    def confirmed_at(self, voters: Iterable[str]) -> float:
        """When the latest round answered by a majority was sent; minus infinity if there is none."""
        return majority_value(
            [inf if voter == self._member else self.last_answered_at(voter) for voter in voters]
        )

    def has_lease(self, voters: Iterable[str], now: float) -> bool:
        """Whether no other member can have been elected by `now`."""
        return now < self.confirmed_at(voters) + self._timing.lease_s

    def has_lost_majority(self, voters: Iterable[str], now: float) -> bool:
        """Whether no majority answered within the longest election timeout: the leader must step down."""
        return now > max(self.confirmed_at(voters), self._elected_at) + self._timing.election_max_s

    def last_answered_at(self, member: str) -> float:
        """When the latest round answered by `member` was sent; minus infinity if it answered none."""
        return self._answered_sent_at.get(member, -inf)

    def seconds_since_contact(self, member: str, now: float) -> float:
        """Seconds since the latest round that `member` answered, or since the election if there is none."""
        return now - max(self.last_answered_at(member), self._elected_at)

    def new_read_ticket(self, index: int | None) -> ReadTicket:
        """A read ticket, confirmed at once if `index` is given, else by a round that has not started yet."""
        ticket = ReadTicket(self._next_ticket, index)
        self._next_ticket += 1
        if index is None:
            self._pending_reads.append(_PendingRead(self._confirming_round, ticket))
        return ticket

    @property
    def _confirming_round(self) -> int:
        """The first round whose answers can confirm a read that is requested now."""
        return self.latest_round + 1

    @property
    def is_next_requested(self) -> bool:
        """Whether a pending read needs a round that has not started yet."""
        return bool(self._pending_reads) and self._pending_reads[-1].round_number > self.latest_round

    def take_confirmed_reads(self, voters: Iterable[str], commit_index: int) -> list[ReadTicket]:
        """Removes and returns the pending reads whose round a majority answered, with `commit_index`."""
        if not self._pending_reads:
            return []
        confirmed_round = majority_value(
            [
                self.latest_round if voter == self._member else self._answered_round.get(voter, 0)
                for voter in voters
            ]
        )
        pending = self._pending_reads
        self._pending_reads = [read for read in pending if read.round_number > confirmed_round]
        return [
            ReadTicket(read.ticket.number, commit_index)
            for read in pending
            if read.round_number <= confirmed_round
        ]
