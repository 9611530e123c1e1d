"""Tracks routes of unfinished items that are missing from the configuration, and since when.

What may go wrong: a configuration that drops a route by mistake turns the route's items into dead letters.
Therefore a route counts as removed only after fresh tables have lacked it without interruption for a while.
"""

from collections.abc import Iterable

from pewterring.batch.dispatch import batch_route
from pewterring.batch.state import RouteKey
from pewterring.configuration.model import Configuration
from pewterring.distribution.tables import Tables

ROUTE_MISSING_S = 3.0  # tolerates a route that is missing only between two configurations in quick succession


class MissingRoutes:
    """The missing routes of one partition, and the jobs that cannot be queued because their route is missing.

    Attributes:
        job_ids: The jobs that cannot be queued.
    """

    def __init__(self) -> None:
        self.job_ids: set[str] = set()
        self._missing_since: dict[RouteKey, float] = {}
        self._complete_configuration: Configuration | None = None  # the last one seen that has all routes

    def clear(self) -> None:
        """Forgets everything."""
        self.job_ids.clear()
        self._missing_since.clear()
        self._complete_configuration = None

    @property
    def any_missing(self) -> bool:
        """Whether any route is missing."""
        return bool(self._missing_since or self.job_ids)

    def must_check(self, configuration: Configuration | None) -> bool:
        """Whether `configuration` may lack routes of unfinished items."""
        return configuration is not self._complete_configuration or bool(self.job_ids)

    def reset_times(self) -> None:
        """Restarts the time of each missing route: stale tables may lack a route that exists by now."""
        self._missing_since.clear()

    def find_removed(self, now: float, tables: Tables, routes: Iterable[RouteKey]) -> list[RouteKey]:
        """Returns those of `routes` that count as removed: missing for more than `ROUTE_MISSING_S`."""
        if tables.configuration is None:
            self.reset_times()
            return []
        missing = {route for route in routes if batch_route(tables, route) is None}
        self._missing_since = {route: self._missing_since.get(route, now) for route in missing}
        removed = [route for route, since in self._missing_since.items() if now - since > ROUTE_MISSING_S]
        for route in removed:
            del self._missing_since[route]
        self._complete_configuration = None if self._missing_since else tables.configuration
        return removed
