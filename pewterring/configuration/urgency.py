"""How urgent the live routes of a service are among each other."""

from collections.abc import Mapping

from pewterring.configuration.model import Configuration, RouteType


class Urgency:
    """Ranks the live routes of each service by `priority`. Immutable once made."""

    __slots__ = ("_ranks",)

    def __init__(self, configuration: Configuration) -> None:
        priorities: dict[str, set[int]] = {}
        for route in configuration.routes:
            if route.route_type is RouteType.BATCH_JOB:
                continue  # items yield to all live requests
            for part in route.services:
                priorities.setdefault(part.service, set()).add(route.priority)
        self._ranks: Mapping[tuple[str, int], int] = {
            (service, priority): rank
            for service, found in priorities.items()
            for rank, priority in enumerate(sorted(found))
        }

    def rank(self, service: str, priority: int) -> int:
        """How many priorities of the service are more urgent; 0 is the most urgent kind."""
        return self._ranks.get((service, priority), 0)
