"""The operator's configuration as immutable typed values. `reader` makes them from JSON and checks them.

A field whose document key is another one says so; `reader` maps them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RouteType(StrEnum):
    """What may be done with requests of a route (PROTOCOL, "Requests")."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH_JOB = "batch_job"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route, and its share of the requests relative to the sum of weights."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route. Times in milliseconds as the operator sends them."""

    name: str
    host: str  # lower case
    path_prefix: str  # starts and ends with a slash
    route_type: RouteType
    services: tuple[WeightedService, ...]
    timeout_ms: float
    target_latency_ms: float
    priority: int  # 0 is highest
    max_attempts: int
    session_affinity: bool = False
    resumable: bool = False
    token_gap_target_ms: float = 0.0  # `gap_aim_ms`: longest time between a stream's events; 0: not given
    max_queued_tokens: int = 0  # 0: no limit
    completion_target_ms: float = 0.0  # `run_aim_ms`: from a batch job's acceptance to its last item
    job_ttl_s: float = 0.0  # `keep_s`: items of a job that is older are given up

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.route_type in (RouteType.IDEMPOTENT, RouteType.BATCH_JOB) or self.resumable


@dataclass(frozen=True, slots=True)
class Engine:
    """What the operator states about the model engines of a service."""

    capacity: int  # requests that one engine runs at once
    kv_tokens: int
    stride: int = 1  # tokens an event
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """One service: workers register under its name."""

    name: str
    health_check: str = "/healthz"
    max_connections: int = 0  # of one worker from all clients together; 0: not given
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version. `document` is the operator's JSON, byte for byte as it was accepted."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]  # by name
    limits: ClientLimits
    document: bytes = field(repr=False, default=b"")
