"""Decides which items of the accepted jobs start next, and tracks the outcome of each attempt.

There is no I/O here, and the caller passes the current time as `now`. The queue exists at the partition's
leader only; a new leader rebuilds it from the replicated state.

Jobs are ordered by due time, the earliest first. A job that can no longer meet its due time moves behind the
others, and its items still run until the job's give-up time. Within a job the largest items start first.
An item that fails repeatedly without progress starts after all others (deferred_items.py), and while the
attempts on a route mostly fail, its items start in random order (route_failures.py).
"""

import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import islice

from pewterring.batch.backoff import BackoffQueue
from pewterring.batch.deferred_items import DeferredItems
from pewterring.batch.items import DEFER_AFTER_ATTEMPTS, Failure, ItemKey, QueuedItem
from pewterring.batch.job_limits import JobLimits
from pewterring.batch.job_queue import JobQueue, QueuedJob
from pewterring.batch.messages import ItemSpec
from pewterring.batch.route_failures import RouteFailures
from pewterring.batch.state import RouteKey

INITIAL_RUN_S = 1.0  # assumed average run time of an item, until the first item has finished
SMOOTHING_FRACTION = 0.1  # weight of the latest run time in the moving average


class ItemScheduler:
    """Queues the unfinished items of a partition at its leader; decides which start and which to give up."""

    def __init__(self) -> None:
        self._jobs = JobQueue()
        self._backing_off = BackoffQueue()
        self._exhausted: dict[
            ItemKey, QueuedItem
        ] = {}  # with as many failed attempts as their limit, perhaps
        self._deferred = DeferredItems(lambda item: self._job_of(item) is not None)
        self._failures = RouteFailures()
        self._rng = random.Random(0)
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
        job = QueuedJob(job_id, route, limits, queued, ready)
        self._jobs.add(job)
        self._note_exhausted(job)

    def limits(self) -> Iterator[tuple[str, RouteKey, JobLimits]]:
        """The id, the route and the limits of each job."""
        for job in self._jobs:
            yield job.id, job.route, job.limits

    def set_limits(self, job_id: str, limits: JobLimits) -> None:
        """Replaces the limits of a job, which a newer configuration has changed."""
        job = self._jobs.get(job_id)
        if job is None or job.limits == limits:
            return
        self._jobs.set_limits(job, limits)
        self._note_exhausted(job)

    def end_job(self, job_id: str) -> None:
        """Removes a job with all its items."""
        self._jobs.remove(job_id)

    def clear(self) -> None:
        """Removes all jobs and items. The average run time is kept."""
        self._jobs.clear()
        self._backing_off.clear()
        self._exhausted.clear()
        self._deferred.clear()
        self._failures.clear()

    @property
    def has_ready(self) -> bool:
        """Whether any item could start now."""
        return self._jobs.has_ready or bool(self._deferred)

    def routes(self) -> set[RouteKey]:
        """The routes of all jobs that have unfinished items."""
        return {job.route for job in self._jobs}

    def next_deadline(self) -> float | None:
        """The earliest time at which `start` or `expire` has work because time has passed; None if never."""
        times = [self._jobs.next_expiry(), self._backing_off.next_deadline()]
        return min((each for each in times if each is not None), default=None)

    def start(self, now: float, assign: Callable[[QueuedItem], bool]) -> list[QueuedItem]:
        """Starts ready items in order, as long as `assign` finds a worker for them.

        If `assign` finds none for an item, no more items of that route start: all go to the same workers.
        """
        self._end_backoffs(now)
        self._jobs.move_late(now, self._average_run_s)
        started: list[QueuedItem] = []
        saturated: set[RouteKey] = set()
        for route in self._deferred.routes_with_turn(now):
            if not self._start_deferred(route, 1, now, assign, started):
                saturated.add(route)
        for route in sorted(self._failures.mostly_failing() - saturated):
            if not self._start_in_random_order(route, now, assign, started):
                saturated.add(route)
        for job in self._jobs.in_order():
            if job.route not in saturated and not self._start_items(job, now, assign, started):
                saturated.add(job.route)
        for route in self._deferred.routes():
            if route not in saturated:
                self._start_deferred(route, self._deferred.allowed_starts(route, now), now, assign, started)
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
        if event_id:
            item.has_progressed = True

    def on_success(self, item: QueuedItem, now: float) -> bool:
        """Records that a running item's answer is complete. Returns False if the item was removed before."""
        self._average_run_s += SMOOTHING_FRACTION * (now - item.started_at - self._average_run_s)
        self._failures.on_success(item.route)
        return self._finish(item)

    def on_failure(
        self,
        item: QueuedItem,
        failure: Failure,
        now: float,
        worker_was_full: bool = False,
        limits_known: bool = True,
    ) -> bool:
        """Records a failed attempt, after which the item backs off or is given up.

        Args:
            item: The item.
            failure: Why the attempt failed.
            now: Monotonic time.
            worker_was_full: Whether the worker is known to have had no capacity, which explains the failure.
            limits_known: Whether the limits are those in force. Otherwise an item that has reached its limit
                of failed attempts waits until `take_exhausted` is called.

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
        is_exhausted = item.failed_attempts >= job.limits.max_attempts
        if failure is Failure.IMPOSSIBLE or (is_exhausted and limits_known):
            return self._finish(item)
        if is_exhausted:
            self._exhausted[item.key] = item
        if item.count_fruitless(failure, worker_was_full) and item.fruitless_attempts <= DEFER_AFTER_ATTEMPTS:
            self._failures.on_failure(item.route)
        self._backing_off.add(item, now)
        return False

    def expire(self, now: float) -> list[QueuedItem]:
        """Removes and returns all items whose give-up time has passed, including running items."""
        return [item for job in self._jobs.pop_expired(now) for item in job.items.values()]

    def take_exhausted(self, is_running: Callable[[QueuedItem], bool]) -> list[QueuedItem]:
        """Removes and returns the items that have failed as often as their limits allow.

        Running items stay: the attempt may succeed, and if not, `on_failure` decides.
        """
        candidates = list(self._exhausted.values())
        self._exhausted.clear()
        return [item for item in candidates if not is_running(item) and self._finish_exhausted(item)]

    def remove_route(self, route: RouteKey) -> list[QueuedItem]:
        """Removes and returns all items of a route, including running items."""
        removed = [job for job in self._jobs if job.route == route]
        for job in removed:
            self.end_job(job.id)
        return [item for job in removed for item in job.items.values()]

    def _note_exhausted(self, job: QueuedJob) -> None:
        """Notes the items of a job that have failed as often as its limits allow."""
        for item in job.items.values():
            if item.failed_attempts >= job.limits.max_attempts:
                self._exhausted[item.key] = item

    def _finish_exhausted(self, item: QueuedItem) -> bool:
        """Removes an item that waits, if it has failed as often as its limits allow by now."""
        job = self._job_of(item)
        if job is None or item.failed_attempts < job.limits.max_attempts:
            return False
        if item in job.ready:
            job.ready.remove(item)
            self._jobs.readiness_changed(job)
        return self._finish(item)

    def _finish(self, item: QueuedItem) -> bool:
        job = self._job_of(item)
        if job is None:
            return False
        del job.items[item.spec.id]
        if not job.items:
            self.end_job(job.id)
        return True

    def _job_of(self, item: QueuedItem) -> QueuedJob | None:
        """The item's job, or None if the item was removed meanwhile."""
        job = self._jobs.get(item.job)
        if job is None or job.items.get(item.spec.id) is not item:
            return None
        return job

    def _start_items(
        self,
        job: QueuedJob,
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
            _note_start(item, now)
            started.append(item)
        self._jobs.readiness_changed(job)
        return True

    def _start_in_random_order(
        self,
        route: RouteKey,
        now: float,
        assign: Callable[[QueuedItem], bool],
        started: list[QueuedItem],
    ) -> bool:
        """Starts ready items of a route, of any job and size. Returns whether all of them started."""
        jobs = [job for job in self._jobs.in_order() if job.route == route]
        while jobs:
            job = self._rng.choice(jobs)
            index = self._rng.randrange(len(job.ready))
            item = job.ready[index]
            if not assign(item):
                return False
            del job.ready[index]
            _note_start(item, now)
            started.append(item)
            if not job.ready:
                jobs.remove(job)
                self._jobs.readiness_changed(job)
        return True

    def _start_deferred(
        self,
        route: RouteKey,
        limit: int,
        now: float,
        assign: Callable[[QueuedItem], bool],
        started: list[QueuedItem],
    ) -> bool:
        """Starts deferred items of a route, at most `limit`. Returns whether a worker was found for each."""
        for item in islice(self._deferred.ready(route), limit):
            if not assign(item):
                return False
            self._deferred.pop(route, now)
            _note_start(item, now)
            started.append(item)
        return True

    def _end_backoffs(self, now: float) -> None:
        """Makes items whose backoff is over ready again, ahead of the other items of their job.

        Items that have failed too often start after all others instead. Those that have reached their limit
        of failed attempts keep backing off until `take_exhausted` is called.
        """
        for item in self._backing_off.pop_due(now):
            job = self._job_of(item)
            if job is None:
                continue
            if item.key in self._exhausted:
                self._backing_off.add(item, now)
                continue
            if item.is_deferred:
                self._deferred.add(item, now)
                continue
            job.ready.append(item)
            self._jobs.readiness_changed(job)


def _tokens(item: QueuedItem) -> int:
    return item.spec.tokens


def _note_start(item: QueuedItem, now: float) -> None:
    item.started_at = now
    item.has_progressed = False
