"""Lists all errors of a document at once, for the command line; programs of the tier stop at the first."""

import itertools
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import orjson
from marshmallow import ValidationError

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.model import WeightedReference
from pewterring.configuration.references import RouteReferences, reference_errors
from pewterring.configuration.schema import configuration_schema
from pewterring.configuration.schema_reader import field_errors

Loaded = Mapping[str, Any]  # an object as loaded by its schema, by the document's keys


def configuration_errors(document: bytes) -> list[ConfigurationError]:
    """Returns all errors of the operator's JSON; empty if it is valid."""
    try:
        raw = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        return [ConfigurationError("", f"not JSON: {error}")]
    if not isinstance(raw, dict):
        return [ConfigurationError("", "not an object")]
    try:
        loaded = configuration_schema().load(raw)
    except ValidationError as error:
        return list(field_errors((), error.messages))
    names = (service["name"] for service in loaded["backends"])
    references = (_references(route) for route in loaded["routes"])
    return list(itertools.chain(reference_errors(names, references), _route_errors(loaded["routes"])))


def _route_errors(routes: Sequence[Loaded]) -> Iterator[ConfigurationError]:
    """Yields errors between fields of one route."""
    for index, route in enumerate(routes):
        if "weighted_backends" in route:
            yield from _weight_errors(f"routes.{index}", route["weighted_backends"])
        elif "backend" not in route:
            yield ConfigurationError(f"routes.{index}.backend", "the route names no service")


def _weight_errors(path: str, weighted: Sequence[Loaded]) -> Iterator[ConfigurationError]:
    total = sum(each["weight"] for each in weighted)
    if total <= 0:
        yield ConfigurationError(f"{path}.weighted_backends", "the weights sum to 0")
    if math.isinf(total):
        yield ConfigurationError(f"{path}.weighted_backends", "the weights have no finite sum")


def _references(route: Loaded) -> RouteReferences:
    return RouteReferences(
        host=route["hostname"],
        path_prefix=route["path_prefix"],
        service=route.get("backend"),
        weighted_services=[WeightedReference(each["backend"]) for each in route.get("weighted_backends", ())],
    )
