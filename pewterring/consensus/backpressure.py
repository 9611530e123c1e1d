"""Waits for room on a full disk where a start has to write before it can go on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from pewterring.consensus.errors import StorageFullError

DISK_FULL_RETRY_S = 0.2  # before what found no room on the disk is tried again

_Result = TypeVar("_Result")


async def retry_while_full(what: str, work: Callable[[], Awaitable[_Result]]) -> _Result:
    """Does `work` until it finds room. What it writes must be repeatable after `StorageFullError`.

    Symptom answered: a member that came back with an empty disk, on which others' files had left no room for
    the first bytes of its log, ended instead of waiting, and was missing when there was room again.
    """
    has_warned = False
    while True:
        try:
            return await work()
        except StorageFullError:
            if not has_warned:
                logger.warning("{} waits for room on the disk", what)
            has_warned = True
            await asyncio.sleep(DISK_FULL_RETRY_S)
