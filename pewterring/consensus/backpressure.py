"""Waits for free disk space: a write that is required to continue is retried until it succeeds."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from pewterring.consensus.errors import StorageFullError

# Interval between retries: short enough to use freed space soon; each retry costs one failed write.
DISK_FULL_RETRY_S = 0.2

_Result = TypeVar("_Result")


class DiskFullWarning:
    """Logs `disk_full_waiting` once for each wait, however often the write is retried."""

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._is_active = False

    def begin(self) -> None:
        """Begins a wait, and logs it unless one has begun already."""
        if not self._is_active:
            self._is_active = True
            logger.bind(event="disk_full_waiting", writer=self._writer).warning("Waiting for free disk space")

    def end(self) -> None:
        """Ends the wait; the next `begin` logs again."""
        self._is_active = False


async def retry_while_full(writer: str, work: Callable[[], Awaitable[_Result]]) -> _Result:
    """Repeats `work` until it no longer raises `StorageFullError`. Its writes must be idempotent.

    Without the retries, a member that restarted with an empty data folder on a disk filled by other files
    stopped at the first write to its log, and was missing when there was free space again.
    """
    warning = DiskFullWarning(writer)
    while True:
        try:
            return await work()
        except StorageFullError:
            warning.begin()
            await asyncio.sleep(DISK_FULL_RETRY_S)
