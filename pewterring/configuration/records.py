"""Routes and services as operators usually write them, decoded and checked by compiled code.

A record accepts no more than the schema in `schema` and means the same. What it refuses may still be valid,
for example a number written as a string: `schema` decides that. Fields are named by the document's keys.
"""

from typing import Annotated

import msgspec

from pewterring.configuration.model import RouteType
from pewterring.configuration.schema import (
    DEFAULT_HEALTH_CHECK,
    DEFAULT_TARGET_LATENCY_MS,
    DEFAULT_TIMEOUT_MS,
    PATH_PREFIX_PATTERN,
)

MAX_EXACT_INTEGER = 2**53  # decoders disagree on larger integers, which `schema` reads

NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_EXACT_INTEGER)]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_EXACT_INTEGER, le=MAX_EXACT_INTEGER)]
PathPrefix = Annotated[str, msgspec.Meta(pattern=rf"\A{PATH_PREFIX_PATTERN}")]

NO_LIST = msgspec.Raw(b"null")


class RouteRecord(msgspec.Struct, frozen=True, gc=False):
    """One route; `weighted_backends` is not decoded, since many routes have the same list."""

    hostname: NonEmpty
    path_prefix: PathPrefix
    route_type: RouteType
    name: str = ""
    timeout_ms: Positive = DEFAULT_TIMEOUT_MS
    target_latency_ms: NotNegative = DEFAULT_TARGET_LATENCY_MS
    priority: Priority = 0
    backend: str | None = None
    weighted_backends: msgspec.Raw = NO_LIST
    max_attempts: PositiveCount = 1
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: NotNegative = 0.0
    max_queued_tokens: Count = 0
    run_aim_ms: NotNegative = 0.0
    keep_s: NotNegative = 0.0


class ModelRecord(msgspec.Struct, frozen=True, gc=False):
    """One model of an engine."""

    name: str | None = None


class EngineRecord(msgspec.Struct, frozen=True, gc=False):
    """The engines of a service."""

    capacity: Count = 1
    kv_tokens: Count = 0
    stride: PositiveCount = 1
    models: tuple[ModelRecord, ...] = ()


class ServiceRecord(msgspec.Struct, frozen=True, gc=False):
    """One service."""

    name: NonEmpty
    health_check: str = DEFAULT_HEALTH_CHECK
    max_connections: Count = 0
    engine: EngineRecord | None = None
