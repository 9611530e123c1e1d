"""State that a gateway's policy keeps of peers, accounts, servers and requests. It makes no decisions."""

import math
from dataclasses import dataclass, field

from pewterring.standalone.peer_messages import Heartbeat, QuotaRequest
from pewterring.standalone.policy.interface import Plan, Request, RequestClass, Server


@dataclass(slots=True)
class Peer:
    """The last heartbeat of a peer and when it arrived."""

    beat: Heartbeat
    heard: float
    before: int = -1  # the peer's incarnation before this one


@dataclass(slots=True)
class Usage:
    """Usage of one customer's quota: recent demand in units a second, and spent units of the burst."""

    demand: float = 0.0
    spent: float = 0.0


class Account:
    """A customer's quota and limits at this gateway, with the usage that peers and its owner reported.

    The customer's set is `size` gateways from number `first` on. `owner` is the number of the one that
    owns the account: it holds its state for the whole set.
    """

    def __init__(self, now: float, plan: Plan, size: int, first: int, owner: int) -> None:
        self.plan, self.size, self.first = plan, size, first
        # Demand decays by 1/e within the window, which an empty quota takes to refill.
        self.window = max(1.0, plan.depth / plan.refill) if plan.refill else 1.0
        self.idle_s = 2 * max(self.window, plan.cap_depth / plan.cap_rate if plan.cap_rate else 0.0) + 10.0
        self.updated_at, self.owner = now, owner
        self.own = Usage()  # this gateway's usage; at the owner in a sparse fleet that of the whole set
        # Usage that peers reported, by incarnation, so that usage before a peer's restart still counts, and
        # this gateway's usage as last sent to each peer, by the peer's number.
        self.reported, self.sent = dict[int, Usage](), dict[int, Usage]()
        # Units of credit for admission beyond the local share, units left in this gateway's part of the hard
        # limit, and the customer's attempts in flight.
        self.credit, self.own_cap, self.in_flight = 0.0, 0.0, 0
        # Units of demand, and units spent without a grant, that were not reported to the owner yet.
        self.unreported = self.ungranted = 0.0
        # Until when the slots count as taken after a rejection by the owner, until when reported usage does
        # not decay, and how many quota requests the owner recently left unanswered.
        self.full_until = self.valid_to = self.missed = 0.0
        # At the owner: units left in its half of the hard limit; times of granted slots by peer and token.
        self.shared_cap, self.grants = 0.0, dict[tuple[int, int], float]()


@dataclass(slots=True, eq=False)
class Health:
    """How a server answers the requests of one class."""

    # When each attempt in flight was sent, by request and attempt. A stream that has started counts as sent
    # at infinity: however long it lasts, it is no sign of an unresponsive server.
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)
    last_answer: float = -math.inf
    slowness: float = 1.0  # latency relative to the class's mean
    error_rate: float = 0.0
    updated_at: float = 0.0  # of slowness and error rate
    last_outcome: float = -math.inf  # when an attempt of the class itself last ended
    unresponsive_since: float = 0.0  # 0: it responds


@dataclass(slots=True, eq=False)
class ServerState:
    """A server's entry in the list, its health by class and its slow start."""

    entry: Server
    listed: bool = False
    health: dict[str, Health] = field(default_factory=dict)
    last_answer: float = -math.inf
    probed: float = 0.0  # when it was last probed
    came_up: float = 0.0  # start time; 0: unknown, long ago
    tokens: float = 1.0  # attempts that it may be sent during slow start
    filled_at: float = 0.0  # when tokens were last added

    @property
    def in_flight(self) -> int:
        """Attempts in flight at this server."""
        return sum(len(health.in_flight) for health in self.health.values())

    @property
    def unresponsive(self) -> bool:
        """Whether the requests of any class go unanswered."""
        return any(health.unresponsive_since for health in self.health.values())

    def health_of(self, cls: str) -> Health:
        """The server's health for a class of requests."""
        return self.health.setdefault(cls, Health())


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has not been answered yet, and its attempts."""

    request: Request
    cls: RequestClass
    plan: Plan
    attempts: list[tuple[ServerState, float]] = field(default_factory=list)  # server and time sent
    in_flight: set[int] = field(default_factory=set)
    may_have_run: list[int] = field(default_factory=list)  # attempts that ended and may have been executed
    streaming: bool = False
    query: QuotaRequest | None = None  # the quota request to the owner of its account
    times_asked: int = 0  # how often the quota request was sent
    answer_due: float = 0.0  # until when the owner's answer is awaited; 0: it is not
    issued: bool = False  # an attempt was issued
    charged: bool = False  # its units were taken from the quota
    extra: float = 0.0  # units used beyond the estimate that was charged
