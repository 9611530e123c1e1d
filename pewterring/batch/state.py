"""Replicated state of one batch partition: jobs, their items without a result, and results in order.

All replicas apply the same commands in the same order. Only the age of jobs is local: each replica counts it
from when it applied or loaded a job, so it is never more than the true age.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import assert_never

import msgspec

from pewterring.batch.commands import (
    Accepted,
    AcceptJob,
    AddResults,
    Closed,
    CloseJob,
    Command,
    Counted,
    CountFailures,
    DropJobs,
    Dropped,
    ItemFailures,
    JobResult,
    Listed,
    Outcome,
    decode_command,
)
from pewterring.batch.errors import InvalidSnapshotError
from pewterring.batch.messages import ItemResult, ItemSpec
from pewterring.durations import MILLISECONDS_PER_SECOND

RouteKey = tuple[str, str]  # host and path prefix
Clock = Callable[[], float]  # seconds of the steady clock


@dataclass(slots=True)
class Job:
    """One job. `items` are those without a result, with their bodies, in the order of submission."""

    id: str
    route: RouteKey
    accepted_at: float  # steady clock of this replica
    total: int
    items: dict[str, ItemSpec]
    results: list[ItemResult] = field(default_factory=list)
    ended: bool = False
    failed_attempts: dict[str, int] = field(default_factory=dict)  # of items without a result that failed

    @property
    def finished(self) -> bool:
        """Whether nothing of it is left to run."""
        return not self.items

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items without a result."""
        return sum(item.tokens for item in self.items.values())

    @property
    def size_bytes(self) -> int:
        """Bytes of the bodies and texts that it keeps."""
        bodies = sum(len(item.body) for item in self.items.values())
        return bodies + sum(len(result.text) for result in self.results)


class _StoredJob(msgspec.Struct, frozen=True):
    """A job in a snapshot. `age_ms` was its age when the snapshot was made."""

    id: str
    host: str
    path_prefix: str
    age_ms: float
    total: int
    items: tuple[ItemSpec, ...]
    results: tuple[ItemResult, ...]
    ended: bool
    failed_attempts: dict[str, int] = {}


class _Stored(msgspec.Struct, frozen=True):
    """A snapshot."""

    jobs: tuple[_StoredJob, ...]


