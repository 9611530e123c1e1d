"""The clock and the queue of what is to happen. One number breaks ties: first planned, first done."""

import heapq
from collections.abc import Callable
from typing import Any

START = 1000.0  # the clock at the begin of a run, in seconds: 0 means "long ago" to the module


class Engine:
    """Simulated time: nothing lasts, all that happens was planned. `now` is in seconds."""

    def __init__(self) -> None:
        self.now, self.events = START, 0
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0

    @property
    def due(self) -> float:
        """When what happens now was to happen."""
        return self.now

    def at(self, when: float, what: Callable[..., None], *given: Any) -> None:
        """Calls what(*given) at that time, or now where that has passed."""
        self._order += 1
        heapq.heappush(self._queue, (when if when > self.now else self.now, self._order, what, given))

    def after(self, delay: float, what: Callable[..., None], *given: Any) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, what, given))

    def run(self, until: float) -> None:
        """Lets happen what is due up to that time."""
        queue, pop = self._queue, heapq.heappop
        while queue and queue[0][0] <= until:
            self.now, _, what, given = pop(queue)
            self.events += 1
            what(*given)
        self.now = max(self.now, until)
