"""Dispatches each client request by its route to the live handler or the batch handler, or rejects it.

Clients may connect before the first tables arrive, because all processes start at the same time; such a
request waits for them. A gateway that is disconnected from control may lack a new route that all others
serve. Clients do not retry after a 404, so it answers 503 while its tables may be stale.
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

# How long a request waits for the first tables, which arrive within a second or two after the start.
FIRST_TABLES_WAIT_S = 1.5
FIRST_TABLES_WAIT_FRACTION = 0.4  # largest part of a request's time-out to wait, leaving time for a retry
NO_TABLES_RETRY_AFTER = b"0.5"  # seconds, as a header value
STALE_TABLES_RETRY_AFTER_S = 0.1  # the retry may reach a gateway with newer tables


@dataclass(frozen=True, slots=True)
class TableFreshness:
    """The age of the tables, and the age from which they may lack a route that other gateways serve."""

    age_s: Callable[[], float]  # time since control last confirmed the tables
    max_age_s: Callable[[], float]

    def may_be_stale(self) -> bool:
        """Returns whether all other gateways may already apply a newer configuration."""
        return self.age_s() > self.max_age_s()


@dataclass(frozen=True, slots=True)
class Dispatcher:
    """Finds the route of each request and passes the request to its handler. Stateless."""

    configuration: ActiveConfiguration
    freshness: TableFreshness
    drain: Drain
    metrics: GatewayMetrics
    live: LiveHandler
    batch: BatchHandler
    clock: Callable[[], float]

    async def dispatch(self, request: ServerRequest, responder: Responder) -> None:
        """Answers one request, after waiting for the first tables if there are none."""
        path = request.target.partition("?")[0]
        if is_batch_call(request.method, path):
            await self.batch.handle(request, responder, None)
            return
        routes = self.configuration.routes
        if routes is None and (routes := await self._wait_for_routes(request)) is None:
            await responder.respond(503, [(b"Retry-After", NO_TABLES_RETRY_AFTER)])
            return
        route = routes.find(request.host, path)
        if route is None:
            await self._answer_unrouted(responder)
        elif route.route_type is RouteType.BATCH_JOB:
            await self.batch.handle(request, responder, route)
        else:
            await self.live.handle(request, responder, route)

    async def _wait_for_routes(self, request: ServerRequest) -> RouteTable | None:
        """Waits for the first routes; returns None if they do not arrive in time."""
        wait_s = min(FIRST_TABLES_WAIT_S, FIRST_TABLES_WAIT_FRACTION * request_timeout_s(request, None))
        with contextlib.suppress(TimeoutError):
            async with self.drain.timeout_at(self.clock() + wait_s):
                await self.configuration.received.wait()
        return self.configuration.routes

    async def _answer_unrouted(self, responder: Responder) -> None:
        """Answers 404, or 503 if a newer configuration may have the route."""
        if self.freshness.may_be_stale():
            await refuse(responder, STALE_TABLES_RETRY_AFTER_S)
            return
        self.metrics.unrouted += 1
        await responder.respond(404, [])
