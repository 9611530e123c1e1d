"""Submitting jobs at the leader: route, quota and capacity are checked, then the job is committed.

Owns the proposals that are on their way and the quota that they reserve. What may go wrong: a job is rejected
though its route has quota left, because the partition holds as much as the store can carry (429 is the
quota's status, 503 every other's), or the outcome of a proposal is unknown and the gateway repeats the call.
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

QUOTA_RETRY_S = 0.5  # for a client whose job exceeds the quota now: items finish within about this time
NO_ROUTE_RETRY_S = 0.5  # a configuration with the route may be on its way
AT_CAPACITY_RETRY_S = 1.0  # jobs are dropped each few seconds


class JobSubmissions:
    """The submissions of one partition's leader.

    Each proposal is a task of its own, which this object owns and which goes on when its caller is gone: a
    repeated call joins it.
    """

    def __init__(
        self, log: PartitionLog, state: BatchState, tables: Callable[[], Tables], max_state_bytes: int
    ) -> None:
        self._log = log
        self._state = state
        self._tables = tables
        self._max_state_bytes = max_state_bytes
        self._quota = QuotaReservations(state.waiting_tokens)
        self._pending: dict[str, asyncio.Task[SubmitReply]] = {}

    async def submit(self, call: SubmitJob) -> SubmitReply:
        """Commits a job; a repeated call joins the one that is on its way."""
        if self._state.job(call.job) is not None:
            return JobAccepted()
        task = self._pending.get(call.job)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._accept(call))
            self._pending[call.job] = task
            task.add_done_callback(lambda _: self._pending.pop(call.job, None))
        return await asyncio.shield(task)

    async def wait_for(self, job_id: str) -> None:
        """Returns once no submission of that job is on its way."""
        task = self._pending.get(job_id)
        if task is not None:
            await asyncio.wait([task])

    async def _accept(self, call: SubmitJob) -> SubmitReply:
        rejection = self._rejection(call)
        return await self._commit(call) if rejection is None else rejection

    def _rejection(self, call: SubmitJob) -> JobRejected | None:
        """Why the job cannot be accepted now; None where it can."""
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
            ).warning("A job is rejected: the partition holds as much as the store can carry.")
            return JobRejected(over_quota=False, retry_after_s=AT_CAPACITY_RETRY_S)
        return None

    async def _commit(self, call: SubmitJob) -> SubmitReply:
        """Proposes the job, with its tokens reserved until the outcome is known."""
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
