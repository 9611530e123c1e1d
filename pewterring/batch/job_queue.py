"""The queued jobs of a partition, sorted by due time and by give-up time.

There is no I/O here, and the caller passes the current time as `now`, in seconds of a monotonic clock.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict  # type: ignore[import-untyped]  # ships no type hints

from pewterring.batch.items import QueuedItem
from pewterring.batch.job_limits import JobLimits
from pewterring.batch.state import RouteKey


@dataclass(slots=True, eq=False)
class QueuedJob:
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

    @property
    def expiry(self) -> tuple[float, str]:
        """The key by which jobs are given up: give-up time, then id."""
        return self.limits.give_up_at, self.id


class JobQueue:
    """The jobs by id, those with ready items in the order in which they start, and all by give-up time."""

    def __init__(self) -> None:
        self._jobs: dict[str, QueuedJob] = {}
        # Jobs with ready items by their sort key: those that can still meet their due time, and the others.
        self._on_time: SortedDict = SortedDict()
        self._late: SortedDict = SortedDict()
        self._expiries: SortedDict = SortedDict()  # only jobs that have a give-up time

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._jobs

    def __iter__(self) -> Iterator[QueuedJob]:
        return iter(tuple(self._jobs.values()))

    def get(self, job_id: str) -> QueuedJob | None:
        """The job with this id, or None if it is not queued."""
        return self._jobs.get(job_id)

    @property
    def has_ready(self) -> bool:
        """Whether any job has ready items."""
        return bool(self._on_time) or bool(self._late)

    def add(self, job: QueuedJob) -> None:
        """Adds a job."""
        self._jobs[job.id] = job
        self._add_to_order(job)
        self._add_expiry(job)

    def remove(self, job_id: str) -> QueuedJob | None:
        """Removes a job and returns it; None if it is not queued."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._remove_from_order(job)
            self._expiries.pop(job.expiry, None)
        return job

    def clear(self) -> None:
        """Removes all jobs."""
        self._jobs.clear()
        self._on_time.clear()
        self._late.clear()
        self._expiries.clear()

    def set_limits(self, job: QueuedJob, limits: JobLimits) -> None:
        """Replaces a job's limits, and sorts the job by the new ones."""
        self._remove_from_order(job)
        self._expiries.pop(job.expiry, None)
        job.limits = limits
        self._add_to_order(job)
        self._add_expiry(job)

    def readiness_changed(self, job: QueuedJob) -> None:
        """Notes that an item has been added to the job's ready items, or that one has been removed."""
        if not job.ready:
            self._remove_from_order(job)
        elif job.order not in self._late:
            self._add_to_order(job)

    def in_order(self) -> list[QueuedJob]:
        """The jobs with ready items, in the order in which their items start."""
        return [*self._on_time.values(), *self._late.values()]

    def move_late(self, now: float, run_s: float) -> None:
        """Moves jobs behind the others that can no longer meet their due time, if a run takes `run_s`."""
        while self._on_time:
            order, job = self._on_time.peekitem(0)
            if order[0] - now >= run_s:
                return
            del self._on_time[order]
            self._late[order] = job

    def next_expiry(self) -> float | None:
        """The earliest give-up time; None without one."""
        return self._expiries.peekitem(0)[0][0] if self._expiries else None

    def pop_expired(self, now: float) -> Iterator[QueuedJob]:
        """Removes and returns the jobs whose give-up time has passed."""
        while self._expiries:
            (give_up_at, job_id), job = self._expiries.peekitem(0)
            if give_up_at > now:
                return
            self.remove(job_id)
            yield job

    def _add_to_order(self, job: QueuedJob) -> None:
        if job.ready:
            self._on_time[job.order] = job

    def _remove_from_order(self, job: QueuedJob) -> None:
        self._on_time.pop(job.order, None)
        self._late.pop(job.order, None)

    def _add_expiry(self, job: QueuedJob) -> None:
        if job.limits.give_up_at < math.inf:
            self._expiries[job.expiry] = job
