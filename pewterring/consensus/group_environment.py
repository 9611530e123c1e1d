"""The dependencies, options and callbacks of a replicated group."""

import random
import time
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass, field

from pewterring.consensus.errors import GroupFailedError
from pewterring.consensus.messages import ConsensusMessage
from pewterring.consensus.persistent import GroupStorage
from pewterring.consensus.snapshot_schedule import SNAPSHOT_AFTER_BYTES
from pewterring.consensus.state_machine import StateMachine
from pewterring.consensus.types import RaftLimits, RaftTiming


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupEnvironment:
    """The dependencies of one member: storage, state machine, network, clock, random numbers and executor.

    The group owns none of them; the caller closes the storage after the group has stopped.
    """

    storage: GroupStorage
    machine: StateMachine
    send: Callable[[ConsensusMessage], None]  # queues a message for sending; may lose it, must not block
    clock: Callable[[], float] = time.monotonic  # monotonic time in seconds
    rng: random.Random = field(default_factory=random.Random)
    executor: Executor | None = None  # runs the calls of the storage; None: a separate thread


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupOptions:
    """Timing and limits. All members of a group use the same values."""

    timing: RaftTiming = field(default_factory=RaftTiming)
    limits: RaftLimits = field(default_factory=RaftLimits)
    snapshot_after_bytes: int = SNAPSHOT_AFTER_BYTES  # bytes of entries applied since the last snapshot


def _ignore(*_: object) -> None:
    """The default callback, which does nothing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupCallbacks:
    """Callbacks of a group. All are called on the event loop."""

    on_leadership: Callable[[bool], None] = _ignore  # called at each change of whether this member leads
    on_departure: Callable[[], None] = _ignore  # called on the leader when a voter announces its departure
    on_failure: Callable[[GroupFailedError], None] = _ignore  # called when an error stopped this member
