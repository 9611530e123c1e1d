"""The types in the interface of the Raft core: configuration, snapshots, read tickets and pending work.

`Ready` and `Save` define the contract between the core and its caller, as in etcd's raft: the caller persists
state before it sends the messages that depend on that state.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from pewterring.consensus.messages import ConsensusMessage, Entry, Membership
from pewterring.consensus.persistent import HardState

# Fraction of the shortest election timeout; the remainder is the margin for clock drift between members.
LEASE_FRACTION = 0.75


class Role(Enum):
    """The role of a member in its current term."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Intervals and timeouts of the protocol, in seconds. All members of a group use the same values."""

    # Five heartbeats fit into the shortest election timeout, so a few lost ones cause no election.
    heartbeat_s: float = 0.08
    # Shortest election timeout; a voter also withholds its vote for this long after a leader's message.
    election_min_s: float = 0.4
    # Longest election timeout; a leader also steps down after this long without answers from a majority.
    election_max_s: float = 0.8

    @property
    def lease_s(self) -> float:
        """Duration of a leader's lease, counted from when a heartbeat that a majority answered was sent."""
        return LEASE_FRACTION * self.election_min_s


@dataclass(frozen=True, slots=True)
class RaftLimits:
    """Limits on the memory of a member and on the messages in flight to another member."""

    message_bytes: int = 250_000  # maximum size of the entries in one message
    # Maximum size of the entries in flight to one member. Heartbeats queue behind them: for half a second on
    # a link or processor of 2 MB/s.
    window_bytes: int = 1_000_000
    window_messages: int = 32  # maximum number of messages in flight, which limits small entries
    snapshot_chunk_bytes: int = 256 * 1024  # small, so that heartbeats can be sent between two chunks
    snapshot_chunks_in_flight: int = 4  # about `window_bytes` in total
    # Maximum size of the leader's uncommitted entries. A larger command is accepted when it is the only one.
    uncommitted_bytes: int = 32_000_000
    # Entries kept in memory after a snapshot covers them, so that a member that lags a little needs none.
    retained_bytes: int = 4_000_000
    # The same limit while an older snapshot is being sent: its receiver needs the entries that follow it.
    retained_for_transfers_bytes: int = 16_000_000


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """The names of the group and of this member, with the timing and the limits of the protocol."""

    group: str
    member: str
    timing: RaftTiming = field(default_factory=RaftTiming)
    limits: RaftLimits = field(default_factory=RaftLimits)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after the entry (`index`, `term`), and the membership in force at that entry."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class Save:
    """State that must be on disk before `messages_after_sync` may be sent.

    The caller saves the fields in their order. It sends the messages and calls `Raft.persisted` only after
    everything has been synced. At most one save is in progress.
    """

    hard_state: HardState | None
    snapshot: Snapshot | None  # replaces the log and the state machine
    truncate_from: int | None  # index of the first entry to delete from the log
    entries: Sequence[Entry]
    messages_after_sync: Sequence[ConsensusMessage]


@dataclass(frozen=True, slots=True)
class ReadTicket:
    """A request to read. Once it is confirmed, entries up to `index` must be applied before the read."""

    number: int
    index: int | None = None


@dataclass(frozen=True, slots=True)
class Ready:
    """Work for the caller. `messages_before_sync` do not depend on unsaved state and may be sent at once."""

    messages_before_sync: Sequence[ConsensusMessage]
    save: Save | None
    committed: Sequence[Entry]  # to be applied in this order; each entry is returned once
    confirmed_reads: Sequence[ReadTicket]
    snapshot_wanted: bool  # whether a member needs a snapshot, to be passed to `Raft.offer_snapshot`
