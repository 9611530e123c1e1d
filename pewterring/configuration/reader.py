"""Reads the operator's configuration, in steps or at once.

Single routes and services are read by `item_reader`, references between them are checked by `references`.
Whether the version is above the current one is not checked here but by the owner of the current
configuration.
"""

import dataclasses
from types import MappingProxyType
from typing import Any

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.item_reader import RouteReader, service_steps
from pewterring.configuration.json_parts import ABSENT, decode, is_null, known_parts, split_list
from pewterring.configuration.model import ClientLimits, Configuration, Route, Service
from pewterring.configuration.references import ReferenceChecker
from pewterring.configuration.schema import DEFAULT_LIMITS, header_schema
from pewterring.configuration.schema_reader import load
from pewterring.configuration.steps import StepMeter, Steps, complete

SERVICES, ROUTES = "backends", "routes"  # keys in the document
VERSION, LIMITS = "version", "limits"


class _Parts(msgspec.Struct, gc=False):
    """The parts of a document that this version knows; others are skipped, however many there are."""

    version: msgspec.Raw = ABSENT
    limits: msgspec.Raw = ABSENT
    routes: msgspec.Raw = ABSENT
    services: msgspec.Raw = msgspec.field(default=ABSENT, name=SERVICES)


# The limits on clients that this version knows.
_LimitParts = msgspec.defstruct(
    "_LimitParts", [(field.name, msgspec.Raw, ABSENT) for field in dataclasses.fields(ClientLimits)], gc=False
)

_parts_decoder = msgspec.json.Decoder(_Parts)
_limits_decoder = msgspec.json.Decoder(_LimitParts)


def read_configuration(document: bytes) -> Configuration:
    """Parses and validates the operator's JSON at once.

    Raises:
        ConfigurationError: The document is invalid; only the first error found is raised.
    """
    return complete(reading_steps(document))


def reading_steps(document: bytes) -> Steps[Configuration]:
    """Parses and validates the operator's JSON in steps.

    Raises:
        ConfigurationError: The document is invalid; only the first error found is raised.
    """
    parts = known_parts(document, _parts_decoder, "")
    header = _header(parts)
    checker = ReferenceChecker()
    yield
    services = yield from _service_steps(_items(parts, SERVICES), checker)
    routes = yield from _route_steps(_items(parts, ROUTES), checker)
    return Configuration(
        version=header["version"],
        routes=tuple(routes),
        services=MappingProxyType(services),
        limits=ClientLimits(**header["limits"]) if "limits" in header else DEFAULT_LIMITS,
        document=document,
    )


def _header(parts: dict[str, msgspec.Raw]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    if VERSION in parts:
        values[VERSION] = decode(parts[VERSION], VERSION)
    if LIMITS in parts:
        values[LIMITS] = _limits(parts[LIMITS])
    header: dict[str, Any] = load(header_schema(), values, "")
    return header


def _limits(text: msgspec.Raw) -> Any:
    """Returns the known limits as plain values; what is no object is left to the schema, which refuses it."""
    if not bytes(text).startswith(b"{"):
        return decode(text, LIMITS)
    parts = known_parts(text, _limits_decoder, LIMITS)
    return {key: decode(part, f"{LIMITS}.{key}") for key, part in parts.items()}


def _items(parts: dict[str, msgspec.Raw], key: str) -> list[msgspec.Raw]:
    if is_null(parts.get(key)):
        raise ConfigurationError(key, "Missing data for required field.")
    return split_list(parts[key], key)


def _service_steps(items: list[msgspec.Raw], checker: ReferenceChecker) -> Steps[dict[str, Service]]:
    meter = StepMeter()
    services: dict[str, Service] = {}
    for index, item in enumerate(items):
        service = yield from service_steps(item, f"{SERVICES}.{index}")
        for error in checker.service_errors(index, service.name):
            raise error
        services[service.name] = service
        if meter.is_step_full(len(bytes(item))):
            yield
    return services


def _route_steps(items: list[msgspec.Raw], checker: ReferenceChecker) -> Steps[list[Route]]:
    meter = StepMeter()
    reader = RouteReader()
    routes: list[Route] = []
    yield
    for index, item in enumerate(items):
        route, references = yield from reader.route_steps(item, f"{ROUTES}.{index}")
        for error in checker.route_errors(index, references):
            raise error
        routes.append(route)
        if meter.is_step_full(len(bytes(item))):
            yield
    return routes
