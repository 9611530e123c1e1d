"""The front of a gateway: the HTTP server for clients, which enforces the operator's client limits."""

from collections.abc import Callable

from pewterring.gateway.active_configuration import ActiveConfiguration
from pewterring.gateway.dispatch import Dispatcher
from pewterring.gateway.request_headers import request_timeout_s
from pewterring.node.address import Address
from pewterring.transport.http_request import RequestHead
from pewterring.transport.http_server import HttpServer


class Front:
    """Owns the connections of clients, and passes each completely received request to the dispatcher."""

    def __init__(
        self, configuration: ActiveConfiguration, dispatcher: Dispatcher, clock: Callable[[], float]
    ) -> None:
        self._configuration = configuration
        self.http = HttpServer(dispatcher.dispatch, lambda: configuration.limits, clock, self._timeout_s)

    @property
    def requests_in_flight(self) -> int:
        """Number of requests that were received completely and are not answered yet."""
        return self.http.requests_in_flight

    @property
    def open_connections(self) -> int:
        """Number of open connections of clients."""
        return self.http.open_connections

    async def start(self, address: Address) -> None:
        """Opens the port.

        Raises:
            OSError: The address is not available.
        """
        await self.http.start(address.ip, address.port)

    def begin_drain(self) -> None:
        """From now on closes each connection after its next answer."""
        self.http.begin_drain()

    async def stop(self) -> None:
        """Closes the port and all its connections."""
        await self.http.stop()

    def _timeout_s(self, head: RequestHead) -> float:
        """Returns how long receiving a request may take: its own time-out (see the CONFIG page)."""
        routes = self._configuration.routes
        route = routes.find(head.host, head.target.partition("?")[0]) if routes else None
        return request_timeout_s(head, route)
