"""The limit on waiting tokens of a route, as the partition's leader checks it before it proposes a job."""

import contextlib
from collections import defaultdict
from collections.abc import Callable, Iterator

from pewterring.batch.state import RouteKey

NO_LIMIT = 0  # as the configuration writes it


class QuotaReservations:
    """Reserves tokens for jobs whose acceptance is being committed, beside those that wait in the state.

    Without it, jobs submitted at the same time would each fit and together exceed the quota.
    """

    def __init__(self, waiting_tokens: Callable[[RouteKey], int]) -> None:
        self._waiting_tokens = waiting_tokens
        self._reserved: defaultdict[RouteKey, int] = defaultdict(int)

    def fits(self, route: RouteKey, tokens: int, limit: int) -> bool:
        """Whether that many tokens more stay within `limit`."""
        if limit == NO_LIMIT:
            return True
        return self._waiting_tokens(route) + self._reserved[route] + tokens <= limit

    @contextlib.contextmanager
    def reserved(self, route: RouteKey, tokens: int) -> Iterator[None]:
        """Reserves tokens while a job is proposed; afterwards the state counts those of an accepted one."""
        self._reserved[route] += tokens
        try:
            yield
        finally:
            self._reserved[route] -= tokens
