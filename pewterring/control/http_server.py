"""The server of control's HTTP API, based on the HTTP server that gateways use too.

If the address is in use, for example by a process that is still shutting down, the member takes part in the
group without an API, and binding the address is retried until it succeeds.
"""

import asyncio
import contextlib

from loguru import logger

from pewterring.node.address import Address
from pewterring.transport.http_request import ServerLimits
from pewterring.transport.http_server import Handler, HttpServer

LIMITS = ServerLimits(
    max_header_bytes=64 * 1024, max_body_bytes=8 * 1024 * 1024, header_timeout_s=10.0, idle_timeout_s=30.0
)
OPEN_CALLS_GRACE_S = 1.0  # time at shutdown for open calls, each of which is answered within 0.9 s
REBIND_INTERVAL_S = 0.5  # between two attempts to bind the address


class ApiServer:
    """Listens at one address; a background task retries binding while the address is in use."""

    def __init__(self, handler: Handler, address: Address, limits: ServerLimits = LIMITS) -> None:
        self._address = address
        self._server = HttpServer(handler, lambda: limits)
        self._rebinding: asyncio.Task[None] | None = None

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return self._server.open_connections

    async def start(self) -> None:
        """Starts listening; if the address cannot be bound, retries in the background."""
        if not await self._listen():
            self._rebinding = asyncio.create_task(self._listen_until_bound())

    async def stop(self) -> None:
        """Waits at most `OPEN_CALLS_GRACE_S` for open calls to complete, then stops the server."""
        if self._rebinding is not None:
            self._rebinding.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._rebinding
        self._server.begin_drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OPEN_CALLS_GRACE_S):
                await self._server.wait_until_idle()
        await self._server.stop()

    async def _listen_until_bound(self) -> None:
        while True:
            await asyncio.sleep(REBIND_INTERVAL_S)
            if await self._listen():
                return

    async def _listen(self) -> bool:
        try:
            await self._server.start(self._address.ip, self._address.port)
        except OSError as error:
            logger.bind(event="control_api_bind_failed", address=str(self._address), error=str(error)).error(
                "Cannot bind the address of the control API; retrying."
            )
            return False
        return True
