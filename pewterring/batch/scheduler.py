"""Which item of the accepted jobs starts next, and what becomes of it. No I/O: the caller gives `now`.

Owns the queue of a partition's leader; what a new leader needs of it is rebuilt from the replicated state.

Jobs run by due time, the earliest first. A job that can no longer make its due time goes behind those that
can, and its items run until they may be given up. Within a job the largest items start first.
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

MIN_BACKOFF_S = 0.1  # after a worker refused or truncated an item; doubles at each attempt without progress
MAX_BACKOFF_S = 0.5  # keeps an item's wait short against the usual due time of seconds
INITIAL_RUN_S = 1.0  # of an item, before any was measured
SMOOTHING_FRACTION = 0.1  # of a new measurement in the average

ItemKey = tuple[str, str]  # job and item


class Failure(Enum):
    """Why an exchange brought no complete answer."""

    REFUSED = auto()  # the worker did not run the item, or could not be reached
    OTHER_VERSION = auto()  # 421 to an item that expects a version: not run, and the worker is well
    STALE = auto()  # an idle connection turned out closed: little is said of the worker
    TRUNCATED = auto()  # the answer ended early; what came is kept
    FAILED = auto()  # 500: a failed attempt
    IMPOSSIBLE = auto()  # 422: no worker can run it


@dataclass(slots=True, eq=False)
class QueuedItem:
    """One item that has no result yet, with what came of its text so far."""

    job: str
    route: RouteKey
    spec: ItemSpec
    events: list[str] = field(default_factory=list)  # data of complete events, in order
    last_event_id: str = ""
    failed_attempts: int = 0
    backoffs: int = 0
    last_worker: str = ""  # id of the worker that had it last
    started_at: float = 0.0

    @property
    def key(self) -> ItemKey:
        """Names the item among all jobs."""
        return self.job, self.spec.id

    @property
    def text(self) -> str:
        """The text of the result: data of all events in order."""
        return "\n".join(self.events)


@dataclass(frozen=True, slots=True)
class JobTerms:
    """What a job's route says of its items. Times are of the steady clock, in seconds."""

    due_at: float  # the job's completion target
    give_up_at: float  # its unfinished items end as dead letters then
    max_attempts: int  # failed attempts after which an item is a dead letter


@dataclass(slots=True, eq=False)
class _QueuedJob:
    """A job with items that have no result."""

    id: str
    route: RouteKey
    terms: JobTerms
    items: dict[str, QueuedItem]
    ready: list[QueuedItem]  # smallest first: the largest is taken from the end

    @property
    def order(self) -> tuple[float, str]:
        return self.terms.due_at, self.id


class _Backoff(NamedTuple):
    """An item that waits for its next attempt; orders by time, then by age."""

    until: float
    number: int  # distinct, so that items are never compared
    item: QueuedItem


