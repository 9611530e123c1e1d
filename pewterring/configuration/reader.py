"""Reads the operator's configuration and checks it: what `read_configuration` returns is valid.

All checks are here, but for one: whether the version is above the current one is for whoever keeps the
current one. Unknown fields are ignored, and so are fields that are null.
"""

import functools
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any

import orjson
from marshmallow import EXCLUDE, Schema, ValidationError, fields, pre_load, validate

from pewterring.configuration.model import (
    ClientLimits,
    Configuration,
    Engine,
    Route,
    RouteType,
    Service,
    WeightedService,
)

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_TARGET_LATENCY_MS = 1_000.0
DEFAULT_WEIGHT = 1.0
DEFAULT_HEALTH_CHECK = "/healthz"
DEFAULT_LIMITS = ClientLimits()

_positive = validate.Range(min=0, min_inclusive=False)
_not_negative = validate.Range(min=0)
_not_empty = validate.Length(min=1)


class InvalidConfiguration(Exception):
    """The document is not a valid configuration. `path` names the field that is at fault."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason


class _LenientSchema(Schema):
    """Ignores fields that are unknown or null."""

    class Meta:
        unknown = EXCLUDE

    @pre_load
    def drop_null_fields(self, data: Any, **_: Any) -> Any:
        if not isinstance(data, dict):
            return data
        return {key: value for key, value in data.items() if value is not None}


class _WeightedServiceSchema(_LenientSchema):
    backend = fields.String(required=True)
    weight = fields.Float(load_default=DEFAULT_WEIGHT, validate=_not_negative)


class _RouteSchema(_LenientSchema):
    name = fields.String(load_default="")
    hostname = fields.String(required=True, validate=_not_empty)
    path_prefix = fields.String(required=True, validate=validate.Regexp(r"/(.*/)?\Z"))
    route_type = fields.Enum(RouteType, by_value=True, required=True)
    timeout_ms = fields.Float(load_default=DEFAULT_TIMEOUT_MS, validate=_positive)
    target_latency_ms = fields.Float(load_default=DEFAULT_TARGET_LATENCY_MS, validate=_not_negative)
    priority = fields.Integer(load_default=0)
    backend = fields.String()
    weighted_backends = fields.List(fields.Nested(_WeightedServiceSchema))
    max_attempts = fields.Integer(load_default=1, validate=validate.Range(min=1))
    session_affinity = fields.Boolean(load_default=False)
    resumable = fields.Boolean(load_default=False)
    gap_aim_ms = fields.Float(load_default=0.0, validate=_not_negative)
    max_queued_tokens = fields.Integer(load_default=0, validate=_not_negative)
    run_aim_ms = fields.Float(load_default=0.0, validate=_not_negative)
    keep_s = fields.Float(load_default=0.0, validate=_not_negative)


class _ModelSchema(_LenientSchema):
    name = fields.String(load_default="")


class _EngineSchema(_LenientSchema):
    capacity = fields.Integer(load_default=1, validate=_not_negative)
    kv_tokens = fields.Integer(load_default=0, validate=_not_negative)
    stride = fields.Integer(load_default=1, validate=validate.Range(min=1))
    models = fields.List(fields.Nested(_ModelSchema), load_default=list)


class _ServiceSchema(_LenientSchema):
    name = fields.String(required=True, validate=_not_empty)
    health_check = fields.String(load_default=DEFAULT_HEALTH_CHECK)
    max_connections = fields.Integer(load_default=0, validate=_not_negative)
    engine = fields.Nested(_EngineSchema)


class _LimitsSchema(_LenientSchema):
    max_header_bytes = fields.Integer(load_default=DEFAULT_LIMITS.max_header_bytes, validate=_positive)
    max_body_bytes = fields.Integer(load_default=DEFAULT_LIMITS.max_body_bytes, validate=_not_negative)
    header_timeout_ms = fields.Float(load_default=DEFAULT_LIMITS.header_timeout_ms, validate=_positive)
    idle_timeout_ms = fields.Float(load_default=DEFAULT_LIMITS.idle_timeout_ms, validate=_positive)


class _ConfigurationSchema(_LenientSchema):
    version = fields.Integer(required=True, strict=True)
    routes = fields.List(fields.Nested(_RouteSchema), required=True)
    backends = fields.List(fields.Nested(_ServiceSchema), required=True)
    limits = fields.Nested(_LimitsSchema)


@functools.cache
def _schema() -> Schema:
    """The one schema object; making it is far dearer than using it."""
    return _ConfigurationSchema()


def read_configuration(document: bytes) -> Configuration:
    """Makes a configuration from the operator's JSON, or raises `InvalidConfiguration`."""
    try:
        raw = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise InvalidConfiguration("", f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidConfiguration("", "not an object")
    try:
        loaded = _schema().load(raw)
    except ValidationError as error:
        raise InvalidConfiguration(*_first_fault(error.messages)) from None
    return _configuration(loaded, document)


def _first_fault(messages: Any) -> tuple[str, str]:
    """The path and text of the first message in marshmallow's nested ones."""
    path: list[str] = []
    while isinstance(messages, dict) and messages:
        key, messages = next(iter(messages.items()))
        path.append(str(key))
    if isinstance(messages, list) and messages:
        messages = messages[0]
    return ".".join(path), str(messages)


def _configuration(loaded: Mapping[str, Any], document: bytes) -> Configuration:
    services = _services(loaded["backends"])
    return Configuration(
        version=loaded["version"],
        routes=_routes(loaded["routes"], services),
        services=services,
        limits=ClientLimits(**loaded["limits"]) if "limits" in loaded else DEFAULT_LIMITS,
        document=document,
    )


def _services(loaded: Sequence[Mapping[str, Any]]) -> Mapping[str, Service]:
    services: dict[str, Service] = {}
    for index, each in enumerate(loaded):
        if each["name"] in services:
            raise InvalidConfiguration(f"backends.{index}.name", f"{each['name']!r} is there twice")
        services[each["name"]] = Service(
            name=each["name"],
            health_check=each["health_check"],
            max_connections=each["max_connections"],
            engine=_engine(each["engine"]) if "engine" in each else None,
        )
    return MappingProxyType(services)


def _engine(loaded: Mapping[str, Any]) -> Engine:
    return Engine(
        capacity=loaded["capacity"],
        kv_tokens=loaded["kv_tokens"],
        stride=loaded["stride"],
        models=tuple(model["name"] for model in loaded["models"] if model["name"]),
    )


def _routes(loaded: Sequence[Mapping[str, Any]], services: Mapping[str, Service]) -> tuple[Route, ...]:
    routes = []
    places: set[tuple[str, str]] = set()
    for index, each in enumerate(loaded):
        route = _route(f"routes.{index}", each, services)
        place = (route.host, route.path_prefix)
        if place in places:
            raise InvalidConfiguration(
                f"routes.{index}", f"another route has {route.host}{route.path_prefix}"
            )
        places.add(place)
        routes.append(route)
    return tuple(routes)


def _route(path: str, loaded: Mapping[str, Any], services: Mapping[str, Service]) -> Route:
    return Route(
        name=loaded["name"],
        host=loaded["hostname"].lower(),
        path_prefix=loaded["path_prefix"],
        route_type=loaded["route_type"],
        services=_weighted_services(path, loaded, services),
        timeout_ms=loaded["timeout_ms"],
        target_latency_ms=loaded["target_latency_ms"],
        priority=loaded["priority"],
        max_attempts=loaded["max_attempts"],
        session_affinity=loaded["session_affinity"],
        resumable=loaded["resumable"],
        gap_aim_ms=loaded["gap_aim_ms"],
        max_queued_tokens=loaded["max_queued_tokens"],
        run_aim_ms=loaded["run_aim_ms"],
        keep_s=loaded["keep_s"],
    )


def _weighted_services(
    path: str, loaded: Mapping[str, Any], services: Mapping[str, Service]
) -> tuple[WeightedService, ...]:
    """The services of a route: `weighted_backends` where it is given, else `backend` alone."""
    if "backend" in loaded and loaded["backend"] not in services:
        raise InvalidConfiguration(f"{path}.backend", f"unknown service {loaded['backend']!r}")
    if "weighted_backends" not in loaded:
        if "backend" not in loaded:
            raise InvalidConfiguration(f"{path}.backend", "the route names no service")
        return (WeightedService(loaded["backend"], DEFAULT_WEIGHT),)
    weighted = tuple(WeightedService(each["backend"], each["weight"]) for each in loaded["weighted_backends"])
    for index, each in enumerate(weighted):
        if each.service not in services:
            raise InvalidConfiguration(
                f"{path}.weighted_backends.{index}", f"unknown service {each.service!r}"
            )
    if sum(each.weight for each in weighted) <= 0:
        raise InvalidConfiguration(f"{path}.weighted_backends", "the weights sum to 0")
    return weighted
