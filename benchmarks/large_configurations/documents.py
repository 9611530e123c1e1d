"""Configurations and patches of about 4 MiB, as operators send them."""

from collections.abc import Callable, Mapping
from typing import Any

import orjson

from pewterring.local import sample

UNUSED_HOST = "unused.example"


def replacement(version: int, routes: int, services: int, numbers_as_strings: bool = False) -> dict[str, Any]:
    """Returns the sample configuration with further routes, each split over all further services."""
    content = sample.configuration()
    return {
        **content,
        "version": version,
        "routes": [
            *content["routes"],
            *(unused_route(number, services, numbers_as_strings) for number in range(routes)),
        ],
        "backends": [*content["backends"], *({"name": _service(number)} for number in range(services))],
    }


def unused_route(number: int, services: int, numbers_as_strings: bool = False) -> dict[str, Any]:
    """Returns a route that no client uses."""
    timeout_ms: int | str = "6000" if numbers_as_strings else 6000
    return {
        "name": f"unused-{number:05d}",
        "hostname": UNUSED_HOST,
        "path_prefix": f"/{number}/",
        "route_type": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 0,
        "weighted_backends": [{"backend": _service(each), "weight": 10} for each in range(services)],
        "max_attempts": 2,
        "session_affinity": True,
        "resumable": True,
        "gap_aim_ms": 250,
    }


def patch(version: int, first_route: int, routes: int, services: int) -> dict[str, Any]:
    """Returns a patch that adds or replaces a range of routes."""
    numbers = range(first_route, first_route + routes)
    return {"version": version, "upsert": {"routes": [unused_route(each, services) for each in numbers]}}


def with_unknown_service(version: int, routes: int, services: int) -> dict[str, Any]:
    """Returns an invalid configuration: its last route names a service that is not there."""
    content = replacement(version, routes, services)
    *others, last = content["routes"]
    weighted = [{"backend": "nobody", "weight": 1}]
    return {**content, "routes": [*others, {**last, "weighted_backends": weighted}]}


def with_unknown_object(version: int, keys: int) -> dict[str, Any]:
    """Returns a configuration with a large object that no schema knows."""
    content = replacement(version, routes=1, services=1)
    return {**content, "annotations": {f"key-{number}": number for number in range(keys)}}


def encoded(content: Callable[[], Mapping[str, Any]]) -> bytes:
    """Builds a document, and returns it as it is sent."""
    return orjson.dumps(content())


def _service(number: int) -> str:
    return f"unused-{number}"