class ItemScheduler:
    """Keeps all unfinished items of one partition's leader and says which start and which are given up."""

    def __init__(self) -> None:
        self._jobs: dict[str, _QueuedJob] = {}
        self._in_time: SortedDict = SortedDict()  # order -> job with ready items
        self._late: SortedDict = SortedDict()
        self._backing_off: list[_Backoff] = []
        self._expiries: list[tuple[float, str]] = []
        self._numbers = count()
        self._run_s = INITIAL_RUN_S

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._jobs

    def add_job(
        self,
        job_id: str,
        route: RouteKey,
        items: Iterable[ItemSpec],
        terms: JobTerms,
        failed_attempts: Mapping[str, int],
    ) -> None:
        """Queues the items of a job, unless it is queued. `failed_attempts` by item, of earlier leaders."""
        queued = {
            item.id: QueuedItem(job_id, route, item, failed_attempts=failed_attempts.get(item.id, 0))
            for item in items
        }
        if not queued or job_id in self._jobs:
            return
        ready = sorted(queued.values(), key=_tokens)
        job = _QueuedJob(job_id, route, terms, queued, ready)
        self._jobs[job_id] = job
        self._in_time[job.order] = job
        heapq.heappush(self._expiries, (terms.give_up_at, job_id))

    def end_job(self, job_id: str) -> None:
        """Forgets all items of a job."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._remove_ready(job)

    def clear(self) -> None:
        """Forgets everything except the average run time."""
        self._jobs.clear()
        self._in_time.clear()
        self._late.clear()
        self._backing_off.clear()
        self._expiries.clear()

    @property
    def has_ready(self) -> bool:
        """Whether any item could start now."""
        return bool(self._in_time) or bool(self._late)

    def routes(self) -> set[RouteKey]:
        """The routes of all jobs that have unfinished items."""
        return {job.route for job in self._jobs.values()}

    def next_deadline(self) -> float | None:
        """When `start` or `expire` next has something to do by the clock alone."""
        times = [heap[0][0] for heap in (self._backing_off, self._expiries) if heap]
        return min(times, default=None)

    def start(self, now: float, assign: Callable[[QueuedItem], bool]) -> list[QueuedItem]:
        """Starts items in order, those that `assign` finds a worker for.

        Where it finds none, the rest of that route waits: its items all go to the same workers.
        """
        self._release(now)
        self._move_late(now)
        started: list[QueuedItem] = []
        saturated: set[RouteKey] = set()
        for job in self._in_order():
            if job.route not in saturated and not self._start_items(job, now, assign, started):
                saturated.add(job.route)
        return started

    def items_to_start(self, now: float, slots: int) -> list[QueuedItem]:
        """Starts up to `slots` items, whatever their routes."""
        left = slots

        def assign(_item: QueuedItem) -> bool:
            nonlocal left
            left -= 1
            return left >= 0

        return self.start(now, assign)

    def on_progress(self, item: QueuedItem, event_id: str, data: str) -> None:
        """One complete event of a running item came."""
        item.events.append(data)
        item.last_event_id = event_id
        item.backoffs = 0

    def on_success(self, item: QueuedItem, now: float) -> bool:
        """A running item's answer is complete. False where its job has ended meanwhile."""
        self._run_s += SMOOTHING_FRACTION * (now - item.started_at - self._run_s)
        return self._finish(item)

    def on_failure(self, item: QueuedItem, failure: Failure, now: float) -> bool:
        """An exchange failed. True where the item can never succeed: the caller lists it as a dead letter."""
        job = self._job_of(item)
        if job is None:
            return False
        if item.events and not item.last_event_id:
            item.events.clear()  # events without ids cannot be continued: the run begins anew
        if failure is Failure.FAILED:
            item.failed_attempts += 1
        if failure is Failure.IMPOSSIBLE or item.failed_attempts >= max(1, job.terms.max_attempts):
            return self._finish(item)
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**item.backoffs)
        item.backoffs += 1
        heapq.heappush(self._backing_off, _Backoff(now + backoff_s, next(self._numbers), item))
        return False

    def expire(self, now: float) -> list[QueuedItem]:
        """Removes all items past the time after which they may be given up, running ones too."""
        expired: list[QueuedItem] = []
        while self._expiries and self._expiries[0][0] <= now:
            _, job_id = heapq.heappop(self._expiries)
            expired += self._take_job(job_id)
        return expired

    def take_route(self, route: RouteKey) -> list[QueuedItem]:
        """Removes all items of a route, running ones too."""
        jobs = [job.id for job in self._jobs.values() if job.route == route]
        return [item for job_id in jobs for item in self._take_job(job_id)]

    def _take_job(self, job_id: str) -> list[QueuedItem]:
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
        """The item's job, unless the item was removed meanwhile."""
        job = self._jobs.get(item.job)
        if job is None or job.items.get(item.spec.id) is not item:
            return None
        return job

    def _in_order(self) -> Iterator[_QueuedJob]:
        yield from list(self._in_time.values())
        yield from list(self._late.values())

    def _start_items(
        self,
        job: _QueuedJob,
        now: float,
        assign: Callable[[QueuedItem], bool],
        started: list[QueuedItem],
    ) -> bool:
        """Starts ready items of a job; whether all of them started."""
        while job.ready:
            item = job.ready[-1]
            if not assign(item):
                return False
            job.ready.pop()
            item.started_at = now
            started.append(item)
        self._remove_ready(job)
        return True

    def _release(self, now: float) -> None:
        """Items whose backoff is over are ready again, before all others of their job."""
        while self._backing_off and self._backing_off[0].until <= now:
            item = heapq.heappop(self._backing_off).item
            job = self._job_of(item)
            if job is None:
                continue
            job.ready.append(item)
            if job.order not in self._late:
                self._in_time[job.order] = job

    def _move_late(self, now: float) -> None:
        """Moves jobs that can no longer make their due time behind the others."""
        while self._in_time:
            order, job = self._in_time.peekitem(0)
            if order[0] - now >= self._run_s:
                return
            del self._in_time[order]
            self._late[order] = job

    def _remove_ready(self, job: _QueuedJob) -> None:
        self._in_time.pop(job.order, None)
        self._late.pop(job.order, None)


def _tokens(item: QueuedItem) -> int:
    return item.spec.tokens
