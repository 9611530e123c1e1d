"""The values that go into and come out of the consensus core: timing, limits, tickets, what is to be done.

`Ready` and `Save` state the core's contract with its caller (as in etcd's raft): persist before you send.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from pewterring.consensus.messages import ConsensusMessage, Entry, Membership
from pewterring.consensus.persistent import HardState

LEASE_FRACTION = 0.75  # of the shortest election time-out; the rest allows for clocks of other rates


class Role(Enum):
    """What a member is doing in its term."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Times of the protocol in seconds. All members of a group use the same."""

    heartbeat_s: float = 0.08
    election_min_s: float = 0.4
    election_max_s: float = 0.8

    @property
    def lease_s(self) -> float:
        """How long after a heartbeat was sent a majority's answers to it keep others from being elected."""
        return LEASE_FRACTION * self.election_min_s


@dataclass(frozen=True, slots=True)
class RaftLimits:
    """Bounds on memory and on what is in flight to one member, in bytes and in messages."""

    message_bytes: int = 250_000  # entries in one message
    window_bytes: int = 1_000_000  # heartbeats wait behind it: half a second on a link or processor of 2 MB/s
    window_messages: int = 32
    snapshot_chunk_bytes: int = 256 * 1024  # small, so that a heartbeat gets in between two
    snapshot_chunks_in_flight: int = 4  # together about as many bytes as the window has
    uncommitted_bytes: int = 32_000_000  # a larger command is accepted while no other is uncommitted
    retained_bytes: int = (
        4_000_000  # entries kept in memory after a snapshot covers them, for members that lag a little
    )
    retained_for_transfers_bytes: int = (
        16_000_000  # the same while an older snapshot is being sent, however slowly
    )


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Who a member is, and the figures that it goes by."""

    group: str
    member: str
    timing: RaftTiming = field(default_factory=RaftTiming)
    limits: RaftLimits = field(default_factory=RaftLimits)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after the entry (`index`, `term`), and the membership in force there."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class Save:
    """What must be on disk before `messages_after_sync` may be sent.

    Saved in the order of the fields. The messages go out, and `Raft.persisted` is called, only when all has
    been synced. At most one save is in progress.
    """

    hard_state: HardState | None
    snapshot: Snapshot | None  # replaces the log and the state machine
    truncate_from: int | None
    entries: Sequence[Entry]
    messages_after_sync: Sequence[ConsensusMessage]


@dataclass(frozen=True, slots=True)
class ReadTicket:
    """A request to read. When confirmed, `index` says up to where entries must be applied before the read."""

    number: int
    index: int | None = None


@dataclass(frozen=True, slots=True)
class Ready:
    """What the core needs done now. `messages_before_sync` claim nothing that is not on disk yet."""

    messages_before_sync: Sequence[ConsensusMessage]
    save: Save | None
    committed: Sequence[Entry]  # to apply, in order; given once
    confirmed_reads: Sequence[ReadTicket]
    snapshot_wanted: bool  # a member needs a snapshot: call `Raft.offer_snapshot`
