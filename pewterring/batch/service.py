"""Answers batch calls at the store that leads a partition; other stores answer with the leader's name.

Owns the start of leadership (calls are answered only once all commands committed by earlier leaders are
applied) and the waits of long polls. What may go wrong: calls wait while leadership cannot be confirmed, and
end as `NotLeading` or `OutcomeUnknown`, after which gateways repeat them.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from loguru import logger

from pewterring.batch.commands import Accepted, Closed, CloseJob, Listed, Outcome
from pewterring.batch.errors import (
    BatchError,
    CommandOutcomeUnknownError,
    CommandRefusedError,
    NotLeadingError,
)
from pewterring.batch.execution import ItemExecution
from pewterring.batch.log import PartitionLog
from pewterring.batch.messages import (
    EndJob,
    ItemBody,
    JobEnded,
    NotFound,
    NotLeading,
    OutcomeUnknown,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from pewterring.batch.pages import ResultWaiters, result_page
from pewterring.batch.retention import JobRetention, RetentionLimits
from pewterring.batch.state import BatchState, Clock, Job
from pewterring.batch.submissions import JobSubmissions, SubmitReply
from pewterring.distribution.tables import Tables
from pewterring.durations import MILLISECONDS_PER_SECOND

BatchCall = SubmitJob | ReadResults | ReadItem | EndJob
BatchReply = SubmitReply | ResultPage | ItemBody | JobEnded | NotFound

LEADERSHIP_START_RETRY_S = 0.05  # wait before a failed read barrier is retried; well below a call's timeout


@dataclass(frozen=True, slots=True)
class ServiceEnvironment:
    """What a partition's service needs from its store."""

    tables: Callable[[], Tables]
    tables_bind: Callable[[], bool]  # whether no newer configuration than that of the tables can bind by now
    clock: Clock
    retention: RetentionLimits
    max_state_bytes: int  # limit on bodies and texts; jobs that would exceed it are rejected


class BatchService:
    """Answers the calls of one partition.

    The partition calls `leadership_changed` for its group, and the feed's tables arrive by `tables_changed`.
    Owns the task that starts leadership; `close` and the loss of leadership cancel it.
    """

    def __init__(
        self,
        log: PartitionLog,
        state: BatchState,
        execution: ItemExecution,
        environment: ServiceEnvironment,
    ) -> None:
        self._log = log
        self._state = state
        self._execution = execution
        self._clock = environment.clock
        self._submissions = JobSubmissions(
            log, state, environment.tables, environment.tables_bind, environment.max_state_bytes
        )
        self.retention = JobRetention(log, state, environment.clock, environment.retention)
        self._waiters = ResultWaiters()
        self._leadership_start: asyncio.Task[bool] | None = None
        state.on_applied = self._on_applied

    # Leadership

    def leadership_changed(self, leading: bool) -> None:
        """Starts running items when this store becomes the leader, and stops when it loses leadership."""
        self._stop_leading()
        if leading:
            self._leadership_start = asyncio.get_running_loop().create_task(self._start_leading())

    def tables_changed(self) -> None:
        """Notifies the execution of items that there are new tables."""
        self._execution.tables_changed()

    def close(self) -> None:
        """Stops running items and ends all waiting calls."""
        self._stop_leading()

    def _stop_leading(self) -> None:
        self._execution.stop()
        self._waiters.stop_waiting()
        if self._leadership_start is not None:
            self._leadership_start.cancel()
            self._leadership_start = None
        self.retention.stop()

    async def _start_leading(self) -> bool:
        """Waits until all commands committed by earlier leaders are applied, then runs unfinished items.

        Returns:
            Whether leadership has started; False if it was lost before.
        """
        while self._log.is_leader:
            try:
                await self._log.read_barrier()
            except BatchError as error:
                logger.bind(event="leadership_start_delayed", error=str(error)).info(
                    "Cannot confirm leadership of the partition yet; retrying."
                )
                await asyncio.sleep(LEADERSHIP_START_RETRY_S)
                continue
            self._execution.start()
            self.retention.start()
            return True
        return False

    async def _confirm_leading(self) -> None:
        """Waits until this store is confirmed to lead and its state has all committed commands.

        Raises:
            NotLeadingError: Another store leads, or this one could not confirm that it does.
        """
        if not self._log.is_leader or self._leadership_start is None:
            raise NotLeadingError("another store leads the partition")
        if not self._leadership_start.done():
            await asyncio.wait([self._leadership_start])
        started = self._leadership_start
        if started is None or started.cancelled() or not started.result():
            raise NotLeadingError("this store lost the leadership of the partition before it could answer")
        if not self._log.has_lease(self._clock()):
            await self._log.read_barrier()

    # Calls

    async def handle(self, call: BatchCall) -> BatchReply:
        """Answers one call. Errors of the log become replies after which the gateway can repeat the call."""
        try:
            await self._confirm_leading()
            match call:
                case SubmitJob():
                    return await self._submissions.submit(call)
                case ReadResults():
                    return await self._read_results(call)
                case ReadItem():
                    return await self._read_item(call)
                case EndJob():
                    return await self._end(call)
        except (NotLeadingError, CommandRefusedError):
            return NotLeading(leader=self._log.leader)
        except CommandOutcomeUnknownError:
            return OutcomeUnknown()

    async def _read_results(self, call: ReadResults) -> ResultPage | NotFound:
        if await self._find(call.job) is None:
            return NotFound()
        wait_s = call.wait_ms / MILLISECONDS_PER_SECOND
        await self._waiters.wait(call.job, wait_s, lambda: self._has_unread(call))
        await self._confirm_leading()
        job = self._state.job(call.job)
        return NotFound() if job is None else result_page(job, call.after)

    def _has_unread(self, call: ReadResults) -> bool:
        job = self._state.job(call.job)
        return job is None or job.finished or len(job.results) > call.after

    async def _read_item(self, call: ReadItem) -> ItemBody | NotFound:
        job = await self._find(call.job)
        item = None if job is None else job.items.get(call.item)
        return NotFound() if item is None else ItemBody(item.body)

    async def _end(self, call: EndJob) -> JobEnded | NotFound:
        await self._submissions.wait_for(call.job)
        job = await self._find(call.job)
        if job is None:
            return NotFound()
        if job.ended:
            return JobEnded()
        self._execution.end_job(call.job)
        outcome = await self._log.propose(CloseJob(call.job))
        return JobEnded() if isinstance(outcome, Closed) and outcome.known else NotFound()

    async def _find(self, job_id: str) -> Job | None:
        """The job, or None if it does not exist, which is confirmed by a read barrier."""
        job = self._state.job(job_id)
        if job is None:
            await self._log.read_barrier()
            job = self._state.job(job_id)
        return job

    # State changes

    def _on_applied(self, outcome: Outcome) -> None:
        match outcome:
            case Accepted(job=job_id, new=True):
                job = self._state.job(job_id)
                if job is not None:
                    self._execution.add_job(job)
            case Listed(added=added):
                for job_id in {job_id for job_id, _ in added}:
                    self._waiters.wake(job_id)
            case Closed(job=job_id):
                self._execution.end_job(job_id)
                self._waiters.wake(job_id)
            case _:
                pass


def batch_call(message: msgspec.Struct) -> BatchCall | None:
    """The message if it is a batch call, or None."""
    return message if isinstance(message, BatchCall) else None
