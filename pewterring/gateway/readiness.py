"""The internal HTTP server of a gateway: readiness for the load balancer, metrics for the scraper."""

from collections.abc import Callable

from pewterring.configuration.model import ClientLimits
from pewterring.gateway.active_configuration import server_limits
from pewterring.gateway.metrics import GatewayMetrics, GatewayState
from pewterring.node.address import Address
from pewterring.observability.metrics import CONTENT_TYPE, METRICS_PATH, render
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer

READY_PATH = "/v1/readyz"


class ReadinessServer:
    """Owns the server for readiness and metrics. `state` returns the values for the gauges of a scrape."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: GatewayMetrics,
        state: Callable[[], GatewayState],
        clock: Callable[[], float],
    ) -> None:
        self._is_ready = is_ready
        self._metrics = metrics
        self._state = state
        limits = server_limits(ClientLimits())
        self.http = HttpServer(self._handle, lambda: limits, clock)

    async def start(self, address: Address) -> None:
        """Opens the port.

        Raises:
            OSError: The address is not available.
        """
        await self.http.start(address.ip, address.port)

    async def stop(self) -> None:
        """Closes the port and its connections."""
        await self.http.stop()

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        path = request.target.partition("?")[0]
        if path == METRICS_PATH:
            text = render(self._metrics.families(self._state()))
            await responder.respond(200, [(b"Content-Type", CONTENT_TYPE.encode())], text)
        elif path == READY_PATH:
            await responder.respond(200 if self._is_ready() else 503, [])
        else:
            await responder.respond(404, [])
