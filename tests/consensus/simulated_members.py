"""The members of the simulation, and the faults of their network and disks."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pewterring.consensus.messages import ConsensusMessage
from pewterring.consensus.raft import Raft
from pewterring.consensus.types import RaftLimits, RaftTiming
from tests.consensus.memory_storage import MemoryStorage

TIMING = RaftTiming()
LIMITS = RaftLimits(
    message_bytes=300,
    window_bytes=900,
    window_messages=4,
    snapshot_chunk_bytes=200,
    retained_bytes=500,
    retained_for_transfers_bytes=10_000,
)
SNAPSHOT_INTERVAL_ENTRIES = 20


class SafetyViolationError(AssertionError):
    """An invariant of the simulated group was violated."""


def drop_nothing(_: ConsensusMessage) -> bool:
    """The default of `Simulation.should_drop`: drops no message."""
    return False


@dataclass
class FaultProfile:
    """Random message faults, and the ranges of message delays and disk syncs."""

    loss_rate: float = 0.0  # fraction of messages that are lost
    duplicate_rate: float = 0.0  # fraction of messages that are delivered twice
    delay_s: tuple[float, float] = (0.001, 0.005)
    long_delay_rate: float = 0.0  # fraction of messages that take up to half a second
    sync_s: tuple[float, float] = (0.001, 0.01)


@dataclass
class Member:
    """One machine: its disk, its clock, and the state of its process while it runs."""

    name: str
    disk: MemoryStorage
    clock_rate: float
    clock_start: float = 1000.0
    raft: Raft | None = None  # None while the process is down
    incarnation: int = 0  # number of starts of the process
    frozen: bool = False  # whether the process is paused, as by SIGSTOP
    sync_s: float | None = None  # duration of a disk sync, if it differs from that of the other members
    postponed_actions: list[Callable[[], None]] = field(
        default_factory=list
    )  # due while the process was frozen
    applied: list[list[object]] = field(default_factory=list)  # applied commands: [index, term, text]
    disk_write: Callable[[], None] | None = None  # the write in progress
    entries_since_snapshot: int = 0
    applied_index: int = 0  # last entry applied in this incarnation
    timer_at: float | None = None
    proposals: dict[tuple[int, int], str] = field(default_factory=dict)  # command text by (index, term)
    reads: dict[tuple[int, int], int] = field(default_factory=dict)  # required index by (term, ticket)
