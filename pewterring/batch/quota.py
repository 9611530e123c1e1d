"""The limit on waiting tokens of a route, as the partition's leader checks it before it proposes a job."""

from collections import defaultdict
from collections.abc import Callable

from pewterring.batch.state import RouteKey

NO_LIMIT = 0


class QuotaLedger:
    """Counts tokens of jobs whose acceptance is being committed beside those that wait in the state."""

    def __init__(self, waiting_tokens: Callable[[RouteKey], int]) -> None:
        self._waiting_tokens = waiting_tokens
        self._proposed: defaultdict[RouteKey, int] = defaultdict(int)

    def fits(self, route: RouteKey, tokens: int, limit: int) -> bool:
        """Whether that many tokens more stay within `limit`."""
        if limit == NO_LIMIT:
            return True
        return self._waiting_tokens(route) + self._proposed[route] + tokens <= limit

    def begin(self, route: RouteKey, tokens: int) -> None:
        """A job with that many tokens is being proposed."""
        self._proposed[route] += tokens

    def end(self, route: RouteKey, tokens: int) -> None:
        """That proposal has an outcome; where it was accepted, the state counts it now."""
        self._proposed[route] -= tokens
