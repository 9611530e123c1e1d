"""What a gatekeeper is told and what it may do: settings, events and actions.

Times are float seconds on one monotonic clock. Nothing here decides anything.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    PURE = "pure"
    TOKEN = "token"
    SIDE_EFFECT = "side_effect"


class Group(Enum):
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Mode(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    DELETED = "deleted"


class ListForm(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    FAILED = "failed"


class Code(Enum):
    OK = "ok"
    INTERNAL = "internal"
    RESOURCE_EXHAUSTED = "resource_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UNAVAILABLE = "unavailable"
    ABORTED = "aborted"
    CANCELLED = "cancelled"
    TOO_LATE = "too_late"


NEVER_RAN = frozenset({Code.RESOURCE_EXHAUSTED, Code.UNAVAILABLE, Code.TOO_LATE})


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim: float
    deadline: float
    effect: Effect = Effect.PURE
    group: Group = Group.ALL
    repeat_window: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    refill: float = 0.0
    depth: float = 0.0
    parallel: int = 0
    cap_rate: float = 0.0
    cap_depth: float = 0.0
    cap_slack: float = 0.0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1
    may_duplicate: bool = False
    cancel: bool = False
    probing: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    stop_sending_within: float = 0.0
    cold: float = 0.0
    cold_share: float = 1.0
    fall_multiple: float = 1.0
    tip_after: float = 1.0
    ask_within: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    me: int
    fleet_size: int
    zone: str = ""
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    limits: Limits = Limits()
    rules: Rules = Rules()
    ask_discovery: bool = False
    live_ratings: bool = False
    mail_per_s: float = 0.0
    max_units: float = 0.0  # of one request; 0: not stated
    price_cross_zone: float = 0.0


@dataclass(frozen=True, slots=True)
class Server:
    id: int
    zone: str = ""
    cell: int = 0
    mode: Mode = Mode.SERVING
    rating: float = 1.0
    came_up: float = 0.0  # 0: long ago
    common: int = 0  # a number that all gatekeepers know it by; 0: its id is such


@dataclass(frozen=True, slots=True)
class ServerList:
    form: ListForm
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    id: int
    cls: str
    plan: str
    customer: int
    not_after: float
    units: float = 1.0
    set_size: int = 1
    set_from: int = 0
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    id: int
    attempt: int
    server: int
    took: float


@dataclass(frozen=True, slots=True)
class Outcome:
    id: int
    attempt: int
    server: int
    code: Code
    took: float
    no_more: bool = False
    actual: float = 0.0


@dataclass(frozen=True, slots=True)
class Expired:
    id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    label: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    server: int
    code: Code
    took: float


@dataclass(frozen=True, slots=True)
class PeerMail:
    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Counted:
    name: int
    code: Code
    took: float
    total: float


Event = ServerList | Request | StreamStarted | Outcome | Expired | TimerDue | ProbeResult | PeerMail | Counted


@dataclass(frozen=True, slots=True)
class Send:
    id: int
    server: int
    timeout: float = 0.0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    id: int
    retry_after: float = 0.0  # 0: no advice
    why: str = ""  # which of the module's reasons, for the log and the lab


@dataclass(frozen=True, slots=True)
class Fail:
    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    label: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class Tell:
    peer: int | None  # None: every peer
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Tell | Subscribe | Log
