"""Answers batch calls at the store that leads a partition; at any other store it names the leader."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec
from loguru import logger

from pewterring.batch.commands import Accepted, AcceptJob, Closed, CloseJob, DropJobs, Listed, Outcome
from pewterring.batch.dispatch import batch_route
from pewterring.batch.errors import BatchError, LeadershipLost, NotTaken, OutcomeUnsure
from pewterring.batch.execution import ItemExecution
from pewterring.batch.log import PartitionLog
from pewterring.batch.messages import (
    EndJob,
    ItemBody,
    JobAccepted,
    JobEnded,
    JobRefused,
    NotLeading,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
    Unknown,
    Unsure,
)
from pewterring.batch.pages import ResultWaiters, result_page
from pewterring.batch.quota import QuotaLedger
from pewterring.batch.retention import jobs_to_drop
from pewterring.batch.state import BatchState, Clock, Job
from pewterring.distribution.tables import Tables
from pewterring.durations import MILLISECONDS_PER_SECOND

BatchCall = SubmitJob | ReadResults | ReadItem | EndJob
SubmitReply = JobAccepted | JobRefused | NotLeading | Unsure
BatchReply = SubmitReply | ResultPage | ItemBody | JobEnded | Unknown

DISK_FULL_RETRY_S = 0.5  # told to a client whose job does not fit now
NO_ROUTE_RETRY_S = 0.5
NO_ROOM_RETRY_S = 1.0  # jobs are forgotten each few seconds
DROP_PERIOD_S = 5.0
TAKE_OVER_RETRY_S = 0.05


class BatchService:
    """One partition's calls. Wire `leadership_changed` to the group and `tables_changed` to the feed."""

    def __init__(
        self,
        log: PartitionLog,
        state: BatchState,
        execution: ItemExecution,
        tables: Callable[[], Tables],
        clock: Clock,
        *,
        status_s: float,
        result_budget_bytes: int,
        most_state_bytes: int,
    ) -> None:
        self._log = log
        self._state = state
        self._execution = execution
        self._tables = tables
        self._clock = clock
        self._status_s = status_s
        self._result_budget_bytes = result_budget_bytes
        self._most_state_bytes = most_state_bytes
        self._quota = QuotaLedger(state.waiting_tokens)
        self._waiters = ResultWaiters()
        self._submissions: dict[str, asyncio.Task[SubmitReply]] = {}
        self._takeover: asyncio.Task[bool] | None = None
        self._drop_timer: asyncio.TimerHandle | None = None
        self._dropping: asyncio.Task[None] | None = None
        state.on_applied = self._applied

    # Leadership

    def leadership_changed(self, leading: bool) -> None:
        """Starts or stops running items."""
        self._stand_down()
        if leading:
            self._takeover = asyncio.get_running_loop().create_task(self._take_over())

    def tables_changed(self) -> None:
        """New tables are in place."""
        self._execution.tables_changed()

    def close(self) -> None:
        """Stops all that runs here."""
        self._stand_down()

    def _stand_down(self) -> None:
        self._execution.stop()
        self._waiters.wake_all()
        if self._takeover is not None:
            self._takeover.cancel()
            self._takeover = None
        if self._drop_timer is not None:
            self._drop_timer.cancel()
            self._drop_timer = None

    async def _take_over(self) -> bool:
        """Waits until all that earlier leaders committed is applied, then runs what is unfinished."""
        while self._log.is_leader:
            try:
                await self._log.read_barrier()
            except BatchError as error:
                logger.info("cannot take the partition over yet: {}", error)
                await asyncio.sleep(TAKE_OVER_RETRY_S)
                continue
            self._execution.start()
            self._plan_drop()
            return True
        return False

    async def _confirm_leading(self) -> None:
        """Returns where this store leads and its state holds all that is committed; else `LeadershipLost`."""
        if not self._log.is_leader or self._takeover is None:
            raise LeadershipLost("another store leads")
        if not self._takeover.done():
            await asyncio.wait([self._takeover])
        if self._takeover is None or self._takeover.cancelled() or not self._takeover.result():
            raise LeadershipLost("this store could not take over")
        if not self._log.has_lease(self._clock()):
            await self._log.read_barrier()

    # Calls

    async def handle(self, call: BatchCall) -> BatchReply:
        """Answers one call."""
        try:
            await self._confirm_leading()
            match call:
                case SubmitJob():
                    return await self._submit(call)
                case ReadResults():
                    return await self._read_results(call)
                case ReadItem():
                    return await self._read_item(call)
                case EndJob():
                    return await self._end(call)
        except (LeadershipLost, NotTaken):
            return NotLeading(leader=self._log.leader)
        except OutcomeUnsure:
            return Unsure()

    async def _submit(self, call: SubmitJob) -> SubmitReply:
        """A repeated call joins one that is on its way."""
        if self._state.job(call.job) is not None:
            return JobAccepted()
        task = self._submissions.get(call.job)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._accept(call))
            self._submissions[call.job] = task
            task.add_done_callback(lambda _: self._submissions.pop(call.job, None))
        return await asyncio.shield(task)

    def _has_room(self, call: SubmitJob) -> bool:
        bodies = sum(len(item.body) for item in call.items)
        return self._state.size_bytes + bodies <= self._most_state_bytes

    async def _accept(self, call: SubmitJob) -> SubmitReply:
        key = (call.host, call.path_prefix)
        route = batch_route(self._tables(), key)
        if route is None:
            return JobRefused(full=False, retry_after_s=NO_ROUTE_RETRY_S)
        tokens = sum(item.tokens for item in call.items)
        if not self._quota.fits(key, tokens, route.max_queued_tokens):
            return JobRefused(full=True, retry_after_s=DISK_FULL_RETRY_S)
        if not self._has_room(call):
            logger.warning("job {} is refused: the partition holds as much as the store can carry", call.job)
            return JobRefused(full=False, retry_after_s=NO_ROOM_RETRY_S)
        command = AcceptJob(call.job, call.host, call.path_prefix, call.items, call.age_ms)
        self._quota.begin(key, tokens)
        try:
            await self._log.propose(command)
        except NotTaken:
            return JobRefused(full=False, retry_after_s=NO_ROOM_RETRY_S)
        except LeadershipLost:
            return NotLeading(leader=self._log.leader)
        except OutcomeUnsure:
            return Unsure()
        finally:
            self._quota.end(key, tokens)
        return JobAccepted()

    async def _read_results(self, call: ReadResults) -> ResultPage | Unknown:
        if await self._known(call.job) is None:
            return Unknown()
        wait_s = call.wait_ms / MILLISECONDS_PER_SECOND
        await self._waiters.wait(call.job, wait_s, lambda: self._has_news(call))
        await self._confirm_leading()
        job = self._state.job(call.job)
        return Unknown() if job is None else result_page(job, call.after)

    def _has_news(self, call: ReadResults) -> bool:
        job = self._state.job(call.job)
        return job is None or job.finished or len(job.results) > call.after

    async def _read_item(self, call: ReadItem) -> ItemBody | Unknown:
        job = await self._known(call.job)
        item = None if job is None else job.items.get(call.item)
        return Unknown() if item is None else ItemBody(item.body)

    async def _end(self, call: EndJob) -> JobEnded | Unknown:
        submission = self._submissions.get(call.job)
        if submission is not None:
            await asyncio.wait([submission])
        job = await self._known(call.job)
        if job is None:
            return Unknown()
        if job.ended:
            return JobEnded()
        self._execution.end_job(call.job)
        outcome = await self._log.propose(CloseJob(call.job))
        return JobEnded() if isinstance(outcome, Closed) and outcome.known else Unknown()

    async def _known(self, job_id: str) -> Job | None:
        """The job; that there is none is said only after a read barrier."""
        job = self._state.job(job_id)
        if job is None:
            await self._log.read_barrier()
            job = self._state.job(job_id)
        return job

    # The state

    def _applied(self, outcome: Outcome) -> None:
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

    def _plan_drop(self) -> None:
        self._drop_timer = asyncio.get_running_loop().call_later(DROP_PERIOD_S, self._start_drop)

    def _start_drop(self) -> None:
        self._plan_drop()
        if self._dropping is None or self._dropping.done():
            self._dropping = asyncio.get_running_loop().create_task(self.drop_old_jobs())

    async def drop_old_jobs(self) -> None:
        """Forgets jobs whose time for reading has passed."""
        jobs = jobs_to_drop(self._state.jobs(), self._clock(), self._status_s, self._result_budget_bytes)
        if jobs:
            with contextlib.suppress(BatchError):
                await self._log.propose(DropJobs(jobs))


def batch_call(message: msgspec.Struct) -> BatchCall | None:
    """The message as a batch call, or None where it is something else."""
    return message if isinstance(message, BatchCall) else None
