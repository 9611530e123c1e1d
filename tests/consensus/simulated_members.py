"""The members of the simulation, and how their network and disks behave."""

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
SNAPSHOT_AFTER = 20  # entries


class SafetyViolationError(AssertionError):
    """Something that must always hold did not."""


def drops_nothing(_: ConsensusMessage) -> bool:
    """A network that loses no message by choice."""
    return False


@dataclass
class Weather:
    """How the network and the disks behave."""

    lost: float = 0.0  # fraction of the messages
    repeated: float = 0.0
    delay_s: tuple[float, float] = (0.001, 0.005)
    late: float = 0.0  # fraction of the messages that take up to half a second
    sync_s: tuple[float, float] = (0.001, 0.01)


@dataclass
class Member:
    """One machine: its disk, and its process while it runs."""

    name: str
    disk: MemoryStorage
    clock_rate: float
    clock_start: float = 1000.0
    raft: Raft | None = None
    incarnation: int = 0
    frozen: bool = False
    sync_s: float | None = None  # a disk of its own slowness
    postponed: list[Callable[[], None]] = field(default_factory=list)
    applied: list[list[object]] = field(default_factory=list)  # [index, term, text] of commands
    job: Callable[[], None] | None = None
    since_snapshot: int = 0
    applied_to: int = 0  # index, in this incarnation
    timer_at: float | None = None
    proposals: dict[tuple[int, int], str] = field(default_factory=dict)
    reads: dict[tuple[int, int], int] = field(default_factory=dict)  # (term, ticket) -> least index to see
