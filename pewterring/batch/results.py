"""Commits results and counts of failed attempts in batches, with one proposal in flight at a time.

Results that are added during a proposal go into the next one. What may go wrong: proposals fail while
leadership is lost or too many commands wait to be committed. Results then stay pending and are proposed
again; the commands are idempotent, so repeating one is harmless.
"""

import asyncio

from loguru import logger

from pewterring.batch.commands import AddResults, CountFailures, ItemFailures, JobResult
from pewterring.batch.errors import BatchError
from pewterring.batch.log import PartitionLog

MAX_BATCH_CHARACTERS = 256 * 1024  # of result texts in one command; keeps entries of the log small
COMMIT_RETRY_S = 0.1  # wait before a failed proposal is made again


class ResultCommitter:
    """Proposes results while this store leads. Items whose results are dropped by `stop` run again elsewhere.

    Owns one task, which runs while something is pending; `stop` cancels it.
    """

    def __init__(self, log: PartitionLog) -> None:
        self._log = log
        self._pending_results: list[JobResult] = []
        self._pending_failures: list[ItemFailures] = []
        self._task: asyncio.Task[None] | None = None
        self.is_failing = False  # the last proposal has failed

    def add(self, result: JobResult) -> None:
        """Schedules a result to be committed."""
        self._pending_results.append(result)
        self._wake()

    def count_failures(self, failures: ItemFailures) -> None:
        """Schedules an item's count of failed attempts to be committed."""
        self._pending_failures.append(failures)
        self._wake()

    def stop(self) -> None:
        """Drops all pending results and counts, and cancels a proposal in flight."""
        self._pending_results.clear()
        self._pending_failures.clear()
        self.is_failing = False
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _wake(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._commit())

    async def _commit(self) -> None:
        while self._pending_results or self._pending_failures:
            results, failures = self._next_batch(), tuple(self._pending_failures)
            try:
                if failures:
                    await self._log.propose(CountFailures(failures))
                    del self._pending_failures[: len(failures)]
                if results:
                    await self._log.propose(AddResults(results))
                    del self._pending_results[: len(results)]
                self.is_failing = False
            except BatchError as error:
                self.is_failing = True
                logger.bind(
                    event="results_commit_failed",
                    results=len(results),
                    failures=len(failures),
                    error=str(error),
                ).info("Results were not committed; they are proposed again.")
                await asyncio.sleep(COMMIT_RETRY_S)

    def _next_batch(self) -> tuple[JobResult, ...]:
        batch: list[JobResult] = []
        remaining = MAX_BATCH_CHARACTERS
        for entry in self._pending_results:
            remaining -= len(entry.result.text)
            if batch and remaining < 0:
                break
            batch.append(entry)
        return tuple(batch)
