"""Finds the route that matches a request's host and path."""

from collections.abc import Iterator

from pewterring.configuration.model import Configuration, Route


class _HostRoutes:
    """The routes of one host by path prefix."""

    __slots__ = ("by_prefix", "longest")

    def __init__(self) -> None:
        self.by_prefix: dict[str, Route] = {}
        self.longest = 0  # length of the longest prefix

    def add(self, route: Route) -> None:
        """Adds a route. Of several with one prefix, the first is found."""
        self.by_prefix.setdefault(route.path_prefix, route)
        self.longest = max(self.longest, len(route.path_prefix))


class RouteTable:
    """The routes of one configuration by host and path prefix. Immutable."""

    __slots__ = ("_by_host",)

    def __init__(self, configuration: Configuration) -> None:
        self._by_host: dict[str, _HostRoutes] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, _HostRoutes()).add(route)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of the path. A port in `host` is ignored.

        The time does not depend on the number of routes: each prefix ends with a slash, so only the parts of
        the path that end with one are looked up.
        """
        routes = self._by_host.get(host)
        if routes is None:
            routes = self._by_host.get(host.partition(":")[0].strip().lower())
        if routes is None:
            return None
        for prefix in _prefixes(path[: routes.longest]):
            route = routes.by_prefix.get(prefix)
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yields the parts of a path that end with a slash, longest first."""
    end = len(path)
    while (slash := path.rfind("/", 0, end)) >= 0:
        yield path[: slash + 1]
        end = slash
