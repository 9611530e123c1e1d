"""Runs the unfinished items of a partition at its leader, with the scheduler, the dispatcher and the runner.

Owns the tasks of running exchanges and the timer of the next scheduling pass. What may go wrong: no item
starts while the lease has expired or the tables are stale, or while no worker has capacity (dispatch.py).
For the same time no item is given up by a limit: another configuration may be in force (limit_updates.py).
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from loguru import logger

from pewterring.batch.commands import ItemFailures, JobResult
from pewterring.batch.dispatch import Dispatcher, ExchangeOutcome, batch_route
from pewterring.batch.given_up import GiveUpReason, log_given_up
from pewterring.batch.items import Failure, ItemKey, QueuedItem
from pewterring.batch.job_limits import limits_by_route
from pewterring.batch.limit_updates import LimitUpdates
from pewterring.batch.messages import ItemResult
from pewterring.batch.missing_routes import MissingRoutes
from pewterring.batch.results import ResultCommitter
from pewterring.batch.scheduler import ItemScheduler
from pewterring.batch.state import BatchState, Clock, Job, RouteKey
from pewterring.distribution.messages import WorkerRecord
from pewterring.distribution.tables import Tables

RECHECK_PERIOD_S = 0.1  # between passes while items find no free worker, or the lease or the tables are stale
MIN_TIMER_S = 0.01  # shortest delay of the timer, also for a deadline that has passed

# States of results in answers to clients.
SUCCEEDED = "succeeded"
DEAD_LETTER = "dead_letter"

EventHandler = Callable[[str, str], None]  # called with the id and the data of one complete event

_EXCHANGE_OUTCOMES = {
    Failure.UNREACHABLE: ExchangeOutcome.UNREACHABLE,
    Failure.NOT_SENT: ExchangeOutcome.CANCELLED,
    Failure.DECLINED: ExchangeOutcome.DECLINED,
    Failure.STALE: ExchangeOutcome.STALE,
    Failure.TRUNCATED: ExchangeOutcome.BROKEN,
    Failure.STALLED: ExchangeOutcome.STALLED,
    Failure.SERVER_ERROR: ExchangeOutcome.BROKEN,
}


class ItemRunner(Protocol):
    """Runs items at workers."""

    async def run(self, item: QueuedItem, worker: WorkerRecord, on_event: EventHandler) -> Failure | None:
        """Makes one attempt to run an item. `on_event` is called for each complete event of the answer.

        Returns:
            Why the attempt failed, or None if the answer is complete.
        """


@dataclass(frozen=True, slots=True)
class ExecutionEnvironment:
    """What the execution of items needs from its store."""

    dispatcher: Dispatcher
    runner: ItemRunner
    tables: Callable[[], Tables]
    may_start: Callable[[float], bool]  # whether the lease and the tables allow items to start at that time
    clock: Clock


class ItemExecution:
    """Schedules and runs items while this store leads. `start` rebuilds the queue from the replicated state.

    Owns one task for each running exchange; `stop` and `end_job` cancel them.
    """

    def __init__(
        self, state: BatchState, committer: ResultCommitter, environment: ExecutionEnvironment
    ) -> None:
        self._state = state
        self._committer = committer
        self._dispatcher = environment.dispatcher
        self._runner = environment.runner
        self._tables = environment.tables
        self._may_start = environment.may_start
        self._clock = environment.clock
        self._scheduler = ItemScheduler()
        self._limits = LimitUpdates(self._scheduler, state, environment.tables)
        self._missing_routes = MissingRoutes()
        self._active = False
        self._running: dict[ItemKey, asyncio.Task[Failure | None]] = {}
        self._assigned: dict[ItemKey, WorkerRecord] = {}
        self._producing: set[QueuedItem] = set()  # running items that have sent at least one event
        self._timer: asyncio.TimerHandle | None = None
        self._pass_due = False

    @property
    def running(self) -> int:
        """The number of items that run at workers now."""
        return len(self._running)

    def start(self) -> None:
        """Queues all unfinished items of the state."""
        self.stop()
        self._active = True
        for job in self._state.jobs():
            self.add_job(job)
        self.wake()

    def stop(self) -> None:
        """Cancels all exchanges and removes all items from the queue."""
        self._active = False
        for task in self._running.values():
            task.cancel()
        self._running.clear()
        self._scheduler.clear()
        self._committer.stop()
        self._missing_routes.clear()
        self._cancel_timer()

    def add_job(self, job: Job) -> None:
        """Queues a job's unfinished items."""
        if not self._active or job.finished:
            return
        route = batch_route(self._tables(), job.route)
        if route is None:
            self._missing_routes.job_ids.add(job.id)
            return
        self._missing_routes.job_ids.discard(job.id)
        limits = limits_by_route(route, job.accepted_at)
        self._scheduler.add_job(job.id, job.route, job.items.values(), limits, job.failed_attempts)
        self.wake()

    def end_job(self, job_id: str) -> None:
        """Cancels a job's running items at once and removes the others from the queue."""
        self._missing_routes.job_ids.discard(job_id)
        self._scheduler.end_job(job_id)
        for key in [key for key in self._running if key[0] == job_id]:
            self._cancel(key)
        self.wake()

    def tables_changed(self) -> None:
        """Queues jobs whose route is in the new tables, and takes the limits of the others from them."""
        for job_id in tuple(self._missing_routes.job_ids):
            job = self._state.job(job_id)
            if job is None or job.finished:
                self._missing_routes.job_ids.discard(job_id)
            else:
                self.add_job(job)
        self.wake()

    def wake(self) -> None:
        """Requests a scheduling pass in the next turn of the event loop; repeated calls share one pass."""
        if self._active and not self._pass_due:
            self._pass_due = True
            asyncio.get_running_loop().call_soon(self._run_pass)

    def _run_pass(self) -> None:
        self._pass_due = False
        if not self._active:
            return
        now = self._clock()
        may_give_up = self._may_give_up(now)
        if may_give_up:
            self._give_up_by_limits(now)
        self._give_up_missing_routes(now, may_give_up)
        if self._may_start(now):
            for item in self._scheduler.start(now, self._assign):
                self._launch(item)
        self._set_timer(now, may_give_up)

    def _set_timer(self, now: float, may_give_up: bool) -> None:
        self._cancel_timer()
        deadline = self._scheduler.next_deadline()
        waits_s = [] if deadline is None else [max(MIN_TIMER_S, deadline - now)]
        if self._scheduler.has_ready or self._missing_routes.any_missing:
            waits_s.append(RECHECK_PERIOD_S)
        if waits_s and not may_give_up:
            waits_s = [RECHECK_PERIOD_S]
        if waits_s:
            self._timer = asyncio.get_running_loop().call_later(min(waits_s), self._run_pass)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Running items

    def _assign(self, item: QueuedItem) -> bool:
        worker = self._dispatcher.assign(item, item.last_worker)
        if worker is None:
            return False
        self._assigned[item.key] = worker
        return True

    def _launch(self, item: QueuedItem) -> None:
        worker = self._assigned.pop(item.key)
        item.last_worker = worker.id
        task = asyncio.get_running_loop().create_task(self._run(item, worker))
        self._running[item.key] = task
        task.add_done_callback(partial(self._on_done, item))

    async def _run(self, item: QueuedItem, worker: WorkerRecord) -> Failure | None:
        return await self._runner.run(item, worker, partial(self._on_event, item))

    def _on_event(self, item: QueuedItem, event_id: str, data: str) -> None:
        self._scheduler.on_progress(item, event_id, data)
        if item not in self._producing:
            self._producing.add(item)
            self._dispatcher.first_event(item)
            self.wake()  # the worker may now have capacity for the next item's prefill

    def _on_done(self, item: QueuedItem, task: "asyncio.Task[Failure | None]") -> None:
        self._producing.discard(item)
        if self._running.get(item.key) is task:
            del self._running[item.key]
        if task.cancelled():
            self._dispatcher.finished(item, ExchangeOutcome.CANCELLED)
            return
        failure = _failure_of(item, task)
        outcome = ExchangeOutcome.ANSWERED
        if failure is not None:
            outcome = _EXCHANGE_OUTCOMES.get(failure, ExchangeOutcome.ANSWERED)
        worker_was_full = self._dispatcher.finished(item, outcome)
        if self._active:
            self._record_outcome(item, failure, worker_was_full)
            self.wake()

    def _record_outcome(self, item: QueuedItem, failure: Failure | None, worker_was_full: bool) -> None:
        now = self._clock()
        self._limits.apply()
        if failure is None:
            if self._scheduler.on_success(item, now):
                self._add_result(item, SUCCEEDED, item.text)
        elif self._scheduler.on_failure(item, failure, now, worker_was_full, self._may_give_up(now)):
            impossible = failure is Failure.IMPOSSIBLE
            self._give_up([item], GiveUpReason.IMPOSSIBLE if impossible else GiveUpReason.FAILED_ATTEMPTS)
        elif failure is Failure.FAILED:
            # The count is replicated so that the next leader continues it if this one fails before the retry.
            self._committer.count_failures(ItemFailures(item.job, item.spec.id, item.failed_attempts))

    def _cancel(self, key: ItemKey) -> None:
        task = self._running.pop(key, None)
        if task is not None:
            task.cancel()

    def _add_result(self, item: QueuedItem, state: str, text: str) -> None:
        self._committer.add(JobResult(item.job, ItemResult(item.spec.id, state, text)))

    # Giving up

    def _may_give_up(self, now: float) -> bool:
        """Whether the limits known here are those in force, and a decision by them can be committed now.

        One that waits for long could be listed when a newer configuration has raised the limit.
        """
        return self._may_start(now) and not self._committer.is_failing

    def _give_up_by_limits(self, now: float) -> None:
        self._limits.apply()
        self._give_up(self._scheduler.expire(now), GiveUpReason.EXPIRED)
        exhausted = self._scheduler.take_exhausted(lambda item: item.key in self._running)
        self._give_up(exhausted, GiveUpReason.FAILED_ATTEMPTS)

    def _give_up(self, items: list[QueuedItem], reason: GiveUpReason) -> None:
        log_given_up(items, reason, self._clock(), self._state, self._tables())
        for item in items:
            self._cancel(item.key)
            self._add_result(item, DEAD_LETTER, "")

    def _give_up_missing_routes(self, now: float, may_give_up: bool) -> None:
        """Gives up the items of routes that have been missing from the configuration for a while."""
        tables = self._tables()
        if not self._missing_routes.must_check(tables.configuration):
            return
        if not may_give_up:
            self._missing_routes.reset_times()
            return
        for route in self._missing_routes.find_removed(now, tables, self._routes()):
            self._give_up(self._scheduler.remove_route(route), GiveUpReason.ROUTE_REMOVED)
            self._give_up_jobs_without_route(route)

    def _routes(self) -> set[RouteKey]:
        jobs = (self._state.job(job_id) for job_id in self._missing_routes.job_ids)
        return self._scheduler.routes() | {job.route for job in jobs if job is not None}

    def _give_up_jobs_without_route(self, route: RouteKey) -> None:
        for job_id in tuple(self._missing_routes.job_ids):
            job = self._state.job(job_id)
            if job is None or job.route == route:
                self._missing_routes.job_ids.discard(job_id)
            if job is not None and job.route == route:
                items = [QueuedItem(job.id, route, spec) for spec in job.items.values()]
                self._give_up(items, GiveUpReason.ROUTE_REMOVED)


def _failure_of(item: QueuedItem, task: "asyncio.Task[Failure | None]") -> Failure | None:
    """How an attempt that was not cancelled ended. An error in the runner counts as a truncated answer."""
    error = task.exception()
    if error is None:
        return task.result()
    logger.opt(exception=error).bind(event="item_run_failed", job=item.job, item=item.spec.id).error(
        "Running an item failed in this store; it is attempted again."
    )
    return Failure.TRUNCATED
