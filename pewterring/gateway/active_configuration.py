"""The configuration this gateway currently applies: routes, priority ranks, client and connection limits.

The gateway program owns it and applies each configuration that the table feed delivers. Before the first
configuration there are no routes, and the default limits below apply to clients.
"""

import asyncio

from pewterring.configuration.model import ClientLimits, Configuration
from pewterring.configuration.priority_ranks import PriorityRanks
from pewterring.configuration.route_table import RouteTable
from pewterring.transport.http_request import ServerLimits

NO_CONFIGURATION = Configuration(0, (), {}, ClientLimits())
# Used until the operator's limits are known: no request may be rejected that those limits could allow.
INITIAL_LIMITS = ServerLimits(256 * 1024, 16 * 1024 * 1024, header_timeout_s=10.0, idle_timeout_s=60.0)
DEFAULT_MAX_CONNECTIONS = 60  # per worker, if the configuration does not set a limit


def server_limits(limits: ClientLimits) -> ServerLimits:
    """Converts the operator's client limits into limits of the HTTP server."""
    return ServerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


class ActiveConfiguration:
    """The configuration that requests are served with. `received` is set once the first one is applied."""

    def __init__(self) -> None:
        self.routes: RouteTable | None = None
        self.priority_ranks = PriorityRanks(NO_CONFIGURATION)
        self.limits = INITIAL_LIMITS
        self.received = asyncio.Event()
        self._services = NO_CONFIGURATION.services

    def apply(self, configuration: Configuration) -> None:
        """Replaces the current configuration with a newer one."""
        self.routes = RouteTable(configuration)
        self.priority_ranks = PriorityRanks(configuration)
        self.limits = server_limits(configuration.limits)
        self._services = configuration.services
        self.received.set()

    def max_connections(self, service: str) -> int:
        """Returns the maximum number of open connections to one worker of a service."""
        settings = self._services.get(service)
        return settings.max_connections if settings and settings.max_connections else DEFAULT_MAX_CONNECTIONS
