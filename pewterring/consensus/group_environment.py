"""What a replicated group is built from: the parts around it, its options and whom it notifies."""

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
    """The outside world of one member: disk, state, network, time and chance.

    The group owns none of them; who made the storage closes it after the group has stopped.
    """

    storage: GroupStorage
    machine: StateMachine
    send: Callable[[ConsensusMessage], None]  # hands a message to the network; may lose it, must not block
    clock: Callable[[], float] = time.monotonic  # in seconds
    rng: random.Random = field(default_factory=random.Random)
    executor: Executor | None = None  # runs the storage's calls; None: a thread of the group's own


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupOptions:
    """Timing and bounds. All members of a group use the same."""

    timing: RaftTiming = field(default_factory=RaftTiming)
    limits: RaftLimits = field(default_factory=RaftLimits)
    snapshot_after_bytes: int = SNAPSHOT_AFTER_BYTES  # of entries applied since the last snapshot


def _ignore(*_: object) -> None:
    """Is called where nobody wants to be notified."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupCallbacks:
    """Whom a group notifies, from the event loop."""

    on_leadership: Callable[[bool], None] = _ignore  # whether this member leads, at each change
    on_departure: Callable[[], None] = _ignore  # at the leader: a voter announced its departure
    on_failure: Callable[[GroupFailedError], None] = _ignore  # this member stopped and is of no more use
