"""Ranks of the live routes of a service by priority."""

from dataclasses import replace

from pewterring.configuration.model import ClientLimits, Configuration, Route, RouteType, WeightedService
from pewterring.configuration.urgency import Urgency

SPLIT = (WeightedService("a", 1.0), WeightedService("b", 1.0))
ROUTE = Route("r", "h", "/p/", RouteType.IDEMPOTENT, SPLIT[:1], 1000, 200, 0, 1)


def urgency(*routes: Route) -> Urgency:
    return Urgency(Configuration(1, routes, {}, ClientLimits()))


def test_ranks_count_the_more_urgent_priorities_of_the_same_service() -> None:
    found = urgency(
        replace(ROUTE, priority=5),
        replace(ROUTE, priority=2, services=SPLIT),
        replace(ROUTE, priority=2),
        replace(ROUTE, priority=9, services=SPLIT[1:]),
    )
    assert [found.rank("a", priority) for priority in (2, 5)] == [0, 1]
    assert [found.rank("b", priority) for priority in (2, 9)] == [0, 1]


def test_batch_routes_take_no_rank() -> None:
    found = urgency(replace(ROUTE, priority=0, route_type=RouteType.BATCH_JOB), replace(ROUTE, priority=4))
    assert found.rank("a", 4) == 0


def test_what_is_unknown_is_as_urgent_as_any() -> None:
    assert urgency().rank("a", 7) == 0
