"""Decides which items of the accepted jobs start next, and tracks the outcome of each attempt.

There is no I/O here, and the caller passes the current time as `now`. The queue exists at the partition's
leader only; a new leader rebuilds it from the replicated state.

Jobs are ordered by due time, the earliest first. A job that can no longer meet its due time moves behind the
others, and its items still run until the job's give-up time. Within a job the largest items start first.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import count
from typing import NamedTuple

from sortedcontainers import SortedDict  # type: ignore[import-untyped]  # ships no type hints

from pewterring.batch.messages import ItemSpec
from pewterring.batch.state import RouteKey

MIN_BACKOFF_S = 0.1  # before an item's first retry; doubles with each attempt that makes no progress
MAX_BACKOFF_S = 0.5  # keeps the wait before a retry short compared with the usual due time of seconds
INITIAL_RUN_S = 1.0  # assumed average run time of an item, until the first item has finished
SMOOTHING_FRACTION = 0.1  # weight of the latest run time in the moving average

ItemKey = tuple[str, str]  # job id and item id


class Failure(Enum):
    """Why an attempt to run an item brought no complete answer."""

    REFUSED = auto()  # the worker did not run the item, or could not be reached
    OTHER_VERSION = auto()  # status 421 for an item that expects a version: not run; the worker is healthy
    STALE = auto()  # an idle connection turned out to be closed, which does not make the worker suspect
    TRUNCATED = auto()  # the answer ended early; the events received so far are kept
    FAILED = auto()  # status 500: counts as a failed attempt
    IMPOSSIBLE = auto()  # status 422: no worker can run the item


@dataclass(slots=True, eq=False)
class QueuedItem:
    """One item that has no result yet, with the part of its text received so far."""

    job: str
    route: RouteKey
    spec: ItemSpec
    events: list[str] = field(default_factory=list)  # data of the complete events received, in order
    last_event_id: str = ""
    failed_attempts: int = 0
    backoffs: int = 0  # consecutive attempts without progress
    last_worker: str = ""  # id of the worker of the latest attempt
    started_at: float = 0.0  # monotonic time at which the latest attempt started

    @property
    def key(self) -> ItemKey:
        """Identifies the item across all jobs."""
        return self.job, self.spec.id

    @property
    def text(self) -> str:
        """The text of the result: the data of all events in order, joined by newlines."""
        return "\n".join(self.events)


@dataclass(frozen=True, slots=True)
class JobLimits:
    """Deadlines and retry limit that a job's route sets for its items. Times are monotonic, in seconds."""

    due_at: float  # the time by which the job should be complete
    give_up_at: float  # the time at which the job's unfinished items become dead letters
    max_attempts: int  # the number of failed attempts after which an item becomes a dead letter


@dataclass(slots=True, eq=False)
class _QueuedJob:
    """A job that still has items without a result."""

    id: str
    route: RouteKey
    limits: JobLimits
    items: dict[str, QueuedItem]
    ready: list[QueuedItem]  # sorted by size, smallest first: items start from the end of the list

    @property
    def order(self) -> tuple[float, str]:
        """The key by which jobs are sorted: due time, then id."""
        return self.limits.due_at, self.id


class _Backoff(NamedTuple):
    """An item that waits for its next attempt. Sorts by time, then by insertion order."""

    until: float
    number: int  # unique, so that two items are never compared
    item: QueuedItem


