"""Ranks the priorities of the live (not batch) routes of each service, for admission under overload."""

from collections.abc import Mapping

from pewterring.configuration.model import Configuration, RouteType


class PriorityRanks:
    """The rank of each priority among those of its service's live routes. Immutable."""

    __slots__ = ("_ranks",)

    def __init__(self, configuration: Configuration) -> None:
        priorities: dict[str, set[int]] = {}
        for route in configuration.routes:
            if route.route_type is RouteType.BATCH_JOB:
                continue  # batch items always yield to live requests
            for weighted in route.services:
                priorities.setdefault(weighted.service, set()).add(route.priority)
        self._ranks: Mapping[tuple[str, int], int] = {
            (service, priority): rank
            for service, service_priorities in priorities.items()
            for rank, priority in enumerate(sorted(service_priorities))
        }

    def rank(self, service: str, priority: int) -> int:
        """Returns how many of the service's live priorities are higher; 0 if the pair is unknown."""
        return self._ranks.get((service, priority), 0)
