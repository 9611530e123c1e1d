"""Reads and validates the operator's configuration.

Checks of single fields are in `schema`, checks of references between items in `references`. Whether the
version is above the current one is not checked here but by the owner of the current configuration.
"""

import itertools
import math
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any

import orjson
from marshmallow import ValidationError

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.model import (
    ClientLimits,
    Configuration,
    Engine,
    Route,
    Service,
    WeightedService,
)
from pewterring.configuration.references import RouteReferences, WeightedReference, reference_errors
from pewterring.configuration.schema import (
    DEFAULT_LIMITS,
    DEFAULT_WEIGHT,
    configuration_schema,
    items_schema,
)

Loaded = Mapping[str, Any]  # an object as loaded by its schema, by the document's keys


def read_configuration(document: bytes) -> Configuration:
    """Parses and validates the operator's JSON.

    Raises:
        ConfigurationError: The document is invalid; only its first error is raised.
    """
    loaded, errors = _load(document)
    for error in errors:
        raise error
    return _configuration(loaded, document)


def configuration_errors(document: bytes) -> list[ConfigurationError]:
    """Returns all errors of the operator's JSON; empty if it is valid."""
    return list(_load(document)[1])


def read_item_errors(items: Mapping[str, Any], path: str) -> Iterator[ConfigurationError]:
    """Yields the errors of routes and services that are validated individually, without a configuration.

    `path` is the field of the document that contains the lists, without a trailing dot.
    """
    try:
        loaded = items_schema().load(items)
    except ValidationError as error:
        yield from _field_errors((path,), error.messages)
        return
    yield from _item_errors(loaded, f"{path}.")


def _load(document: bytes) -> tuple[Loaded, Iterator[ConfigurationError]]:
    """Returns the loaded document and its errors: of the JSON, else of single fields, else between fields."""
    try:
        raw = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        return {}, iter([ConfigurationError("", f"not JSON: {error}")])
    if not isinstance(raw, dict):
        return {}, iter([ConfigurationError("", "not an object")])
    try:
        loaded = configuration_schema().load(raw)
    except ValidationError as error:
        return {}, _field_errors((), error.messages)
    names = (service["name"] for service in loaded["backends"])
    references = (_references(route) for route in loaded["routes"])
    return loaded, itertools.chain(reference_errors(names, references), _item_errors(loaded))


def _field_errors(path: tuple[str, ...], messages: Any) -> Iterator[ConfigurationError]:
    """Flattens marshmallow's nested error messages."""
    if isinstance(messages, dict):
        for key, inner in messages.items():
            yield from _field_errors((*path, str(key)), inner)
        return
    for message in messages if isinstance(messages, list) else [messages]:
        yield ConfigurationError(".".join(path), str(message))


def _item_errors(loaded: Loaded, path: str = "") -> Iterator[ConfigurationError]:
    """Yields errors between fields of one item. A `path` that is not empty ends with a dot."""
    for index, route in enumerate(loaded["routes"]):
        route_path = f"{path}routes.{index}"
        if "weighted_backends" in route:
            yield from _weight_errors(route_path, route["weighted_backends"])
        elif "backend" not in route:
            yield ConfigurationError(f"{route_path}.backend", "the route names no service")


def _weight_errors(path: str, weighted: Sequence[Loaded]) -> Iterator[ConfigurationError]:
    total = sum(each["weight"] for each in weighted)
    if total <= 0:
        yield ConfigurationError(f"{path}.weighted_backends", "the weights sum to 0")
    if math.isinf(total):  # weighted selection needs a finite sum
        yield ConfigurationError(f"{path}.weighted_backends", "the weights have no finite sum")


def _references(route: Loaded) -> RouteReferences:
    return RouteReferences(
        host=route["hostname"],
        path_prefix=route["path_prefix"],
        service=route.get("backend"),
        weighted_services=[WeightedReference(each["backend"]) for each in route.get("weighted_backends", ())],
    )


def _configuration(loaded: Loaded, document: bytes) -> Configuration:
    return Configuration(
        version=loaded["version"],
        routes=tuple(_route(route) for route in loaded["routes"]),
        services=MappingProxyType({service["name"]: _service(service) for service in loaded["backends"]}),
        limits=ClientLimits(**loaded["limits"]) if "limits" in loaded else DEFAULT_LIMITS,
        document=document,
    )


def _service(loaded: Loaded) -> Service:
    return Service(
        name=loaded["name"],
        health_check=loaded["health_check"],
        max_connections=loaded["max_connections"],
        engine=_engine(loaded["engine"]) if "engine" in loaded else None,
    )


def _engine(loaded: Loaded) -> Engine:
    return Engine(
        capacity=loaded["capacity"],
        kv_tokens=loaded["kv_tokens"],
        stride=loaded["stride"],
        models=tuple(model["name"] for model in loaded["models"] if model["name"]),
    )


def _route(loaded: Loaded) -> Route:
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
        token_gap_target_ms=loaded["gap_aim_ms"],
        max_queued_tokens=loaded["max_queued_tokens"],
        completion_target_ms=loaded["run_aim_ms"],
        job_ttl_s=loaded["keep_s"],
    )


def _weighted_services(loaded: Loaded) -> tuple[WeightedService, ...]:
    """Returns the services of a route: `weighted_backends` if present, else `backend` alone."""
    if "weighted_backends" not in loaded:
        return (WeightedService(loaded["backend"], DEFAULT_WEIGHT),)
    return tuple(WeightedService(each["backend"], each["weight"]) for each in loaded["weighted_backends"])
