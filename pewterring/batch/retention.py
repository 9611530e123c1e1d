"""Decides which finished jobs a partition drops, and drops them periodically at its leader."""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass

from pewterring.batch.commands import DropJobs
from pewterring.batch.errors import BatchError
from pewterring.batch.log import PartitionLog
from pewterring.batch.state import BatchState, Clock, Job

RETENTION_MARGIN_S = 10.0  # added to the time for which results must be readable
DROP_PERIOD_S = 5.0  # jobs are kept for minutes, so dropping them a few seconds late costs little


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """How long a partition keeps finished jobs, and how many bytes of them."""

    status_s: float  # time after acceptance for which a job's results must be readable
    result_budget_bytes: int  # for finished jobs that their clients have not ended


def jobs_to_drop(jobs: Iterable[Job], now: float, limits: RetentionLimits) -> tuple[str, ...]:
    """Ids of the jobs to drop, out of those whose results need not be readable any more.

    Jobs that their clients have ended are all dropped. Of the others the oldest are dropped until the rest
    fits the budget. Jobs with unfinished items are never dropped.

    Args:
        jobs: All jobs of the partition, in the order of acceptance.
        now: The monotonic time.
        limits: How long and how much to keep.
    """
    retention_s = limits.status_s + RETENTION_MARGIN_S
    expired = [job for job in jobs if job.finished and now - job.accepted_at > retention_s]
    dropped = [job.id for job in expired if job.ended]
    not_ended = [job for job in expired if not job.ended]
    size_bytes = sum(job.size_bytes for job in not_ended)
    for job in not_ended:
        if size_bytes <= limits.result_budget_bytes:
            break
        size_bytes -= job.size_bytes
        dropped.append(job.id)
    return tuple(dropped)


class JobRetention:
    """Drops expired jobs while this store leads; `start` and `stop` follow the start and end of leadership.

    Owns a timer, and one task while a proposal is in flight. `stop` leaves that task to finish on its own.
    """

    def __init__(self, log: PartitionLog, state: BatchState, clock: Clock, limits: RetentionLimits) -> None:
        self._log = log
        self._state = state
        self._clock = clock
        self._limits = limits
        self._timer: asyncio.TimerHandle | None = None
        self._dropping: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts dropping expired jobs, for the first time after one period."""
        self._timer = asyncio.get_running_loop().call_later(DROP_PERIOD_S, self._on_timer)

    def stop(self) -> None:
        """Stops dropping jobs; a proposal in flight still finishes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def drop_expired_jobs(self) -> None:
        """Proposes to drop the jobs that have expired. A failed proposal is repeated in the next period."""
        jobs = jobs_to_drop(self._state.jobs(), self._clock(), self._limits)
        if jobs:
            with contextlib.suppress(BatchError):
                await self._log.propose(DropJobs(jobs))

    def _on_timer(self) -> None:
        self.start()
        if self._dropping is None or self._dropping.done():
            self._dropping = asyncio.get_running_loop().create_task(self.drop_expired_jobs())
