"""Ranks of the priorities of a service's live routes."""

from dataclasses import replace

from pewterring.configuration.model import ClientLimits, Configuration, Route, RouteType, WeightedService
from pewterring.configuration.priority_ranks import PriorityRanks

SPLIT = (WeightedService("a", 1.0), WeightedService("b", 1.0))
ROUTE = Route("r", "h", "/p/", RouteType.IDEMPOTENT, SPLIT[:1], 1000, 200, 0, 1)


def priority_ranks(*routes: Route) -> PriorityRanks:
    return PriorityRanks(Configuration(1, routes, {}, ClientLimits()))


def test_a_rank_counts_the_higher_priorities_of_the_same_service() -> None:
    ranks = priority_ranks(
        replace(ROUTE, priority=5),
        replace(ROUTE, priority=2, services=SPLIT),
        replace(ROUTE, priority=2),
        replace(ROUTE, priority=9, services=SPLIT[1:]),
    )
    assert [ranks.rank("a", priority) for priority in (2, 5)] == [0, 1]
    assert [ranks.rank("b", priority) for priority in (2, 9)] == [0, 1]


def test_batch_routes_do_not_count_in_the_ranks() -> None:
    ranks = priority_ranks(
        replace(ROUTE, priority=0, route_type=RouteType.BATCH_JOB), replace(ROUTE, priority=4)
    )
    assert ranks.rank("a", 4) == 0


def test_a_priority_of_an_unknown_service_has_rank_0() -> None:
    assert priority_ranks().rank("a", 7) == 0