class ItemScheduler:
    """Queues the unfinished items of a partition at its leader; decides which start and which to give up."""

    def __init__(self) -> None:
        self._jobs: dict[str, _QueuedJob] = {}
        # Jobs with ready items by their sort key: those that can still meet their due time, and the others.
        self._on_time: SortedDict = SortedDict()
        self._late: SortedDict = SortedDict()
        self._backing_off: list[_Backoff] = []  # heap
        self._expiries: list[tuple[float, str]] = []  # heap of give-up times and job ids
        self._backoff_numbers = count()
        self._average_run_s = INITIAL_RUN_S

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._jobs

    def add_job(
        self,
        job_id: str,
        route: RouteKey,
        items: Iterable[ItemSpec],
        limits: JobLimits,
        failed_attempts: Mapping[str, int],
    ) -> None:
        """Queues the items of a job. Does nothing if the job is queued already.

        Args:
            job_id: The id of the job.
            route: The route that the job was submitted to.
            items: The job's items that have no result.
            limits: The job's deadlines and retry limit.
            failed_attempts: By item id, the attempts that have failed so far, also under earlier leaders.
        """
        queued = {
            item.id: QueuedItem(job_id, route, item, failed_attempts=failed_attempts.get(item.id, 0))
            for item in items
        }
        if not queued or job_id in self._jobs:
            return
        ready = sorted(queued.values(), key=_tokens)
        job = _QueuedJob(job_id, route, limits, queued, ready)
        self._jobs[job_id] = job
        self._on_time[job.order] = job
        heapq.heappush(self._expiries, (limits.give_up_at, job_id))

    def end_job(self, job_id: str) -> None:
        """Removes a job with all its items."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._remove_from_order(job)

    def clear(self) -> None:
        """Removes all jobs and items. The average run time is kept."""
        self._jobs.clear()
        self._on_time.clear()
        self._late.clear()
        self._backing_off.clear()
        self._expiries.clear()

    @property
    def has_ready(self) -> bool:
        """Whether any item could start now."""
        return bool(self._on_time) or bool(self._late)

    def routes(self) -> set[RouteKey]:
        """The routes of all jobs that have unfinished items."""
        return {job.route for job in self._jobs.values()}

    def next_deadline(self) -> float | None:
        """The earliest time at which `start` or `expire` has work because time has passed; None if never."""
        times = [heap[0][0] for heap in (self._backing_off, self._expiries) if heap]
        return min(times, default=None)

    def start(self, now: float, assign: Callable[[QueuedItem], bool]) -> list[QueuedItem]:
        """Starts ready items in order, as long as `assign` finds a worker for them.

        If `assign` finds none for an item, no more items of that route start: all go to the same workers.
        """
        self._end_backoffs(now)
        self._move_late_jobs(now)
        started: list[QueuedItem] = []
        saturated: set[RouteKey] = set()
        for job in self._jobs_in_order():
            if job.route not in saturated and not self._start_items(job, now, assign, started):
                saturated.add(job.route)
        return started

    def items_to_start(self, now: float, slots: int) -> list[QueuedItem]:
        """Starts up to `slots` items of any routes."""
        remaining = slots

        def assign(_item: QueuedItem) -> bool:
            nonlocal remaining
            remaining -= 1
            return remaining >= 0

        return self.start(now, assign)

    def on_progress(self, item: QueuedItem, event_id: str, data: str) -> None:
        """Records a complete event that a running item has sent."""
        item.events.append(data)
        item.last_event_id = event_id
        item.backoffs = 0

    def on_success(self, item: QueuedItem, now: float) -> bool:
        """Records that a running item's answer is complete. Returns False if the item was removed before."""
        self._average_run_s += SMOOTHING_FRACTION * (now - item.started_at - self._average_run_s)
        return self._finish(item)

    def on_failure(self, item: QueuedItem, failure: Failure, now: float) -> bool:
        """Records a failed attempt, after which the item backs off or is given up.

        Returns:
            True if the item is given up: the caller lists it as a dead letter.
        """
        job = self._job_of(item)
        if job is None:
            return False
        if item.events and not item.last_event_id:
            item.events.clear()  # a stream without event ids cannot be resumed: the next attempt starts over
        if failure is Failure.FAILED:
            item.failed_attempts += 1
        if failure is Failure.IMPOSSIBLE or item.failed_attempts >= max(1, job.limits.max_attempts):
            return self._finish(item)
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**item.backoffs)
        item.backoffs += 1
        heapq.heappush(self._backing_off, _Backoff(now + backoff_s, next(self._backoff_numbers), item))
        return False

    def expire(self, now: float) -> list[QueuedItem]:
        """Removes and returns all items whose give-up time has passed, including running items."""
        expired: list[QueuedItem] = []
        while self._expiries and self._expiries[0][0] <= now:
            _, job_id = heapq.heappop(self._expiries)
            expired += self._remove_job(job_id)
        return expired

    def remove_route(self, route: RouteKey) -> list[QueuedItem]:
        """Removes and returns all items of a route, including running items."""
        jobs = [job.id for job in self._jobs.values() if job.route == route]
        return [item for job_id in jobs for item in self._remove_job(job_id)]

    def _remove_job(self, job_id: str) -> list[QueuedItem]:
        job = self._jobs.get(job_id)
        if job is None:
            return []
        self.end_job(job_id)
        return list(job.items.values())

    def _finish(self, item: QueuedItem) -> bool:
        job = self._job_of(item)
        if job is None:
            return False
        del job.items[item.spec.id]
        if not job.items:
            self.end_job(job.id)
        return True

    def _job_of(self, item: QueuedItem) -> _QueuedJob | None:
        """The item's job, or None if the item was removed meanwhile."""
        job = self._jobs.get(item.job)
        if job is None or job.items.get(item.spec.id) is not item:
            return None
        return job

    def _jobs_in_order(self) -> Iterator[_QueuedJob]:
        yield from list(self._on_time.values())
        yield from list(self._late.values())

    def _start_items(
        self,
        job: _QueuedJob,
        now: float,
        assign: Callable[[QueuedItem], bool],
        started: list[QueuedItem],
    ) -> bool:
        """Starts ready items of a job. Returns whether all of them started."""
        while job.ready:
            item = job.ready[-1]
            if not assign(item):
                return False
            job.ready.pop()
            item.started_at = now
            started.append(item)
        self._remove_from_order(job)
        return True

    def _end_backoffs(self, now: float) -> None:
        """Makes items whose backoff is over ready again, ahead of the other items of their job."""
        while self._backing_off and self._backing_off[0].until <= now:
            item = heapq.heappop(self._backing_off).item
            job = self._job_of(item)
            if job is None:
                continue
            job.ready.append(item)
            if job.order not in self._late:
                self._on_time[job.order] = job

    def _move_late_jobs(self, now: float) -> None:
        """Moves jobs that can no longer meet their due time behind the others."""
        while self._on_time:
            order, job = self._on_time.peekitem(0)
            if order[0] - now >= self._average_run_s:
                return
            del self._on_time[order]
            self._late[order] = job

    def _remove_from_order(self, job: _QueuedJob) -> None:
        self._on_time.pop(job.order, None)
        self._late.pop(job.order, None)


def _tokens(item: QueuedItem) -> int:
    return item.spec.tokens
