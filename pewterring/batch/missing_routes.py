"""Routes of unfinished items that the configuration no longer has, and since when.

What may go wrong: a configuration that drops a route by mistake ends the route's items as dead letters. So a
route must be missing for a while, in fresh tables without a break, before it counts as removed.
"""

from collections.abc import Iterable

from pewterring.batch.dispatch import batch_route
from pewterring.batch.state import RouteKey
from pewterring.configuration.model import Configuration
from pewterring.distribution.tables import Tables

ROUTE_MISSING_S = 3.0  # bridges configurations that follow each other at once


class MissingRoutes:
    """Watches routes and the jobs that cannot be queued without theirs."""

    def __init__(self) -> None:
        self.job_ids: set[str] = set()  # jobs whose route is not in the tables
        self._missing_since: dict[RouteKey, float] = {}
        self._checked: Configuration | None = None  # it has the routes of all items

    def clear(self) -> None:
        """Forgets everything."""
        self.job_ids.clear()
        self._missing_since.clear()
        self._checked = None

    @property
    def any(self) -> bool:
        """Whether any route is missing."""
        return bool(self._missing_since or self.job_ids)

    def must_check(self, configuration: Configuration | None) -> bool:
        """Whether routes may be missing in that configuration."""
        return configuration is not self._checked or bool(self.job_ids)

    def reset_times(self) -> None:
        """The tables are not fresh: a route may be in the configuration in force."""
        self._missing_since.clear()

    def removed(self, now: float, tables: Tables, routes: Iterable[RouteKey]) -> list[RouteKey]:
        """Those of `routes` that have been missing for so long that they count as removed."""
        if tables.configuration is None:
            self.reset_times()
            return []
        missing = {route for route in routes if batch_route(tables, route) is None}
        self._missing_since = {route: self._missing_since.get(route, now) for route in missing}
        removed = [route for route, since in self._missing_since.items() if now - since > ROUTE_MISSING_S]
        for route in removed:
            del self._missing_since[route]
        self._checked = None if self._missing_since else tables.configuration
        return removed
