"""The configuration that this gateway has in force: its routes, ranks, limits of clients and of connections.

Owned by the gateway program, which applies each configuration as the feed of tables brings it. Until the
first one there are no routes, and clients are held to no limit of the operator's.
"""

import asyncio

from pewterring.configuration.model import ClientLimits, Configuration
from pewterring.configuration.priority_ranks import PriorityRanks
from pewterring.configuration.route_table import RouteTable
from pewterring.transport.http_request import ServerLimits

NO_CONFIGURATION = Configuration(0, (), {}, ClientLimits())
# Before the operator's limits are known none of them may be held against a client.
UNKNOWN_LIMITS = ServerLimits(256 * 1024, 16 * 1024 * 1024, header_timeout_s=10.0, idle_timeout_s=60.0)
DEFAULT_MAX_CONNECTIONS = 60  # to a worker, where the operator gives no number


def server_limits(limits: ClientLimits) -> ServerLimits:
    """Converts the operator's limits into those of the HTTP server."""
    return ServerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


class ActiveConfiguration:
    """What requests are served by. `received` is set from the first configuration on."""

    def __init__(self) -> None:
        self.routes: RouteTable | None = None
        self.priority_ranks = PriorityRanks(NO_CONFIGURATION)
        self.limits = UNKNOWN_LIMITS
        self.received = asyncio.Event()
        self._services = NO_CONFIGURATION.services

    def apply(self, configuration: Configuration) -> None:
        """Puts a newer configuration in force."""
        self.routes = RouteTable(configuration)
        self.priority_ranks = PriorityRanks(configuration)
        self.limits = server_limits(configuration.limits)
        self._services = configuration.services
        self.received.set()

    def max_connections(self, service: str) -> int:
        """Returns how many connections may be open to one worker of a service."""
        known = self._services.get(service)
        return known.max_connections if known and known.max_connections else DEFAULT_MAX_CONNECTIONS
