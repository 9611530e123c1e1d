"""Items that wait for their next attempt after a failed one, and how long each waits.

There is no I/O here, and the caller passes the current time as `now`, in seconds of a monotonic clock.
"""

import heapq
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from pewterring.batch.items import QueuedItem

MIN_BACKOFF_S = 0.1  # before an item's first retry; doubles with each attempt that makes no progress
MAX_BACKOFF_S = 0.5  # keeps the wait before a retry short compared with the usual due time of seconds
# The longest backoff of a deferred item. After faults have ended, each item starts again within this time.
MAX_DEFERRED_BACKOFF_S = 2.0
MAX_DOUBLINGS = 10  # far more than reach the longest backoff; an unbounded power would overflow a float


class _Backoff(NamedTuple):
    """An item that waits for its next attempt. Sorts by time, then by insertion order."""

    until: float
    number: int  # unique, so that two items are never compared
    item: QueuedItem


class BackoffQueue:
    """The items that wait for their next attempt, those that wait for the shortest time first."""

    def __init__(self) -> None:
        self._heap: list[_Backoff] = []
        self._numbers = count()

    def add(self, item: QueuedItem, now: float) -> None:
        """Lets an item back off after an attempt that has failed."""
        until = now + _backoff_s(item)
        item.backoffs += 1
        heapq.heappush(self._heap, _Backoff(until, next(self._numbers), item))

    def pop_due(self, now: float) -> Iterator[QueuedItem]:
        """Removes and returns the items whose backoff is over."""
        while self._heap and self._heap[0].until <= now:
            yield heapq.heappop(self._heap).item

    def next_deadline(self) -> float | None:
        """The earliest time at which a backoff is over; None without items."""
        return self._heap[0].until if self._heap else None

    def clear(self) -> None:
        """Removes all items."""
        self._heap.clear()


def _backoff_s(item: QueuedItem) -> float:
    longest_s = MAX_DEFERRED_BACKOFF_S if item.is_deferred else MAX_BACKOFF_S
    return min(longest_s, MIN_BACKOFF_S * 2.0 ** min(item.backoffs, MAX_DOUBLINGS))
