"""The front of a gateway: the HTTP server that clients connect to, with the operator's limits in force."""

from collections.abc import Callable

from pewterring.gateway.active_configuration import ActiveConfiguration
from pewterring.gateway.dispatch import Dispatcher
from pewterring.gateway.request_headers import request_timeout_s
from pewterring.node.address import Address
from pewterring.transport.http_request import RequestHead
from pewterring.transport.http_server import HttpServer


class Front:
    """Owns the clients' connections, and passes each request that was read completely to the dispatcher."""

    def __init__(
        self, configuration: ActiveConfiguration, dispatcher: Dispatcher, clock: Callable[[], float]
    ) -> None:
        self._configuration = configuration
        self.http = HttpServer(dispatcher.dispatch, lambda: configuration.limits, clock, self._timeout_s)

    @property
    def requests_in_flight(self) -> int:
        """Requests that were read completely and are not answered yet."""
        return self.http.requests_held

    @property
    def open_connections(self) -> int:
        """Connections of clients."""
        return self.http.open_connections

    async def start(self, address: Address) -> None:
        """Opens the port.

        Raises:
            OSError: The address cannot be had.
        """
        await self.http.start(address.ip, address.port)

    def begin_drain(self) -> None:
        """Closes each connection after its next answer from now on."""
        self.http.begin_drain()

    async def stop(self) -> None:
        """Closes the port and its connections."""
        await self.http.stop()

    def _timeout_s(self, head: RequestHead) -> float:
        """Returns how long a request's body may take, within the request's time (operators' page CONFIG)."""
        routes = self._configuration.routes
        route = routes.find(head.host, head.target.partition("?")[0]) if routes else None
        return request_timeout_s(head, route)
