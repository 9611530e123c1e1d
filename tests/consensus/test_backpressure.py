"""Waits for free disk space: tried again until it fits, and logged once for each wait."""

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from pewterring.consensus.backpressure import DISK_FULL_RETRY_S, DiskFullWarning, retry_while_full
from pewterring.consensus.errors import StorageError, StorageFullError
from tests.consensus.virtual_time import run


@pytest.fixture
def warnings() -> Iterator[list[dict[str, Any]]]:
    """What each warning has bound."""
    bound: list[dict[str, Any]] = []
    sink = logger.add(lambda message: bound.append(message.record["extra"]), level="WARNING")
    yield bound
    logger.remove(sink)


def test_work_is_repeated_until_it_fits_and_logged_once(warnings: list[dict[str, Any]]) -> None:
    attempts: list[float] = []

    async def work() -> str:
        attempts.append(asyncio.get_running_loop().time())
        if len(attempts) < 4:
            raise StorageFullError("full")
        return "written"

    assert run(retry_while_full("group g", work)) == "written"
    assert attempts == pytest.approx([number * DISK_FULL_RETRY_S for number in range(4)])
    assert warnings == [{"event": "disk_full_waiting", "writer": "group g"}]


def test_another_error_is_not_waited_for(warnings: list[dict[str, Any]]) -> None:
    async def work() -> None:
        raise StorageError("the disk is gone")

    with pytest.raises(StorageError, match="the disk is gone"):
        run(retry_while_full("group g", work))
    assert warnings == []


def test_each_wait_is_logged(warnings: list[dict[str, Any]]) -> None:
    warning = DiskFullWarning("the store")
    for _ in range(2):
        warning.begin()
        warning.begin()
        warning.end()
    assert [bound["writer"] for bound in warnings] == ["the store"] * 2
