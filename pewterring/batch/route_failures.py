"""Tracks by route whether attempts mostly fail without progress, for reasons that may lie in the items.

While they do, the order of items by size and due time would try all items of one kind first, and make the
workers suspect, although others can run. The scheduler then starts items in random order.
"""

from pewterring.batch.state import RouteKey

MOSTLY_FAILING_SCORE = 4  # more failures than successes, of the latest attempts
MAX_SCORE = 16  # limits how many successes it takes to return to the usual order


class RouteFailures:
    """One score for each route: raised by a failure, lowered by a success, and never below 0."""

    def __init__(self) -> None:
        self._scores: dict[RouteKey, int] = {}  # only of routes whose score is above 0

    def on_failure(self, route: RouteKey) -> None:
        """Records a failed attempt that made no progress."""
        self._scores[route] = min(MAX_SCORE, self._scores.get(route, 0) + 1)

    def on_success(self, route: RouteKey) -> None:
        """Records a successful attempt."""
        score = self._scores.get(route, 0) - 1
        if score > 0:
            self._scores[route] = score
        else:
            self._scores.pop(route, None)

    def clear(self) -> None:
        """Forgets all attempts."""
        self._scores.clear()

    def mostly_failing(self) -> set[RouteKey]:
        """The routes whose latest attempts have mostly failed."""
        return {route for route, score in self._scores.items() if score >= MOSTLY_FAILING_SCORE}
