"""The interface of the policy: its settings, the events that it receives and the actions that it returns.

Times and durations are in seconds, times on one monotonic clock. Gateways and servers are numbered. This
module holds data types only; `decisions` makes the decisions.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request of a class may be executed more than once."""

    PURE = "pure"  # any number of times
    TOKEN = "token"  # within the class's group and repeat window, by an idempotency token
    SIDE_EFFECT = "side_effect"  # at most once


class Group(Enum):
    """The servers among which an idempotency token is recognised."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Mode(Enum):
    """The state of a server in the server list."""

    SERVING = "serving"
    DRAINING = "draining"
    DELETED = "deleted"


class ListForm(Enum):
    """What a server list contains."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"  # the last list known before a restart
    FAILED = "failed"  # nothing: the query failed


class Code(Enum):
    """The outcome of an attempt or a probe."""

    OK = "ok"
    INTERNAL = "internal"
    RESOURCE_EXHAUSTED = "resource_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UNAVAILABLE = "unavailable"
    ABORTED = "aborted"
    CANCELLED = "cancelled"
    TOO_LATE = "too_late"  # the attempt was never issued


# Outcomes that prove that the server did not execute the request.
NEVER_RAN = frozenset({Code.RESOURCE_EXHAUSTED, Code.UNAVAILABLE, Code.TOO_LATE})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with common targets and rules for repeated execution."""

    name: str
    latency_target: float
    deadline: float  # from arrival
    effect: Effect = Effect.PURE
    group: Group = Group.ALL
    repeat_window: float = 0.0  # from the first attempt: how long a token is recognised
    worth: float = 1.0  # value of an answer within the latency target
    late_worth: float = 0.0  # value of a later answer, as a fraction of `worth`
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's plan: a quota that may be exceeded in part, and hard limits. Zero means no limit."""

    name: str
    refill: float = 0.0  # units a second
    depth: float = 0.0  # burst size in units
    parallel: int = 0  # requests in flight at once
    cap_rate: float = 0.0  # hard limit in units a second
    cap_depth: float = 0.0  # burst size of the hard limit
    cap_slack: float = 0.0  # units by which the hard limit may be exceeded
    price: float = 1.0
    over_worth: float = 0.0  # value of use beyond the quota, as a fraction of its value within
    over_cost: float = 0.0  # cost of use beyond the quota, in the same measure


@dataclass(frozen=True, slots=True)
class Limits:
    """What the policy may do."""

    max_attempts: int = 1
    may_duplicate: bool = False  # two attempts of a request may be in flight at once
    cancel: bool = False
    probing: bool = False
    peers: bool = False  # messages to other gateways
    retry_after: bool = False
    max_retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Guarantees and properties of the servers."""

    stop_sending_within: float = 0.0  # after a server starts to drain
    cold: float = 0.0  # duration of a server's warm-up
    cold_share: float = 1.0  # fraction of its capacity that a server has when it starts
    # A server fails that is sent `fall_multiple` times its present capacity for `tip_after` seconds.
    fall_multiple: float = 1.0
    tip_after: float = 1.0
    ask_within: float = 0.0  # the server list is requested again within this time of a failure


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway."""

    me: int  # the number of this gateway, from 0
    fleet_size: int  # gateways in all
    zone: str = ""
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    limits: Limits = Limits()
    rules: Rules = Rules()
    ask_discovery: bool = False  # the policy requests the server list itself
    live_ratings: bool = False  # ratings follow the load, so their sum is no measure of capacity
    mail_per_s: float = 0.0  # messages a second that a gateway can receive from its peers
    max_units: float = 0.0  # of one request; 0: not stated
    price_cross_zone: float = 0.0


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list."""

    id: int
    zone: str = ""
    cell: int = 0
    mode: Mode = Mode.SERVING
    rating: float = 1.0  # relative capacity
    came_up: float = 0.0  # start time; 0: unknown, long ago
    common: int = 0  # identifies the server in the same way at every gateway; 0: `id` does


@dataclass(frozen=True, slots=True)
class ServerList:
    """An event: a list of servers, or changes to one."""

    form: ListForm
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """An event: a client's request. `set_size` gateways from number `set_from` on serve its customer."""

    id: int
    cls: str
    plan: str
    customer: int
    deadline: float  # on the monotonic clock
    units: float = 1.0
    set_size: int = 1
    set_from: int = 0
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """An event: the first bytes of a streamed response arrived, `took` seconds after the attempt was sent."""

    id: int
    attempt: int
    server: int
    took: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """An event: an attempt ended, `took` seconds after it was sent."""

    id: int
    attempt: int
    server: int
    code: Code
    took: float
    no_more: bool = False  # the request is over: no further attempt is needed
    actual: float = 0.0  # units that the request actually used; 0: unknown


@dataclass(frozen=True, slots=True)
class Expired:
    """An event: the request's client no longer waits."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """An event: a timer expired."""

    label: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """An event: a health check ended, after `took` seconds."""

    server: int
    code: Code
    took: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """An event: a message from another gateway."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Counted:
    """An event: the answer of a shared counter, which the policy does not use."""

    name: int
    code: Code
    took: float
    total: float


Event = (
    ServerList | Request | StreamStarted | Outcome | Expired | TimerDue | ProbeResult | PeerMessage | Counted
)


@dataclass(frozen=True, slots=True)
class Send:
    """An action: sends an attempt of a request to a server."""

    id: int
    server: int
    timeout: float = 0.0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    """An action: cancels an attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """An action: rejects a request that has not been executed or may be repeated without harm."""

    id: int
    retry_after: float = 0.0  # 0: no advice
    why: str = ""  # the reason, for logs and the lab


@dataclass(frozen=True, slots=True)
class Fail:
    """An action: answers a request with an error; it may have been executed."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """An action: requests a `TimerDue` after `delay` seconds."""

    delay: float
    label: int


@dataclass(frozen=True, slots=True)
class Probe:
    """An action: sends a health check to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Tell:
    """An action: sends a message to another gateway."""

    peer: int | None  # None: every peer
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """An action: requests the server list and its changes, or ends the subscription."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    """An action: writes a line to the log."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Tell | Subscribe | Log
