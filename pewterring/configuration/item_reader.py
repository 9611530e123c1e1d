"""Reads one route or one service of the operator's configuration.

`records` decodes what operators usually write, or what `usual_form` makes of it; what it refuses is loaded by
the schema, which accepts more and says what is wrong. docs/decisions.md says why there are two.
"""

import math
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.json_parts import is_null
from pewterring.configuration.model import Engine, Route, Service, WeightedService
from pewterring.configuration.records import EngineRecord, ModelRecord, RouteRecord, ServiceRecord
from pewterring.configuration.references import RouteReferences
from pewterring.configuration.schema import (
    DEFAULT_WEIGHT,
    models_schema,
    route_schema,
    service_schema,
    weighted_services_schema,
)
from pewterring.configuration.schema_reader import item_steps, list_steps
from pewterring.configuration.steps import Steps
from pewterring.configuration.usual_form import usual_route, usual_service

WeightedServices = tuple[WeightedService, ...]

_route_decoder = msgspec.json.Decoder(RouteRecord)
_service_decoder = msgspec.json.Decoder(ServiceRecord)
_weighted_services_decoder = msgspec.json.Decoder(WeightedServices)
_entries_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_NOT_DECODED = (msgspec.MsgspecError, UnicodeDecodeError)

Record = TypeVar("Record", bound=msgspec.Struct)


class RouteReader:
    """Reads the routes of one document. Routes whose lists of services are the same text share one list."""

    def __init__(self) -> None:
        self._known_lists: dict[bytes, WeightedServices] = {}

    def route_steps(self, item: msgspec.Raw, path: str) -> Steps[tuple[Route, RouteReferences]]:
        """Returns a route, and what of it has to be unique or refers to services.

        Raises:
            ConfigurationError: The route is invalid; only the first error found is raised.
        """
        try:
            record = _decode(item, _route_decoder, usual_route)
            weighted = yield from self._weighted_services_steps(record, path)
        except _NOT_DECODED:
            record, weighted = yield from _schema_route_steps(item, path)
        if weighted is not None:
            _check_weights(path, weighted)
        elif record.backend is None:
            raise ConfigurationError(f"{path}.backend", "the route names no service")
        return _route(record, weighted), _references(record, weighted)

    def _weighted_services_steps(self, record: RouteRecord, path: str) -> Steps[WeightedServices | None]:
        if is_null(record.weighted_backends):
            return None
        text = bytes(record.weighted_backends)
        weighted = self._known_lists.get(text)
        if weighted is None:
            weighted = yield from _list_steps(text, f"{path}.weighted_backends")
            self._known_lists[text] = weighted
        return weighted


def service_steps(item: msgspec.Raw, path: str) -> Steps[Service]:
    """Returns a service.

    Raises:
        ConfigurationError: The service is invalid; only the first error found is raised.
    """
    try:
        record = _decode(item, _service_decoder, usual_service)
    except _NOT_DECODED:
        loaded = yield from item_steps(service_schema(), models_schema(), ("engine", "models"), item, path)
        record = _loaded_service(loaded)
    return Service(record.name, record.health_check, record.max_connections, _engine(record.engine))


def _decode(
    item: msgspec.Raw, decoder: msgspec.json.Decoder[Record], usual_form: Callable[[msgspec.Raw], bytes]
) -> Record:
    """Decodes an item as it is, or in its usual form."""
    try:
        return decoder.decode(item)
    except _NOT_DECODED:
        return decoder.decode(usual_form(item))


def _list_steps(text: bytes, path: str) -> Steps[WeightedServices]:
    """Returns a route's list of services; what the record refuses is loaded by the schema."""
    try:
        return _weighted_services_decoder.decode(text)
    except _NOT_DECODED:
        entries = yield from list_steps(weighted_services_schema(), _entries_decoder.decode(text), path)
        return _loaded_services(entries)


def _loaded_services(entries: Sequence[dict[str, Any]]) -> WeightedServices:
    return tuple(WeightedService(each["backend"], each["weight"]) for each in entries)


def _schema_route_steps(item: msgspec.Raw, path: str) -> Steps[tuple[RouteRecord, WeightedServices | None]]:
    loaded = yield from item_steps(
        route_schema(), weighted_services_schema(), ("weighted_backends",), item, path
    )
    entries = loaded.pop("weighted_backends", None)
    record = RouteRecord(**loaded)
    if entries is None:
        return record, None
    return record, _loaded_services(entries)


def _loaded_service(loaded: dict[str, Any]) -> ServiceRecord:
    engine = loaded.pop("engine", None)
    if engine is None:
        return ServiceRecord(**loaded)
    models = tuple(ModelRecord(**model) for model in engine.pop("models"))
    return ServiceRecord(**loaded, engine=EngineRecord(**engine, models=models))


def _check_weights(path: str, weighted: Sequence[WeightedService]) -> None:
    total = sum(each.weight for each in weighted)
    if total <= 0:
        raise ConfigurationError(f"{path}.weighted_backends", "the weights sum to 0")
    if math.isinf(total):  # weighted selection needs a finite sum
        raise ConfigurationError(f"{path}.weighted_backends", "the weights have no finite sum")


def _references(record: RouteRecord, weighted: WeightedServices | None) -> RouteReferences:
    return RouteReferences(record.hostname, record.path_prefix, record.backend, weighted)


def _route(record: RouteRecord, weighted: WeightedServices | None) -> Route:
    services = weighted if weighted is not None else (WeightedService(record.backend or "", DEFAULT_WEIGHT),)
    return Route(
        name=record.name,
        host=record.hostname.lower(),
        path_prefix=record.path_prefix,
        route_type=record.route_type,
        services=services,
        timeout_ms=record.timeout_ms,
        target_latency_ms=record.target_latency_ms,
        priority=record.priority,
        max_attempts=record.max_attempts,
        session_affinity=record.session_affinity,
        resumable=record.resumable,
        token_gap_target_ms=record.gap_aim_ms,
        max_queued_tokens=record.max_queued_tokens,
        completion_target_ms=record.run_aim_ms,
        job_ttl_s=record.keep_s,
    )


def _engine(record: EngineRecord | None) -> Engine | None:
    if record is None:
        return None
    models = tuple(model.name for model in record.models if model.name)
    return Engine(record.capacity, record.kv_tokens, record.stride, models)
