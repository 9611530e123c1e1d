"""The limit on waiting tokens of a route, which the partition's leader checks before it proposes a job."""

import contextlib
from collections import defaultdict
from collections.abc import Callable, Iterator

from pewterring.batch.state import RouteKey

NO_LIMIT = 0  # in the configuration: the route's waiting tokens are not limited


class QuotaReservations:
    """Reserves quota for jobs whose acceptance is being committed, in addition to tokens that wait already.

    Without reservations, each of several jobs submitted at the same time would fit, and together they would
    exceed the quota.

    Args:
        waiting_tokens: Returns how many tokens of a route wait according to the replicated state.
    """

    def __init__(self, waiting_tokens: Callable[[RouteKey], int]) -> None:
        self._waiting_tokens = waiting_tokens
        self._reserved: defaultdict[RouteKey, int] = defaultdict(int)

    def fits(self, route: RouteKey, tokens: int, limit: int) -> bool:
        """Whether `tokens` more would stay within the route's `limit`."""
        if limit == NO_LIMIT:
            return True
        return self._waiting_tokens(route) + self._reserved[route] + tokens <= limit

    @contextlib.contextmanager
    def reserved(self, route: RouteKey, tokens: int) -> Iterator[None]:
        """Reserves tokens while a job is proposed; once a job is accepted, the state counts its tokens."""
        self._reserved[route] += tokens
        try:
            yield
        finally:
            self._reserved[route] -= tokens
