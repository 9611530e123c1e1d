"""Checks references and uniqueness: services that routes refer to, service names, and hosts with paths."""

from collections.abc import Iterable, Iterator, Sequence

import msgspec

from pewterring.configuration.errors import ConfigurationError


class WeightedReference(msgspec.Struct, frozen=True):
    """A reference to one of several weighted services of a route."""

    service: str = msgspec.field(name="backend")  # key in the document


class RouteReferences(msgspec.Struct, frozen=True):
    """The fields of a route that have to be unique or that refer to services."""

    host: str = msgspec.field(name="hostname")  # key in the document
    path_prefix: str
    service: str | None = msgspec.field(name="backend", default=None)
    weighted_services: Sequence[WeightedReference] | None = msgspec.field(
        name="weighted_backends", default=None
    )


def reference_errors(
    service_names: Iterable[str], routes: Iterable[RouteReferences]
) -> Iterator[ConfigurationError]:
    """Yields errors for duplicate service names, duplicate routes and unknown services."""
    services: set[str] = set()
    for index, name in enumerate(service_names):
        if name in services:
            yield ConfigurationError(f"backends.{index}.name", f"{name!r} is there twice")
        services.add(name)
    seen_routes: set[tuple[str, str]] = set()
    for index, route in enumerate(routes):
        yield from _unknown_services(f"routes.{index}", route, services)
        host_and_path = (route.host.lower(), route.path_prefix)
        if host_and_path in seen_routes:
            yield ConfigurationError(f"routes.{index}", f"another route has {''.join(host_and_path)}")
        seen_routes.add(host_and_path)


def _unknown_services(path: str, route: RouteReferences, services: set[str]) -> Iterator[ConfigurationError]:
    if route.service is not None and route.service not in services:
        yield ConfigurationError(f"{path}.backend", f"unknown service {route.service!r}")
    for index, weighted in enumerate(route.weighted_services or ()):
        if weighted.service not in services:
            weighted_path = f"{path}.weighted_backends.{index}"
            yield ConfigurationError(weighted_path, f"unknown service {weighted.service!r}")
