"""Waits for free disk space: the write is retried until it succeeds, and each wait is logged once."""

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
    """The extra fields of each logged warning."""
    fields: list[dict[str, Any]] = []
    sink = logger.add(lambda message: fields.append(message.record["extra"]), level="WARNING")
    yield fields
    logger.remove(sink)


def test_work_is_retried_until_it_succeeds_and_logged_once(warnings: list[dict[str, Any]]) -> None:
    attempts: list[float] = []

    async def work() -> str:
        attempts.append(asyncio.get_running_loop().time())
        if len(attempts) < 4:
            raise StorageFullError("full")
        return "written"

    assert run(retry_while_full("group g", work)) == "written"
    assert attempts == pytest.approx([number * DISK_FULL_RETRY_S for number in range(4)])
    assert warnings == [{"event": "disk_full_waiting", "writer": "group g"}]


def test_another_error_is_raised_at_once(warnings: list[dict[str, Any]]) -> None:
    async def work() -> None:
        raise StorageError("the disk has failed")

    with pytest.raises(StorageError, match="the disk has failed"):
        run(retry_while_full("group g", work))
    assert warnings == []


def test_each_wait_is_logged_once(warnings: list[dict[str, Any]]) -> None:
    warning = DiskFullWarning("the store")
    for _ in range(2):
        warning.begin()
        warning.begin()
        warning.end()
    assert [fields["writer"] for fields in warnings] == ["the store"] * 2
