"""What a gatekeeper remembers of peers, servers and requests. Plain state: nothing here decides anything."""

import math
from dataclasses import dataclass, field

from pewterring import interface as i
from pewterring.mail import Ask, Beat


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


@dataclass(slots=True, eq=False)
class Node:
    """One server as this gatekeeper knows it."""

    entry: i.Server
    listed: bool = False
    pending: dict[tuple[int, int], float] = field(default_factory=dict)  # attempts out: when sent
    answered: float = -math.inf
    slow: float = 1.0
    errors: float = 0.0
    judged: float = 0.0
    silent_since: float = 0.0  # 0: it answers
    probed: float = 0.0
    came_up: float = 0.0  # 0: long ago
    tokens: float = 1.0
    token_at: float = 0.0


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
    inside: bool = False  # its units were taken from the quota's store
    extra: float = 0.0  # so many more than the guess were its true units
