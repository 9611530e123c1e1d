"""Reads the operator's configuration and checks it: what `read_configuration` returns is valid.

All checks are here, but for one: whether the version is above the current one is for whoever keeps the
current one. Unknown fields are ignored, and so are fields that are null.
"""

import functools
import itertools
import math
from collections.abc import Iterator, Mapping, Sequence
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


class _ItemsSchema(_LenientSchema):
    routes = fields.List(fields.Nested(_RouteSchema), load_default=list)
    backends = fields.List(fields.Nested(_ServiceSchema), load_default=list)


@functools.cache
def _items_schema() -> Schema:
    return _ItemsSchema()


@functools.cache
def configuration_schema() -> Schema:
    """The one schema object; making it is far dearer than using it."""
    return _ConfigurationSchema()


def read_configuration(document: bytes) -> Configuration:
    """Makes a configuration from the operator's JSON, or raises `InvalidConfiguration`: the first fault."""
    loaded, faults = _load(document)
    for fault in faults:
        raise fault
    return _configuration(loaded, document)


def configuration_faults(document: bytes) -> list[InvalidConfiguration]:
    """All faults of the operator's JSON; none where it is valid."""
    return list(_load(document)[1])


def _load(document: bytes) -> tuple[Mapping[str, Any], Iterator[InvalidConfiguration]]:
    """What the schema reads, and the faults: of the JSON, else of fields, else of what they say together."""
    try:
        raw = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        return {}, iter([InvalidConfiguration("", f"not JSON: {error}")])
    if not isinstance(raw, dict):
        return {}, iter([InvalidConfiguration("", "not an object")])
    try:
        loaded = configuration_schema().load(raw)
    except ValidationError as error:
        return {}, field_faults((), error.messages)
    return loaded, itertools.chain(reference_faults(loaded), item_faults(loaded))


def load_items(raw: Mapping[str, Any]) -> tuple[Mapping[str, Any], Any]:
    """Reads lists of routes and services apart from a configuration; gives them, or what is wrong as
    marshmallow says it.
    """
    try:
        return _items_schema().load(raw), {}
    except ValidationError as error:
        return {}, error.messages


def field_faults(path: tuple[str, ...], messages: Any) -> Iterator[InvalidConfiguration]:
    """The faults in marshmallow's nested messages."""
    if isinstance(messages, dict):
        for key, inner in messages.items():
            yield from field_faults((*path, str(key)), inner)
        return
    for message in messages if isinstance(messages, list) else [messages]:
        yield InvalidConfiguration(".".join(path), str(message))


def item_faults(loaded: Mapping[str, Any], path: str = "") -> Iterator[InvalidConfiguration]:
    """Faults of fields of one item that are each valid by themselves."""
    for index, each in enumerate(loaded["routes"]):
        at = f"{path}routes.{index}"
        if "weighted_backends" in each:
            yield from _weight_faults(at, each["weighted_backends"])
        elif "backend" not in each:
            yield InvalidConfiguration(f"{at}.backend", "the route names no service")


def reference_faults(loaded: Mapping[str, Any]) -> Iterator[InvalidConfiguration]:
    """Faults of items that are each valid by themselves: names or places twice, unknown services."""
    services: set[str] = set()
    for index, each in enumerate(loaded["backends"]):
        if each["name"] in services:
            yield InvalidConfiguration(f"backends.{index}.name", f"{each['name']!r} is there twice")
        services.add(each["name"])
    places: set[tuple[str, str]] = set()
    for index, each in enumerate(loaded["routes"]):
        yield from _service_faults(f"routes.{index}", each, services)
        place = (each["hostname"].lower(), each["path_prefix"])
        if place in places:
            yield InvalidConfiguration(f"routes.{index}", f"another route has {''.join(place)}")
        places.add(place)


def _service_faults(
    path: str, route: Mapping[str, Any], services: set[str]
) -> Iterator[InvalidConfiguration]:
    """Names of services in a route that are unknown."""
    if "backend" in route and route["backend"] not in services:
        yield InvalidConfiguration(f"{path}.backend", f"unknown service {route['backend']!r}")
    for index, each in enumerate(route.get("weighted_backends", ())):
        if each["backend"] not in services:
            at = f"{path}.weighted_backends.{index}"
            yield InvalidConfiguration(at, f"unknown service {each['backend']!r}")


def _weight_faults(path: str, weighted: Sequence[Mapping[str, Any]]) -> Iterator[InvalidConfiguration]:
    total = sum(each["weight"] for each in weighted)
    if total <= 0:
        yield InvalidConfiguration(f"{path}.weighted_backends", "the weights sum to 0")
    if math.isinf(total):  # no part of it can be drawn
        yield InvalidConfiguration(f"{path}.weighted_backends", "the weights have no finite sum")


def _configuration(loaded: Mapping[str, Any], document: bytes) -> Configuration:
    return Configuration(
        version=loaded["version"],
        routes=tuple(_route(each) for each in loaded["routes"]),
        services=MappingProxyType({each["name"]: _service(each) for each in loaded["backends"]}),
        limits=ClientLimits(**loaded["limits"]) if "limits" in loaded else DEFAULT_LIMITS,
        document=document,
    )


def _service(loaded: Mapping[str, Any]) -> Service:
    return Service(
        name=loaded["name"],
        health_check=loaded["health_check"],
        max_connections=loaded["max_connections"],
        engine=_engine(loaded["engine"]) if "engine" in loaded else None,
    )


def _engine(loaded: Mapping[str, Any]) -> Engine:
    return Engine(
        capacity=loaded["capacity"],
        kv_tokens=loaded["kv_tokens"],
        stride=loaded["stride"],
        models=tuple(model["name"] for model in loaded["models"] if model["name"]),
    )


def _route(loaded: Mapping[str, Any]) -> Route:
    return Route(
        name=loaded["name"],
        host=loaded["hostname"].lower(),
        path_prefix=loaded["path_prefix"],
        route_type=loaded["route_type"],
        services=_weighted_services(loaded),
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


def _weighted_services(loaded: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    """The services of a route: `weighted_backends` where it is given, else `backend` alone."""
    if "weighted_backends" not in loaded:
        return (WeightedService(loaded["backend"], DEFAULT_WEIGHT),)
    return tuple(WeightedService(each["backend"], each["weight"]) for each in loaded["weighted_backends"])
