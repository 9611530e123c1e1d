"""What a gatekeeper remembers of peers, servers and requests. Plain state: nothing here decides anything."""

import math
from dataclasses import dataclass, field

from pewterring.standalone.peer_messages import Ask, Beat
from pewterring.standalone.policy import interface as i


@dataclass(slots=True)
class Peer:
    """What one peer's heartbeats said last."""

    beat: Beat
    heard: float
    before: int = -1  # its incarnation before this one


@dataclass(slots=True)
class Use:
    """Use of one customer's quota: recent demand, and what of the burst is spent."""

    demand: float = 0.0
    spent: float = 0.0


class Account:
    """A customer's quota and limits as this gatekeeper keeps them, and what it was told of them."""

    def __init__(self, now: float, plan: i.Plan, size: int, first: int, keeper: int) -> None:
        self.plan, self.size, self.first = plan, size, first
        self.window = max(1.0, plan.depth / plan.refill) if plan.refill else 1.0  # the store's own memory
        self.idle = 2 * max(self.window, plan.cap_depth / plan.cap_rate if plan.cap_rate else 0.0) + 10.0
        self.at, self.keeper = now, keeper  # keeper: who of the set keeps the account
        self.own = Use()  # all own use; at the keeper in a sparse fleet that of the whole set
        # By incarnation, so that a restart leaves former use counted; what each peer knows of the own use.
        self.told, self.sent = dict[int, Use](), dict[int, Use]()
        self.dealt, self.cap, self.open = 0.0, 0.0, 0
        self.unsaid = self.unasked = 0.0  # demand, and use without its leave, that the keeper was not told
        # Until when it counts as full, and others go on as it said; questions that it left unanswered lately.
        self.busy = self.stands = self.missed = 0.0
        # At the keeper: what of the hard ceiling it gives out, and the slots that are out by its leave.
        self.pool, self.grants = 0.0, dict[tuple[int, int], float]()


@dataclass(slots=True, eq=False)
class Health:
    """What the requests of one class meet at a server."""

    pending: dict[tuple[int, int], float] = field(default_factory=dict)  # attempts out: when sent
    answered: float = -math.inf
    slow: float = 1.0
    errors: float = 0.0
    judged: float = 0.0
    met: float = -math.inf  # when an attempt of the class itself ended last
    silent_since: float = 0.0  # 0: it answers


@dataclass(slots=True, eq=False)
class Node:
    """One server as this gatekeeper knows it."""

    entry: i.Server
    listed: bool = False
    health: dict[str, Health] = field(default_factory=dict)  # by class
    answered: float = -math.inf
    probed: float = 0.0
    came_up: float = 0.0  # 0: long ago
    tokens: float = 1.0
    token_at: float = 0.0

    @property
    def out(self) -> int:
        return sum(len(h.pending) for h in self.health.values())

    @property
    def silent(self) -> bool:
        return any(h.silent_since for h in self.health.values())

    def of(self, cls: str) -> Health:
        return self.health.setdefault(cls, Health())


@dataclass(slots=True, eq=False)
class Held:
    """A request this gatekeeper owes an answer for."""

    r: i.Request
    cls: i.RequestClass
    plan: i.Plan
    attempts: list[tuple[Node, float]] = field(default_factory=list)  # where each was sent, when
    out: set[int] = field(default_factory=set)
    ran: list[int] = field(default_factory=list)  # attempts that ended and may have run
    streaming: bool = False
    ask: Ask | None = None  # the question to the keeper of its account
    asked: int = 0  # times that it was asked
    until: float = 0.0  # how long the answer is waited for; 0: it isn't
    drawn: bool = False  # an attempt of it was issued
    inside: bool = False  # its units were taken from the quota's store
    extra: float = 0.0  # so many more than the guess were its true units
