"""Ready items that have failed repeatedly without progress, which start only after all other ready items.

An item that no worker can run is ready again after each backoff. If it started first, it would take the
workers, and the probes of suspect workers, from the items that can run. There is no I/O here, and the caller
passes the current time as `now`, in seconds of a monotonic clock.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from pewterring.batch.items import QueuedItem
from pewterring.batch.state import RouteKey

# How often one deferred item of a route starts before the route's other items. Without such turns, an item
# that failed by chance would wait for as long as the route has more ready items than the workers can run.
TURN_INTERVAL_S = 10.0
# Limits of a route's deferred starts, so that many items that cannot run do not take the store's processor.
STARTS_PER_S = 200.0
MAX_BURST = 20.0  # starts at once after a while without any


@dataclass(slots=True)
class _Burst:
    """A token bucket: how many starts were allowed at `updated_at`."""

    starts: float
    updated_at: float


class DeferredItems:
    """The deferred items by route, each route's in the order in which their backoff ended.

    Args:
        is_queued: Whether the scheduler still has an item; items that it has removed are dropped here later.
    """

    def __init__(self, is_queued: Callable[[QueuedItem], bool]) -> None:
        self._is_queued = is_queued
        self._queues: dict[RouteKey, deque[QueuedItem]] = {}
        self._next_turn_at: dict[RouteKey, float] = {}
        self._bursts: dict[RouteKey, _Burst] = {}

    def __bool__(self) -> bool:
        return any(self._first(route) is not None for route in list(self._queues))

    def add(self, item: QueuedItem, now: float) -> None:
        """Adds an item whose backoff is over."""
        if item.route not in self._queues:
            self._queues[item.route] = deque()
            self._next_turn_at[item.route] = now + TURN_INTERVAL_S
            self._bursts[item.route] = _Burst(MAX_BURST, now)
        self._queues[item.route].append(item)

    def clear(self) -> None:
        """Removes all items."""
        self._queues.clear()
        self._next_turn_at.clear()
        self._bursts.clear()

    def routes(self) -> list[RouteKey]:
        """The routes that may have deferred items."""
        return list(self._queues)

    def routes_with_turn(self, now: float) -> list[RouteKey]:
        """The routes of which one deferred item starts before the other items."""
        return [route for route in self._queues if self._next_turn_at[route] <= now]

    def ready(self, route: RouteKey) -> Iterator[QueuedItem]:
        """The route's items in order. The caller removes each by `pop` before it takes the next one."""
        while (item := self._first(route)) is not None:
            yield item

    def allowed_starts(self, route: RouteKey, now: float) -> int:
        """How many of the route's items may start now."""
        burst = self._bursts[route]
        burst.starts = min(MAX_BURST, burst.starts + STARTS_PER_S * (now - burst.updated_at))
        burst.updated_at = now
        return int(burst.starts)

    def pop(self, route: RouteKey, now: float) -> None:
        """Removes the route's first item, which starts now."""
        self._queues[route].popleft()
        self._bursts[route].starts -= 1
        self._next_turn_at[route] = now + TURN_INTERVAL_S

    def _first(self, route: RouteKey) -> QueuedItem | None:
        """The route's first item that is still queued; drops those that are not."""
        queue = self._queues.get(route)
        while queue:
            if self._is_queued(queue[0]):
                return queue[0]
            queue.popleft()
        return None
