"""The state of one member that is shared by the election, follower and leader code.

It consists of the fields of figure 2 of the Raft paper and the deadlines of elections. Messages in `outbox`
are sent without waiting for the disk; a message that depends on unsaved state must go through
`send_when_persisted` instead.
"""

import random
from collections.abc import Sequence

from pewterring.consensus.log import Log
from pewterring.consensus.membership import MembershipHistory
from pewterring.consensus.messages import ConsensusMessage, Entry
from pewterring.consensus.persistent import HardState, PersistentState
from pewterring.consensus.types import RaftConfig, Role
from pewterring.consensus.unpersisted import UnpersistedState

# Bounds of the random delay before a poll that was not won is repeated, as fractions of the shortest election
# timeout.
POLL_RETRY_FRACTIONS = (0.25, 0.5)


class MemberState:
    """Term, vote, role, log, and messages ready to be sent. All times are monotonic times in seconds."""

    def __init__(
        self, config: RaftConfig, rng: random.Random, persisted: PersistentState, now: float
    ) -> None:
        self.group = config.group
        self.member = config.member
        self.timing = config.timing
        self.limits = config.limits
        self._rng = rng
        self.hard_state = HardState(persisted.term, persisted.vote)
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_index = persisted.snapshot_index
        self.applied_index = persisted.snapshot_index
        self.log = Log(persisted.snapshot_index, persisted.snapshot_term, persisted.entries)
        self.members = MembershipHistory(persisted.snapshot_membership, persisted.entries)
        self.unpersisted = UnpersistedState(self.log, self.hard_state)
        self.outbox: list[ConsensusMessage] = []
        self.last_leader_round = 0  # the highest heartbeat round received from the leader of this term
        self.departing = False  # whether the process is about to end
        # A new member cannot have answered a leader before this start, so no lease depends on its vote.
        is_new = persisted.term == 0
        self.votes_withheld_until = now if is_new else now + config.timing.election_min_s
        self.election_due_at = self.next_poll_time(now) if is_new else self.next_election_time(now)

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the membership in force."""
        return self.members.current.voters

    def next_election_time(self, now: float) -> float:
        """When to start an election if no message of a leader arrives after `now`."""
        return now + self._rng.uniform(self.timing.election_min_s, self.timing.election_max_s)

    def next_poll_time(self, now: float) -> float:
        """When to repeat a poll that starts at `now`, unless it is won."""
        shortest, longest = POLL_RETRY_FRACTIONS
        return now + self._rng.uniform(shortest, longest) * self.timing.election_min_s

    def become_follower(self, now: float, term: int, leader: str | None) -> None:
        """Becomes a follower of `leader` (None if unknown); a later `term` starts without a vote."""
        if term > self.term:
            self.hard_state = HardState(term)
            self.last_leader_round = 0
        if self.role is not Role.FOLLOWER:
            self.election_due_at = self.next_election_time(now)
        self.role = Role.FOLLOWER
        self.leader = leader

    def append(self, entries: Sequence[Entry]) -> None:
        """Appends entries to the log; membership changes among them take effect at once."""
        self.log.append(entries)
        self.members.append(entries)

    def truncate(self, first_dropped: int) -> None:
        """Deletes the entries from `first_dropped` on, and reverts the membership changes among them."""
        self.log.truncate(first_dropped)
        self.members.truncate(first_dropped)
        self.unpersisted.on_truncated(first_dropped)

    def send_when_persisted(self, message: ConsensusMessage, index: int = 0) -> None:
        """Sends `message` once the term, the vote and the log up to `index` are on disk."""
        if self.unpersisted.is_persisted(self.hard_state) and index <= self.unpersisted.persisted_index:
            self.outbox.append(message)
        else:
            self.unpersisted.defer(message)
