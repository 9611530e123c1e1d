"""Dispatch of a client's request by the kind of its route: to live serving, to batch calls, or refused.

Symptoms answered: all processes start at once, and clients are there before the first tables; a gateway cut
off from control denies a route that all others serve, and clients do not ask again after a 404.
"""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from pewterring.configuration.model import RouteType
from pewterring.configuration.route_table import RouteTable
from pewterring.gateway.active_configuration import ActiveConfiguration
from pewterring.gateway.answers import refuse
from pewterring.gateway.batch_calls import is_batch_call
from pewterring.gateway.batch_handler import BatchHandler
from pewterring.gateway.drain import Drain
from pewterring.gateway.live_handler import LiveHandler
from pewterring.gateway.metrics import GatewayMetrics
from pewterring.gateway.request_headers import request_timeout_s
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder

# That a request waits for the first tables: they come within a second or two after the start.
FIRST_TABLES_WAIT_S = 1.5
FIRST_TABLES_WAIT_FRACTION = 0.4  # of the request's time at most, so that a retry elsewhere still has some
NO_TABLES_RETRY_AFTER = b"0.5"  # seconds, as a header
STALE_TABLES_RETRY_AFTER_S = 0.1  # a gateway with newer tables may have the route


@dataclass(frozen=True, slots=True)
class TableFreshness:
    """How old the tables are, and from when on they may lack a route that others serve."""

    age_s: Callable[[], float]  # since control confirmed them
    max_age_s: Callable[[], float]

    def may_be_stale(self) -> bool:
        """Returns whether a newer configuration may be in force everywhere else."""
        return self.age_s() > self.max_age_s()


@dataclass(frozen=True, slots=True)
class Dispatcher:
    """Finds the route of a request and passes it on; keeps no state of its own."""

    configuration: ActiveConfiguration
    freshness: TableFreshness
    drain: Drain
    metrics: GatewayMetrics
    live: LiveHandler
    batch: BatchHandler
    clock: Callable[[], float]

    async def dispatch(self, request: ServerRequest, responder: Responder) -> None:
        """Answers one request."""
        path = request.target.partition("?")[0]
        if is_batch_call(request.method, path):
            await self.batch.handle(request, responder, None)
            return
        routes = self.configuration.routes
        if routes is None and (routes := await self._first_routes(request)) is None:
            await responder.respond(503, [(b"Retry-After", NO_TABLES_RETRY_AFTER)])
            return
        route = routes.find(request.host, path)
        if route is None:
            await self._answer_unrouted(responder)
        elif route.route_type is RouteType.BATCH_JOB:
            await self.batch.handle(request, responder, route)
        else:
            await self.live.handle(request, responder, route)

    async def _first_routes(self, request: ServerRequest) -> RouteTable | None:
        """Waits for the first tables; returns None if they do not come in time."""
        wait_s = min(FIRST_TABLES_WAIT_S, FIRST_TABLES_WAIT_FRACTION * request_timeout_s(request, None))
        with contextlib.suppress(TimeoutError):
            async with self.drain.timeout_at(self.clock() + wait_s):
                await self.configuration.received.wait()
        return self.configuration.routes

    async def _answer_unrouted(self, responder: Responder) -> None:
        """Answers 404, unless a configuration newer than the tables may have the route."""
        if self.freshness.may_be_stale():
            await refuse(responder, STALE_TABLES_RETRY_AFTER_S)
            return
        self.metrics.unrouted += 1
        await responder.respond(404, [])
