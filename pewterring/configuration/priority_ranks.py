"""Ranks the priorities of the live (not batch) routes of each service, for admission under overload."""

from collections.abc import Iterator, Mapping, Sequence

from pewterring.configuration.model import Configuration, RouteType, WeightedService


class PriorityRanks:
    """The rank of each priority among those of its service's live routes. Immutable."""

    __slots__ = ("_ranks",)

    def __init__(self, configuration: Configuration) -> None:
        priorities: dict[str, set[int]] = {}
        for priority, services in _distinct_uses(configuration):
            for weighted in services:
                priorities.setdefault(weighted.service, set()).add(priority)
        self._ranks: Mapping[tuple[str, int], int] = {
            (service, priority): rank
            for service, service_priorities in priorities.items()
            for rank, priority in enumerate(sorted(service_priorities))
        }

    def rank(self, service: str, priority: int) -> int:
        """Returns how many of the service's live priorities are higher; 0 if the pair is unknown."""
        return self._ranks.get((service, priority), 0)


def _distinct_uses(configuration: Configuration) -> Iterator[tuple[int, Sequence[WeightedService]]]:
    """Yields each pair of a priority and a list of services that a live route has; a shared list once.

    Batch items always yield to live requests.
    """
    seen: set[tuple[int, int]] = set()
    for route in configuration.routes:
        use = (route.priority, id(route.services))
        if route.route_type is RouteType.BATCH_JOB or use in seen:
            continue
        seen.add(use)
        yield route.priority, route.services