class BatchState:
    """The state machine that the partition's replicated group applies commands to.

    `on_applied` is called after each command with what it changed, at every replica.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs: dict[str, Job] = {}
        self._waiting: defaultdict[RouteKey, int] = defaultdict(int)
        self._size_bytes = 0
        self.applied_index = 0
        self.on_applied: Callable[[Outcome], None] | None = None

    def job(self, job_id: str) -> Job | None:
        """The job of that id, if it is kept."""
        return self._jobs.get(job_id)

    @property
    def size_bytes(self) -> int:
        """Bytes of the bodies and texts of all jobs. Counted as they come and go: each submission asks."""
        return self._size_bytes

    def jobs(self) -> Iterator[Job]:
        """All jobs, in the order of acceptance."""
        return iter(self._jobs.values())

    def waiting_tokens(self, route: RouteKey) -> int:
        """Tokens of the route's items that have no result and whose jobs have not ended."""
        return self._waiting.get(route, 0)

    def apply(self, index: int, command: bytes) -> Outcome:
        """Applies the log's command at `index`.

        Raises:
            InvalidCommandError: The entry is no command; nothing has changed.
        """
        outcome = self._change(decode_command(command))
        self.applied_index = index
        if self.on_applied is not None:
            self.on_applied(outcome)
        return outcome

    def _change(self, command: Command) -> Outcome:
        match command:
            case AcceptJob():
                return self._accept(command)
            case AddResults():
                return self._add_results(command)
            case CountFailures():
                return self._count_failures(command)
            case CloseJob():
                return self._close(command)
            case DropJobs():
                return self._drop(command)
            case _:
                assert_never(command)

    def _accept(self, command: AcceptJob) -> Accepted:
        if command.job in self._jobs:
            return Accepted(command.job, new=False)
        items = {item.id: item for item in command.items}
        job = Job(
            id=command.job,
            route=(command.host, command.path_prefix),
            accepted_at=self._clock() - command.age_ms / MILLISECONDS_PER_SECOND,
            total=len(items),
            items=items,
        )
        self._keep(job)
        return Accepted(command.job, new=True)

    def _keep(self, job: Job) -> None:
        self._jobs[job.id] = job
        self._size_bytes += job.size_bytes
        self._count(job.route, job.waiting_tokens)

    def _count(self, route: RouteKey, tokens: int) -> None:
        self._waiting[route] += tokens
        if self._waiting[route] == 0:
            del self._waiting[route]

    def _add_results(self, command: AddResults) -> Listed:
        added = tuple((entry.job, entry.result.id) for entry in command.results if self._add_result(entry))
        return Listed(added)

    def _add_result(self, entry: JobResult) -> bool:
        job = self._jobs.get(entry.job)
        if job is None:
            return False
        item = job.items.pop(entry.result.id, None)
        if item is None:
            return False
        job.failed_attempts.pop(entry.result.id, None)
        job.results.append(entry.result)
        self._size_bytes += len(entry.result.text) - len(item.body)
        self._count(job.route, -item.tokens)
        return True

    def _count_failures(self, command: CountFailures) -> Counted:
        for entry in command.failures:
            self._count_item_failures(entry)
        return Counted()

    def _count_item_failures(self, entry: ItemFailures) -> None:
        """The higher count stays: an earlier leader's may be applied behind that of the next."""
        job = self._jobs.get(entry.job)
        if job is not None and entry.item in job.items:
            known = job.failed_attempts.get(entry.item, 0)
            job.failed_attempts[entry.item] = max(known, entry.failed_attempts)

    def _close(self, command: CloseJob) -> Closed:
        job = self._jobs.get(command.job)
        if job is None:
            return Closed(command.job, known=False)
        self._count(job.route, -job.waiting_tokens)
        self._size_bytes -= job.size_bytes
        job.items.clear()
        self._size_bytes += job.size_bytes
        job.failed_attempts.clear()
        job.ended = True
        return Closed(command.job, known=True)

    def _drop(self, command: DropJobs) -> Dropped:
        dropped = tuple(job_id for job_id in command.jobs if self._drop_one(job_id))
        return Dropped(dropped)

    def _drop_one(self, job_id: str) -> bool:
        job = self._jobs.pop(job_id, None)
        if job is None:
            return False
        self._count(job.route, -job.waiting_tokens)
        self._size_bytes -= job.size_bytes
        return True

    def snapshot(self) -> bytes:
        """The whole state as JSON."""
        now = self._clock()
        return msgspec.json.encode(_Stored(tuple(_store(job, now) for job in self._jobs.values())))

    def restore(self, data: bytes) -> None:
        """Replaces the state with that of a snapshot.

        Raises:
            InvalidSnapshotError: The bytes are no snapshot; the state is as before.
        """
        try:
            stored = msgspec.json.decode(data, type=_Stored)
        except msgspec.MsgspecError as error:
            raise InvalidSnapshotError(f"cannot read a snapshot of a batch partition: {error}") from error
        now = self._clock()
        self._jobs.clear()
        self._waiting.clear()
        self._size_bytes = 0
        for entry in stored.jobs:
            self._keep(_load(entry, now))


def _store(job: Job, now: float) -> _StoredJob:
    return _StoredJob(
        id=job.id,
        host=job.route[0],
        path_prefix=job.route[1],
        age_ms=(now - job.accepted_at) * MILLISECONDS_PER_SECOND,
        total=job.total,
        items=tuple(job.items.values()),
        results=tuple(job.results),
        ended=job.ended,
        failed_attempts=job.failed_attempts,
    )


def _load(stored: _StoredJob, now: float) -> Job:
    return Job(
        id=stored.id,
        route=(stored.host, stored.path_prefix),
        accepted_at=now - stored.age_ms / MILLISECONDS_PER_SECOND,
        total=stored.total,
        items={item.id: item for item in stored.items},
        results=list(stored.results),
        ended=stored.ended,
        failed_attempts=dict(stored.failed_attempts),
    )
