"""Serves the HTTP API of control for as long as it is wanted, with the server that gateways use too.

What may go wrong: the address is taken, such as by a process that still ends. Then the member takes part in
the group without an API, and the address is tried again until it can be had.
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
OPEN_CALLS_GRACE_S = 1.0  # for open calls at the end: each is answered within 0.9 s
REBIND_INTERVAL_S = 0.5  # before the address is tried again


class ApiServer:
    """One listening address, and the task that tries to have it."""

    def __init__(self, handler: Handler, address: Address, limits: ServerLimits = LIMITS) -> None:
        self._address = address
        self._server = HttpServer(handler, lambda: limits)
        self._rebinding: asyncio.Task[None] | None = None

    @property
    def open_connections(self) -> int:
        """Connections of callers that are open."""
        return self._server.open_connections

    async def start(self) -> None:
        """Listens; where the address is taken, it is tried again in the background."""
        if not await self._listen():
            self._rebinding = asyncio.create_task(self._listen_until_bound())

    async def stop(self) -> None:
        """Lets open calls end for `OPEN_CALLS_GRACE_S` at most, then ends the server."""
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
                "The address of the control API cannot be listened at; it is tried again."
            )
            return False
        return True
