"""Finds the route that matches a request's host and path."""

from pewterring.configuration.model import Configuration, Route


class RouteTable:
    """The routes of one configuration by host, longest path prefix first. Immutable."""

    __slots__ = ("_by_host",)

    def __init__(self, configuration: Configuration) -> None:
        by_host: dict[str, list[tuple[str, Route]]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append((route.path_prefix, route))
        for routes in by_host.values():
            routes.sort(key=lambda entry: len(entry[0]), reverse=True)
        self._by_host = {host: tuple(routes) for host, routes in by_host.items()}

    def find(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of the path. A port in `host` is ignored."""
        routes = self._by_host.get(host)
        if routes is None:
            routes = self._by_host.get(host.partition(":")[0].strip().lower(), ())
        for prefix, route in routes:
            if path.startswith(prefix):
                return route
        return None
