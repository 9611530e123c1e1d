"""What callers of control saw: orders and reads, each with its begin and end in virtual seconds."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec


class Outcome(Enum):
    """What a caller knows about the outcome of an order."""

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
    """One attempt to replace version `base` by `state`."""

    state: State
    base: int
    began_s: float
    ended_s: float
    outcome: Outcome
    status: int = 0


@dataclass(frozen=True, slots=True)
class Read:
    """One read that was answered."""

    state: State
    began_s: float
    ended_s: float


@dataclass(slots=True)
class History:
    """All orders and reads of the operators of one run."""

    orders: list[Order] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)

    def acknowledged_before(self, moment: float) -> int:
        """Returns the highest version that was acknowledged up to a moment, or 0."""
        done = (
            order.state.version
            for order in self.orders
            if order.outcome is Outcome.DONE and order.ended_s <= moment
        )
        return max(done, default=0)
