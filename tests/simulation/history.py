"""What callers of control saw: orders, reads, heartbeats, each with when it began and ended."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec


class Outcome(Enum):
    """What a caller knows of a call."""

    DONE = "done"
    REFUSED = "refused"  # 400, 409, 412: it never comes into force
    UNKNOWN = "unknown"


class State(msgspec.Struct, frozen=True):
    """A configuration that is or was in force: its version, and what its document says."""

    version: int
    digest: str


NONE = State(0, "")  # before the first configuration


@dataclass(frozen=True, slots=True)
class Order:
    """One try to put `state` on top of version `base`."""

    state: State
    base: int
    began: float
    ended: float
    outcome: Outcome
    status: int = 0


@dataclass(frozen=True, slots=True)
class Read:
    """One read that was answered."""

    state: State
    began: float
    ended: float


@dataclass(slots=True)
class History:
    """All calls of operators."""

    orders: list[Order] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)

    def acknowledged_before(self, moment: float) -> int:
        """The newest version that was acknowledged before."""
        done = (
            order.state.version
            for order in self.orders
            if order.outcome is Outcome.DONE and order.ended <= moment
        )
        return max(done, default=0)
