"""The choice of a worker for an item, and a simple one that looks only at what this process runs."""

from collections import defaultdict
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from pewterring.batch.scheduler import QueuedItem
from pewterring.batch.state import RouteKey
from pewterring.configuration.model import Route, RouteType
from pewterring.distribution.messages import WorkerRecord
from pewterring.distribution.tables import Tables

CAPACITY_SHARE = 0.6  # of a worker's capacity that items may take
PREFIX_SLACK = 3  # items that a worker may run beyond the least busy one, for the prompt parts it has read
PREFIXES_KEPT = 10_000
READY = "ready"


class ExchangeOutcome(Enum):
    """What an exchange with a worker tells of the worker."""

    ANSWERED = auto()
    REFUSED = auto()
    CUT = auto()
    CANCELLED = auto()


class Dispatcher(Protocol):
    """Chooses workers for items and is told how their exchanges ended."""

    def place(self, item: QueuedItem, avoid: str) -> WorkerRecord | None:
        """A worker for the item, whose place is taken from now on; not the one with id `avoid`, if another
        will do. None where there is no place now."""

    def finished(self, worker: WorkerRecord, outcome: ExchangeOutcome) -> None:
        """An exchange at a worker that `place` gave has ended."""


def batch_route(tables: Tables, key: RouteKey) -> Route | None:
    """The configuration's route for jobs of that host and prefix."""
    if tables.configuration is None:
        return None
    for route in tables.configuration.routes:
        if (route.host, route.path_prefix) == key and route.route_type is RouteType.BATCH_JOB:
            return route
    return None


def first_prompt_part(item: QueuedItem) -> str:
    """The id of the first part of the item's prompt, or an empty string."""
    for name, value in item.spec.headers.items():
        if name.lower() == "prompt-prefix":
            return value.partition(":")[0].strip()
    return ""


class LeastBusyDispatcher:
    """Ready workers with the fewest items of this process, within a share of their capacity.

    Services of a route get items by their weights. A worker that ran an item with the same first part of the
    prompt is taken while it is little busier than the others.
    """

    def __init__(self, tables: Callable[[], Tables], capacity_share: float = CAPACITY_SHARE) -> None:
        self._tables = tables
        self._capacity_share = capacity_share
        self._running: defaultdict[str, int] = defaultdict(int)  # by worker
        self._service_running: defaultdict[str, int] = defaultdict(int)
        self._prefix_worker: dict[tuple[str, str], str] = {}  # service and first prompt part

    def place(self, item: QueuedItem, avoid: str) -> WorkerRecord | None:
        """See `Dispatcher`."""
        tables = self._tables()
        route = batch_route(tables, item.route)
        if route is None:
            return None
        for service in self._services_in_turn(route):
            worker = self._choose(tables, service, first_prompt_part(item), avoid)
            if worker is not None:
                self._running[worker.id] += 1
                self._service_running[service] += 1
                return worker
        return None

    def finished(self, worker: WorkerRecord, outcome: ExchangeOutcome) -> None:
        """See `Dispatcher`."""
        self._service_running[worker.service] -= 1
        self._running[worker.id] -= 1
        if self._running[worker.id] <= 0:
            del self._running[worker.id]

    def _services_in_turn(self, route: Route) -> list[str]:
        weighted = [part for part in route.services if part.weight > 0]
        weighted.sort(key=lambda part: self._service_running[part.service] / part.weight)
        return [part.service for part in weighted]

    def _choose(self, tables: Tables, service: str, prefix: str, avoid: str) -> WorkerRecord | None:
        free = [
            worker
            for worker in tables.workers.values()
            if worker.service == service and worker.state == READY and self._has_room(worker)
        ]
        others = [worker for worker in free if worker.id != avoid]
        if not (candidates := others or free):
            return None
        best = min(candidates, key=self._load)
        last = self._prefix_worker.get((service, prefix), "")
        for worker in candidates:
            if worker.id == last and self._running[last] <= self._running[best.id] + PREFIX_SLACK:
                return worker
        self._remember((service, prefix), best.id)
        return best

    def _has_room(self, worker: WorkerRecord) -> bool:
        return self._running.get(worker.id, 0) < max(1, int(worker.capacity * self._capacity_share))

    def _load(self, worker: WorkerRecord) -> tuple[float, str]:
        return self._running.get(worker.id, 0) / max(1, worker.capacity), worker.id

    def _remember(self, key: tuple[str, str], worker_id: str) -> None:
        if not key[1]:
            return
        self._prefix_worker.pop(key, None)
        self._prefix_worker[key] = worker_id
        if len(self._prefix_worker) > PREFIXES_KEPT:
            del self._prefix_worker[next(iter(self._prefix_worker))]
