"""Waits for free disk space: what has to be written before work goes on is tried again until it fits."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from pewterring.consensus.errors import StorageFullError

# Often enough that space which was freed is used at once; an attempt on a full disk costs one failed write.
DISK_FULL_RETRY_S = 0.2

_Result = TypeVar("_Result")


class DiskFullWarning:
    """Logs `disk_full_waiting` once for each wait, however often the write is tried again."""

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._is_active = False

    def begin(self) -> None:
        """Logs the beginning of a wait."""
        if not self._is_active:
            self._is_active = True
            logger.bind(event="disk_full_waiting", writer=self._writer).warning("Waits for free disk space")

    def end(self) -> None:
        """Ends the wait: the next one is logged again."""
        self._is_active = False


async def retry_while_full(writer: str, work: Callable[[], Awaitable[_Result]]) -> _Result:
    """Repeats `work` until it finds free disk space. What it writes must be idempotent.

    Symptom answered: a member that came back with an empty disk, on which others' files had left no space for
    the first bytes of its log, ended instead of waiting, and was missing when there was space again.
    """
    warning = DiskFullWarning(writer)
    while True:
        try:
            return await work()
        except StorageFullError:
            warning.begin()
            await asyncio.sleep(DISK_FULL_RETRY_S)
