"""Commits results and counts of failed runs in batches: what comes during a proposal goes into the next one.

What may go wrong: proposals fail while leadership is lost or too much waits to be committed; results stay
pending and are proposed again, and idempotent commands make a repeat harmless.
"""

import asyncio

from loguru import logger

from pewterring.batch.commands import AddResults, CountFailures, ItemFailures, JobResult
from pewterring.batch.errors import BatchError
from pewterring.batch.log import PartitionLog

MAX_BATCH_CHARACTERS = 256 * 1024  # of text in one command: keeps entries of the log small
COMMIT_RETRY_S = 0.1  # after a proposal without a known outcome


class ResultCommitter:
    """Proposes results while this store leads. What it drops at the end of leadership runs again elsewhere.

    Owns one task, which lives while something is pending; `stop` cancels it.
    """

    def __init__(self, log: PartitionLog) -> None:
        self._log = log
        self._pending: list[JobResult] = []
        self._failures: list[ItemFailures] = []
        self._task: asyncio.Task[None] | None = None

    def add(self, result: JobResult) -> None:
        """Commits a result soon."""
        self._pending.append(result)
        self._wake()

    def count_failures(self, failures: ItemFailures) -> None:
        """Commits an item's count of failed runs soon."""
        self._failures.append(failures)
        self._wake()

    def stop(self) -> None:
        """Drops what is not proposed yet."""
        self._pending.clear()
        self._failures.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _wake(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._commit())

    async def _commit(self) -> None:
        while self._pending or self._failures:
            results, failures = self._next_batch(), tuple(self._failures)
            try:
                if failures:
                    await self._log.propose(CountFailures(failures))
                    del self._failures[: len(failures)]
                if results:
                    await self._log.propose(AddResults(results))
                    del self._pending[: len(results)]
            except BatchError as error:
                logger.bind(
                    event="results_commit_failed",
                    results=len(results),
                    failures=len(failures),
                    error=str(error),
                ).info("Results were not committed and are proposed again.")
                await asyncio.sleep(COMMIT_RETRY_S)

    def _next_batch(self) -> tuple[JobResult, ...]:
        batch: list[JobResult] = []
        remaining = MAX_BATCH_CHARACTERS
        for entry in self._pending:
            remaining -= len(entry.result.text)
            if batch and remaining < 0:
                break
            batch.append(entry)
        return tuple(batch)
