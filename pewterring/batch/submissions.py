"""Accepts jobs at the leader: checks route, quota and capacity, then commits the job.

Owns the proposals in flight and the quota that they reserve. What may go wrong: a job is rejected although
its route has quota left, because the partition is at the store's capacity or the tables are stale (the status
is 429 if the quota is exceeded, 503 otherwise), or the outcome of a proposal is unknown and the gateway
repeats the call.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from pewterring.batch.commands import AcceptJob
from pewterring.batch.dispatch import batch_route
from pewterring.batch.errors import CommandOutcomeUnknownError, CommandRefusedError, NotLeadingError
from pewterring.batch.log import PartitionLog
from pewterring.batch.messages import JobAccepted, JobRejected, NotLeading, OutcomeUnknown, SubmitJob
from pewterring.batch.quota import QuotaReservations
from pewterring.batch.state import BatchState
from pewterring.distribution.tables import Tables

SubmitReply = JobAccepted | JobRejected | NotLeading | OutcomeUnknown

# How long a client should wait before it submits a rejected job again (`retry_after_s`).
QUOTA_RETRY_S = 0.5  # the quota is exceeded: items finish within about this time
NO_ROUTE_RETRY_S = 0.5  # the route is missing: a configuration with the route may arrive soon
STALE_TABLES_RETRY_S = 0.3  # no current tables: another store may lead soon, or control is back
AT_CAPACITY_RETRY_S = 1.0  # the partition is at capacity: jobs are dropped every few seconds


class JobSubmissions:
    """Accepts the jobs submitted to one partition's leader.

    Owns one task for each proposal. The task continues if its caller disconnects; a repeated call joins it.
    """

    def __init__(
        self,
        log: PartitionLog,
        state: BatchState,
        tables: Callable[[], Tables],
        tables_bind: Callable[[], bool],
        max_state_bytes: int,
    ) -> None:
        self._log = log
        self._state = state
        self._tables = tables
        self._tables_bind = tables_bind
        self._max_state_bytes = max_state_bytes
        self._quota = QuotaReservations(state.waiting_tokens)
        self._pending: dict[str, asyncio.Task[SubmitReply]] = {}

    async def submit(self, call: SubmitJob) -> SubmitReply:
        """Commits a job. A repeated call joins the proposal in flight."""
        if self._state.job(call.job) is not None:
            return JobAccepted()
        task = self._pending.get(call.job)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._accept(call))
            self._pending[call.job] = task
            task.add_done_callback(lambda _: self._pending.pop(call.job, None))
        return await asyncio.shield(task)

    async def wait_for(self, job_id: str) -> None:
        """Waits until no proposal of this job is in flight."""
        task = self._pending.get(job_id)
        if task is not None:
            await asyncio.wait([task])

    async def _accept(self, call: SubmitJob) -> SubmitReply:
        rejection = self._rejection(call)
        return await self._commit(call) if rejection is None else rejection

    def _rejection(self, call: SubmitJob) -> JobRejected | None:
        """The reply if the job cannot be accepted now; None if it can."""
        if not self._tables_bind():
            logger.bind(event="job_rejected_for_stale_tables", job=call.job).info(
                "A job is rejected: control has not confirmed the tables, and a newer configuration may bind."
            )
            return JobRejected(over_quota=False, retry_after_s=STALE_TABLES_RETRY_S)
        key = (call.host, call.path_prefix)
        route = batch_route(self._tables(), key)
        if route is None:
            return JobRejected(over_quota=False, retry_after_s=NO_ROUTE_RETRY_S)
        if not self._quota.fits(key, _tokens(call), route.max_queued_tokens):
            return JobRejected(over_quota=True, retry_after_s=QUOTA_RETRY_S)
        body_bytes = sum(len(item.body) for item in call.items)
        if self._state.size_bytes + body_bytes > self._max_state_bytes:
            logger.bind(
                event="job_rejected_at_capacity",
                job=call.job,
                body_bytes=body_bytes,
                state_bytes=self._state.size_bytes,
                limit_bytes=self._max_state_bytes,
            ).warning("A job is rejected: the partition's state has reached the store's capacity.")
            return JobRejected(over_quota=False, retry_after_s=AT_CAPACITY_RETRY_S)
        return None

    async def _commit(self, call: SubmitJob) -> SubmitReply:
        """Proposes the job. Its tokens are reserved until the outcome is known."""
        with self._quota.reserved((call.host, call.path_prefix), _tokens(call)):
            try:
                await self._log.propose(
                    AcceptJob(call.job, call.host, call.path_prefix, call.items, call.age_ms)
                )
            except CommandRefusedError:
                return JobRejected(over_quota=False, retry_after_s=AT_CAPACITY_RETRY_S)
            except NotLeadingError:
                return NotLeading(leader=self._log.leader)
            except CommandOutcomeUnknownError:
                return OutcomeUnknown()
        return JobAccepted()


def _tokens(call: SubmitJob) -> int:
    return sum(item.tokens for item in call.items)
