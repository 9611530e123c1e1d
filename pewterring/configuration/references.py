"""Checks references and uniqueness: services that routes refer to, service names, and hosts with paths."""

from collections.abc import Iterable, Iterator, Sequence

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.model import WeightedReference


class RouteReferences(msgspec.Struct, frozen=True, gc=False):
    """The fields of a route that have to be unique or that refer to services."""

    host: str
    path_prefix: str
    service: str | None = None
    weighted_services: Sequence[WeightedReference] | None = None


class ReferenceChecker:
    """Checks the services of one configuration, then its routes, one at a time."""

    def __init__(self) -> None:
        self._services: set[str] = set()
        self._routes: set[tuple[str, str]] = set()
        # By identity, since many routes share a list. Holding the lists keeps each identity unique.
        self._valid_lists: dict[int, Sequence[WeightedReference]] = {}

    def service_errors(self, index: int, name: str) -> Iterator[ConfigurationError]:
        """Takes the service at `index`, and yields an error if its name was taken before."""
        if name in self._services:
            yield ConfigurationError(f"backends.{index}.name", f"{name!r} is there twice")
        self._services.add(name)

    def route_errors(self, index: int, route: RouteReferences) -> Iterator[ConfigurationError]:
        """Takes the route at `index`; yields errors for unknown services and for a route that was taken."""
        yield from self._unknown_services(f"routes.{index}", route)
        host_and_path = (route.host.lower(), route.path_prefix)
        if host_and_path in self._routes:
            yield ConfigurationError(f"routes.{index}", f"another route has {''.join(host_and_path)}")
        self._routes.add(host_and_path)

    def _unknown_services(self, path: str, route: RouteReferences) -> Iterator[ConfigurationError]:
        if route.service is not None and route.service not in self._services:
            yield ConfigurationError(f"{path}.backend", f"unknown service {route.service!r}")
        weighted_services = route.weighted_services or ()
        if id(weighted_services) in self._valid_lists:
            return
        unknown = False
        for index, weighted in enumerate(weighted_services):
            if weighted.service not in self._services:
                unknown = True
                weighted_path = f"{path}.weighted_backends.{index}"
                yield ConfigurationError(weighted_path, f"unknown service {weighted.service!r}")
        if not unknown:
            self._valid_lists[id(weighted_services)] = weighted_services


def reference_errors(
    service_names: Iterable[str], routes: Iterable[RouteReferences]
) -> Iterator[ConfigurationError]:
    """Yields errors for duplicate service names, duplicate routes and unknown services."""
    checker = ReferenceChecker()
    for index, name in enumerate(service_names):
        yield from checker.service_errors(index, name)
    for index, route in enumerate(routes):
        yield from checker.route_errors(index, route)
