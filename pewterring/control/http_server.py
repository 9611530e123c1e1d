"""Serves an ASGI application with hypercorn for as long as it is wanted."""

import asyncio
import contextlib
from typing import Any

from hypercorn.asyncio import serve
from hypercorn.config import Config
from loguru import logger

from pewterring.node.settings import Address

KEEP_ALIVE_S = 30.0
CLOSING_S = 1.0  # that open calls get at the end
REBIND_S = 0.5  # before the address is tried again


class HttpServer:
    """One listening address. Where it cannot be had, it is tried again."""

    def __init__(self, application: Any, address: Address) -> None:
        self._application = application
        self._address = address
        self._stopping = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts serving in the background."""
        self._task = asyncio.create_task(self._serve())

    async def stop(self) -> None:
        """Ends open calls, then the server."""
        self._stopping.set()
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        while not self._stopping.is_set():
            try:
                await serve(
                    self._application, self._config(), shutdown_trigger=self._stopping.wait, mode="asgi"
                )
            except OSError as error:
                logger.error("cannot serve control at {}: {}", self._address, error)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._stopping.wait(), REBIND_S)

    def _config(self) -> Config:
        config = Config()
        config.bind = [str(self._address)]
        config.errorlog = None
        config.accesslog = None
        config.include_date_header = False
        config.include_server_header = False
        config.keep_alive_timeout = KEEP_ALIVE_S
        config.graceful_timeout = CLOSING_S
        return config
