"""Commits results in groups: those that come while a proposal is on its way go into the next one."""

import asyncio

from loguru import logger

from pewterring.batch.commands import AddResults, JobResult
from pewterring.batch.errors import BatchError
from pewterring.batch.log import PartitionLog

MAX_GROUP_CHARACTERS = 256 * 1024  # of text in one command
RETRY_S = 0.1  # after a proposal without a known outcome


class ResultCommitter:
    """Proposes results while this store leads. What it drops when leadership ends runs again at the next."""

    def __init__(self, log: PartitionLog) -> None:
        self._log = log
        self._pending: list[JobResult] = []
        self._task: asyncio.Task[None] | None = None

    def add(self, result: JobResult) -> None:
        """Commits a result soon."""
        self._pending.append(result)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._commit())

    def stop(self) -> None:
        """Drops what is not proposed yet."""
        self._pending.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _commit(self) -> None:
        while self._pending:
            group = self._next_group()
            try:
                await self._log.propose(AddResults(tuple(group)))
            except BatchError as error:
                logger.info("{} results were not committed, to be tried again: {}", len(group), error)
                await asyncio.sleep(RETRY_S)
                continue
            del self._pending[: len(group)]
        self._task = None

    def _next_group(self) -> list[JobResult]:
        group: list[JobResult] = []
        room = MAX_GROUP_CHARACTERS
        for entry in self._pending:
            room -= len(entry.result.text)
            if group and room < 0:
                break
            group.append(entry)
        return group
