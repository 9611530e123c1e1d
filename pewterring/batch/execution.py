"""Runs a partition's unfinished items from its leader: scheduler, dispatcher and runner joined on asyncio."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from loguru import logger

from pewterring.batch.commands import ItemFailures, JobResult
from pewterring.batch.dispatch import Dispatcher, ExchangeOutcome, batch_route
from pewterring.batch.messages import ItemResult
from pewterring.batch.results import ResultCommitter
from pewterring.batch.scheduler import Failure, ItemKey, ItemScheduler, QueuedItem
from pewterring.batch.state import BatchState, Clock, Job, RouteKey
from pewterring.configuration.model import Configuration
from pewterring.distribution.messages import WorkerRecord
from pewterring.distribution.tables import Tables
from pewterring.durations import MILLISECONDS_PER_SECOND

POLL_S = 0.1  # while items could start but find no worker, or the tables are not fresh
SHORTEST_WAIT_S = 0.01
ROUTE_GONE_S = (
    3.0  # a route must have been missing for so long, in fresh tables, before its items are given up
)

SUCCEEDED = "succeeded"
DEAD_LETTER = "dead_letter"

EventHandler = Callable[[str, str], None]  # id and data of one whole event


class ItemRunner(Protocol):
    """Runs an item at a worker."""

    async def run(self, item: QueuedItem, worker: WorkerRecord, on_event: EventHandler) -> Failure | None:
        """One exchange; None where the answer came whole. `on_event` is told each whole event as it comes."""


class ItemExecution:
    """Active while this store leads. All that it knows of items is rebuilt from the state at `start`."""

    def __init__(
        self,
        state: BatchState,
        dispatcher: Dispatcher,
        runner: ItemRunner,
        committer: ResultCommitter,
        tables: Callable[[], Tables],
        may_start: Callable[[float], bool],
        clock: Clock,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._runner = runner
        self._committer = committer
        self._tables = tables
        self._may_start = may_start
        self._clock = clock
        self._scheduler = ItemScheduler()
        self._active = False
        self._running: dict[ItemKey, asyncio.Task[Failure | None]] = {}
        self._placed: dict[ItemKey, WorkerRecord] = {}
        self._begun: set[QueuedItem] = set()  # running items whose exchange brought an event
        self._routeless: set[str] = set()  # jobs whose route is not in the tables
        self._gone_since: dict[RouteKey, float] = {}
        self._checked: Configuration | None = None  # all routes of items are in it
        self._timer: asyncio.TimerHandle | None = None
        self._pass_due = False

    @property
    def running(self) -> int:
        """Items at workers now."""
        return len(self._running)

    def start(self) -> None:
        """Queues all unfinished items of the state."""
        self.stop()
        self._active = True
        for job in self._state.jobs():
            self.add_job(job)
        self.wake()

    def stop(self) -> None:
        """Cancels all exchanges and forgets all items."""
        self._active = False
        for task in self._running.values():
            task.cancel()
        self._running.clear()
        self._scheduler.clear()
        self._committer.stop()
        self._routeless.clear()
        self._gone_since.clear()
        self._checked = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add_job(self, job: Job) -> None:
        """Queues a job's unfinished items."""
        if not self._active or job.finished:
            return
        route = batch_route(self._tables(), job.route)
        if route is None:
            self._routeless.add(job.id)
            return
        self._routeless.discard(job.id)
        self._scheduler.add_job(
            job.id,
            job.route,
            job.items.values(),
            due_at=job.accepted_at + route.completion_target_ms / MILLISECONDS_PER_SECOND,
            give_up_at=job.accepted_at + route.job_ttl_s,
            max_attempts=route.max_attempts,
            failed_attempts=job.failed_attempts,
        )
        self.wake()

    def end_job(self, job_id: str) -> None:
        """Stops a job's running items at once and forgets the others."""
        self._routeless.discard(job_id)
        self._scheduler.end_job(job_id)
        for key in [key for key in self._running if key[0] == job_id]:
            self._cancel(key)
        self.wake()

    def tables_changed(self) -> None:
        """Looks again at jobs without a route, and for free workers."""
        for job_id in tuple(self._routeless):
            job = self._state.job(job_id)
            if job is None or job.finished:
                self._routeless.discard(job_id)
            else:
                self.add_job(job)
        self.wake()

    def wake(self) -> None:
        """Starts what can be started, soon; many calls make one pass."""
        if self._active and not self._pass_due:
            self._pass_due = True
            asyncio.get_running_loop().call_soon(self._pass)

    def _pass(self) -> None:
        self._pass_due = False
        if not self._active:
            return
        now = self._clock()
        self._give_up(self._scheduler.expire(now))
        fresh = self._may_start(now)
        self._give_up_routes(now, fresh)
        if fresh:
            for item in self._scheduler.start(now, self._place):
                self._launch(item)
        self._set_timer(now, fresh)

    def _set_timer(self, now: float, fresh: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        deadline = self._scheduler.next_deadline()
        waits_s = [] if deadline is None else [max(SHORTEST_WAIT_S, deadline - now)]
        if self._scheduler.has_ready or self._gone_since or self._routeless:
            waits_s.append(POLL_S)
        if not fresh and waits_s:
            waits_s = [POLL_S]
        if waits_s:
            self._timer = asyncio.get_running_loop().call_later(min(waits_s), self._pass)

    # Running items

    def _place(self, item: QueuedItem) -> bool:
        worker = self._dispatcher.place(item, item.last_worker)
        if worker is None:
            return False
        self._placed[item.key] = worker
        return True

    def _launch(self, item: QueuedItem) -> None:
        worker = self._placed.pop(item.key)
        item.last_worker = worker.id
        task = asyncio.get_running_loop().create_task(self._run(item, worker))
        self._running[item.key] = task
        task.add_done_callback(partial(self._done, item))

    async def _run(self, item: QueuedItem, worker: WorkerRecord) -> Failure | None:
        return await self._runner.run(item, worker, partial(self._on_event, item))

    def _on_event(self, item: QueuedItem, event_id: str, data: str) -> None:
        self._scheduler.on_progress(item, event_id, data)
        if item not in self._begun:
            self._begun.add(item)
            self._dispatcher.first_event(item)
            self.wake()  # the worker may be able to read the next item now

    def _done(self, item: QueuedItem, task: "asyncio.Task[Failure | None]") -> None:
        self._begun.discard(item)
        if self._running.get(item.key) is task:
            del self._running[item.key]
        if task.cancelled():
            self._dispatcher.finished(item, ExchangeOutcome.CANCELLED)
            return
        error = task.exception()
        if error is not None:
            logger.opt(exception=error).error("running item {} failed", item.spec.id)
            failure: Failure | None = Failure.CUT
        else:
            failure = task.result()
        self._dispatcher.finished(item, _outcome(failure))
        if self._active:
            self._settle(item, failure)
            self.wake()

    def _settle(self, item: QueuedItem, failure: Failure | None) -> None:
        now = self._clock()
        if failure is None:
            if self._scheduler.on_success(item, now):
                self._list(item, SUCCEEDED, item.text)
        elif self._scheduler.on_failure(item, failure, now):
            self._list(item, DEAD_LETTER, "")
        elif failure is Failure.FAILED:
            # Answers a leader that is lost between two attempts: the next one goes on counting.
            self._committer.count_failures(ItemFailures(item.job, item.spec.id, item.failed_attempts))

    def _cancel(self, key: ItemKey) -> None:
        task = self._running.pop(key, None)
        if task is not None:
            task.cancel()

    def _list(self, item: QueuedItem, state: str, text: str) -> None:
        self._committer.add(JobResult(item.job, ItemResult(item.spec.id, state, text)))

    # Giving up

    def _give_up(self, items: list[QueuedItem]) -> None:
        for item in items:
            self._cancel(item.key)
            self._list(item, DEAD_LETTER, "")

    def _give_up_routes(self, now: float, fresh: bool) -> None:
        """Gives up items of routes that the configuration has not had for a while."""
        tables = self._tables()
        if tables.configuration is self._checked and not self._routeless:
            return
        if not fresh or tables.configuration is None:
            self._gone_since.clear()
            return
        gone = {route for route in self._routes() if batch_route(tables, route) is None}
        self._gone_since = {route: self._gone_since.get(route, now) for route in gone}
        for route in [route for route, since in self._gone_since.items() if now - since > ROUTE_GONE_S]:
            self._give_up(self._scheduler.take_route(route))
            self._give_up_routeless(route)
            del self._gone_since[route]
        self._checked = None if self._gone_since else tables.configuration

    def _routes(self) -> set[RouteKey]:
        jobs = (self._state.job(job_id) for job_id in self._routeless)
        return self._scheduler.routes() | {job.route for job in jobs if job is not None}

    def _give_up_routeless(self, route: RouteKey) -> None:
        for job_id in tuple(self._routeless):
            job = self._state.job(job_id)
            if job is None or job.route == route:
                self._routeless.discard(job_id)
            if job is not None and job.route == route:
                self._give_up([QueuedItem(job.id, route, spec) for spec in job.items.values()])


def _outcome(failure: Failure | None) -> ExchangeOutcome:
    match failure:
        case Failure.REFUSED:
            return ExchangeOutcome.REFUSED
        case Failure.STALE:
            return ExchangeOutcome.STALE
        case Failure.CUT:
            return ExchangeOutcome.CUT
        case _:
            return ExchangeOutcome.ANSWERED
