"""Serves the HTTP API of control for as long as it is wanted, with the server that gateways use too."""

import asyncio
import contextlib

from loguru import logger

from pewterring.node.settings import Address
from pewterring.transport.http_request import ServerLimits
from pewterring.transport.http_server import Handler, HttpServer

LIMITS = ServerLimits(
    max_header_bytes=64 * 1024, max_body_bytes=8 * 1024 * 1024, header_timeout_s=10.0, idle_timeout_s=30.0
)
OPEN_CALLS_GRACE_S = 1.0  # that open calls get at the end
CLOSING_CHECK_INTERVAL_S = 0.01
REBIND_INTERVAL_S = 0.5  # before the address is tried again


class ApiServer:
    """One listening address. Where it cannot be had, it is tried again."""

    def __init__(self, handler: Handler, address: Address, limits: ServerLimits = LIMITS) -> None:
        self._address = address
        self._server = HttpServer(handler, lambda: limits)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens; where the address is taken, it is tried again in the background."""
        if not await self._listen():
            self._task = asyncio.create_task(self._listen_in_the_end())

    async def stop(self) -> None:
        """Ends open calls, then the server."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._server.begin_drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OPEN_CALLS_GRACE_S):
                while self._server.requests_held:
                    await asyncio.sleep(CLOSING_CHECK_INTERVAL_S)
        await self._server.stop()

    async def _listen_in_the_end(self) -> None:
        while True:
            await asyncio.sleep(REBIND_INTERVAL_S)
            if await self._listen():
                return

    async def _listen(self) -> bool:
        try:
            await self._server.start(self._address.ip, self._address.port)
        except OSError as error:
            logger.error("cannot serve control at {}: {}", self._address, error)
            return False
        return True
