"""The operator's configuration as immutable typed values. `reader` validates the JSON and builds them.

Where a field's key in the document differs from its name, a comment names the key. `reader` maps the two.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

import msgspec

RouteKey = tuple[str, str]  # host and path prefix


class RouteType(StrEnum):
    """How the requests of a route may be retried, streamed or queued (PROTOCOL, "Requests")."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH_JOB = "batch_job"


class WeightedReference(msgspec.Struct, frozen=True, gc=False):
    """A reference to one of several services of a route."""

    service: str = msgspec.field(name="backend")  # the document's key


class WeightedService(WeightedReference, frozen=True, gc=False):
    """One service of a route. Its share of the requests is its weight divided by the sum of all weights."""

    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """One route: which requests it matches, and how they are treated. Times are in the operator's units."""

    name: str
    host: str  # in lower case
    path_prefix: str  # starts and ends with a slash
    route_type: RouteType
    services: tuple[WeightedService, ...]
    timeout_ms: float
    target_latency_ms: float
    priority: int  # 0 is the highest priority
    max_attempts: int
    session_affinity: bool = False
    resumable: bool = False
    token_gap_target_ms: float = 0.0  # key `gap_aim_ms`: longest time between events of a stream; 0: not set
    max_queued_tokens: int = 0  # 0: unlimited
    completion_target_ms: float = 0.0  # key `run_aim_ms`: from accepting a batch job to its last item
    job_ttl_s: float = 0.0  # key `keep_s`: unfinished items of older jobs are abandoned; 0: not limited

    @property
    def is_idempotent(self) -> bool:
        """Whether it is safe to execute a request more than once."""
        return self.route_type in (RouteType.IDEMPOTENT, RouteType.BATCH_JOB) or self.resumable


@dataclass(frozen=True, slots=True)
class Engine:
    """The operator's description of the model engines of a service."""

    capacity: int  # concurrent requests per engine
    kv_tokens: int  # size of an engine's KV cache
    stride: int = 1  # tokens per stream event
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """One service. Workers register under its name."""

    name: str
    health_check: str = "/healthz"
    max_connections: int = 0  # per worker, from all clients together; 0: not configured
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of client requests, on the time to send headers and on idle time."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the configuration. `document` is the accepted JSON, byte for byte."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]  # by name
    limits: ClientLimits
    document: bytes = field(repr=False, default=b"")
    _by_key: Mapping[RouteKey, Route] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_key = {(route.host, route.path_prefix): route for route in reversed(self.routes)}
        object.__setattr__(self, "_by_key", by_key)

    def route(self, key: RouteKey) -> Route | None:
        """Returns the route with this host and path prefix; a valid configuration has one at most."""
        return self._by_key.get(key)
