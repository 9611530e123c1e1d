"""Ranks the priorities of the live routes of each service, for admission under overload."""

from collections.abc import Mapping

from pewterring.configuration.model import Configuration, RouteType


class PriorityRanks:
    """The rank of each live priority within its service. Immutable once made."""

    __slots__ = ("_ranks",)

    def __init__(self, configuration: Configuration) -> None:
        priorities: dict[str, set[int]] = {}
        for route in configuration.routes:
            if route.route_type is RouteType.BATCH_JOB:
                continue  # items yield to all live requests
            for weighted in route.services:
                priorities.setdefault(weighted.service, set()).add(route.priority)
        self._ranks: Mapping[tuple[str, int], int] = {
            (service, priority): rank
            for service, live in priorities.items()
            for rank, priority in enumerate(sorted(live))
        }

    def rank(self, service: str, priority: int) -> int:
        """How many live priorities of the service come before this one; 0 where it is not known."""
        return self._ranks.get((service, priority), 0)
