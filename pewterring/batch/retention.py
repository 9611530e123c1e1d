"""Which finished jobs a partition drops, and the timer by which its leader drops them."""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass

from pewterring.batch.commands import DropJobs
from pewterring.batch.errors import BatchError
from pewterring.batch.log import PartitionLog
from pewterring.batch.state import BatchState, Clock, Job

RETENTION_MARGIN_S = 10.0  # beyond the time for which results must be readable
DROP_PERIOD_S = 5.0  # jobs are kept for minutes: a few seconds more cost little


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """How long and how much a partition keeps of jobs that are finished."""

    status_s: float  # results must be readable for so long after acceptance
    result_budget_bytes: int  # of finished jobs that their clients did not end


def jobs_to_drop(jobs: Iterable[Job], now: float, limits: RetentionLimits) -> tuple[str, ...]:
    """Jobs past the time for reading: ended ones at once, finished ones while all exceed the budget.

    Jobs with items that still run are never dropped. `jobs` come in the order of acceptance.
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
    """Drops expired jobs while this store leads: `start` and `stop` it with leadership.

    Owns a timer, and one task while a proposal is on its way; that one ends by itself.
    """

    def __init__(self, log: PartitionLog, state: BatchState, clock: Clock, limits: RetentionLimits) -> None:
        self._log = log
        self._state = state
        self._clock = clock
        self._limits = limits
        self._timer: asyncio.TimerHandle | None = None
        self._dropping: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Drops expired jobs from the next period on."""
        self._timer = asyncio.get_running_loop().call_later(DROP_PERIOD_S, self._on_timer)

    def stop(self) -> None:
        """Starts no further drop."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def drop_expired_jobs(self) -> None:
        """Proposes to drop the jobs that have expired; what fails is due again after the next period."""
        jobs = jobs_to_drop(self._state.jobs(), self._clock(), self._limits)
        if jobs:
            with contextlib.suppress(BatchError):
                await self._log.propose(DropJobs(jobs))

    def _on_timer(self) -> None:
        self.start()
        if self._dropping is None or self._dropping.done():
            self._dropping = asyncio.get_running_loop().create_task(self.drop_expired_jobs())
