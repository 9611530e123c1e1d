"""Keeps the limits of all queued jobs at those of the newest configuration."""

from collections.abc import Callable

from pewterring.batch.dispatch import batch_route
from pewterring.batch.job_limits import limits_by_route, without_route
from pewterring.batch.scheduler import ItemScheduler
from pewterring.batch.state import BatchState
from pewterring.configuration.model import Configuration
from pewterring.distribution.tables import Tables


class LimitUpdates:
    """Gives the scheduler the limits of jobs that are queued already, once for each new configuration.

    `apply` is called before each decision by a limit, so none follows a configuration that has been replaced.
    """

    def __init__(self, scheduler: ItemScheduler, state: BatchState, tables: Callable[[], Tables]) -> None:
        self._scheduler = scheduler
        self._state = state
        self._tables = tables
        self._applied: Configuration | None = None

    def apply(self) -> None:
        """Updates the limits of all queued jobs, if the configuration has changed since the last call."""
        tables = self._tables()
        if tables.configuration is self._applied:
            return
        self._applied = tables.configuration
        routes = {key: batch_route(tables, key) for key in self._scheduler.routes()}
        for job_id, key, limits in self._scheduler.limits():
            route, job = routes[key], self._state.job(job_id)
            if route is None:
                self._scheduler.set_limits(job_id, without_route(limits))
            elif job is not None:
                self._scheduler.set_limits(job_id, limits_by_route(route, job.accepted_at))
