"""Replicated state of one batch partition: jobs, their items without a result, and their results in order.

All replicas apply the same commands in the same order. Only the age of jobs is local: each replica counts it
from the time at which it applied or loaded the job, so it never exceeds the true age.
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
Clock = Callable[[], float]  # returns the monotonic time in seconds


@dataclass(slots=True)
class Job:
    """One job. `items` holds the items without a result, with their bodies, in the order of submission."""

    id: str
    route: RouteKey
    accepted_at: float  # monotonic time of this replica
    total: int  # number of items submitted
    items: dict[str, ItemSpec]
    results: list[ItemResult] = field(default_factory=list)
    ended: bool = False  # the client has ended the job: no more items run
    failed_attempts: dict[str, int] = field(default_factory=dict)  # by id of an item without a result

    @property
    def finished(self) -> bool:
        """Whether no item is left to run."""
        return not self.items

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items without a result."""
        return sum(item.tokens for item in self.items.values())

    @property
    def size_bytes(self) -> int:
        """Bytes of the item bodies and result texts that the job holds."""
        bodies = sum(len(item.body) for item in self.items.values())
        return bodies + sum(len(result.text) for result in self.results)


class _StoredJob(msgspec.Struct, frozen=True):
    """A job in a snapshot. `age_ms` is the job's age when the snapshot was made."""

    id: str
    host: str
    path_prefix: str
    age_ms: float
    total: int
    items: tuple[ItemSpec, ...]
    results: tuple[ItemResult, ...]
    ended: bool
    failed_attempts: dict[str, int] = {}


class _StoredState(msgspec.Struct, frozen=True):
    """A snapshot of the state."""

    jobs: tuple[_StoredJob, ...]


class BatchState:
    """The state machine to which the partition's replicated group applies commands.

    Attributes:
        applied_index: The log index of the last command applied.
        on_applied: Called at every replica after each command, with the command's outcome.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs: dict[str, Job] = {}
        self._waiting_by_route: defaultdict[RouteKey, int] = defaultdict(int)
        self._size_bytes = 0
        self.applied_index = 0
        self.on_applied: Callable[[Outcome], None] | None = None

    def job(self, job_id: str) -> Job | None:
        """The job with this id, or None if the state has no such job."""
        return self._jobs.get(job_id)

    @property
    def size_bytes(self) -> int:
        """Bytes of the bodies and texts of all jobs. A running total, because each submission reads it."""
        return self._size_bytes

    def jobs(self) -> Iterator[Job]:
        """All jobs, in the order of acceptance."""
        return iter(self._jobs.values())

    def waiting_tokens(self, route: RouteKey) -> int:
        """Tokens of the route's items that have no result and whose jobs have not ended."""
        return self._waiting_by_route.get(route, 0)

    def apply(self, index: int, command: bytes) -> Outcome:
        """Applies the command at log index `index` and returns its outcome.

        Raises:
            InvalidCommandError: The bytes are not a valid command; the state is unchanged.
        """
        outcome = self._apply_command(decode_command(command))
        self.applied_index = index
        if self.on_applied is not None:
            self.on_applied(outcome)
        return outcome

    def _apply_command(self, command: Command) -> Outcome:
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
        self._add_job(job)
        return Accepted(command.job, new=True)

    def _add_job(self, job: Job) -> None:
        self._jobs[job.id] = job
        self._size_bytes += job.size_bytes
        self._add_waiting_tokens(job.route, job.waiting_tokens)

    def _add_waiting_tokens(self, route: RouteKey, tokens: int) -> None:
        self._waiting_by_route[route] += tokens
        if self._waiting_by_route[route] == 0:
            del self._waiting_by_route[route]

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
        self._add_waiting_tokens(job.route, -item.tokens)
        return True

    def _count_failures(self, command: CountFailures) -> Counted:
        for entry in command.failures:
            self._count_item_failures(entry)
        return Counted()

    def _count_item_failures(self, entry: ItemFailures) -> None:
        """Keeps the higher count: a command of an earlier leader may be applied after its successor's."""
        job = self._jobs.get(entry.job)
        if job is not None and entry.item in job.items:
            known = job.failed_attempts.get(entry.item, 0)
            job.failed_attempts[entry.item] = max(known, entry.failed_attempts)

    def _close(self, command: CloseJob) -> Closed:
        job = self._jobs.get(command.job)
        if job is None:
            return Closed(command.job, known=False)
        self._add_waiting_tokens(job.route, -job.waiting_tokens)
        self._size_bytes -= job.size_bytes
        job.items.clear()
        self._size_bytes += job.size_bytes
        job.failed_attempts.clear()
        job.ended = True
        return Closed(command.job, known=True)

    def _drop(self, command: DropJobs) -> Dropped:
        dropped = tuple(job_id for job_id in command.jobs if self._drop_job(job_id))
        return Dropped(dropped)

    def _drop_job(self, job_id: str) -> bool:
        job = self._jobs.pop(job_id, None)
        if job is None:
            return False
        self._add_waiting_tokens(job.route, -job.waiting_tokens)
        self._size_bytes -= job.size_bytes
        return True

    def snapshot(self) -> bytes:
        """The whole state as JSON."""
        now = self._clock()
        return msgspec.json.encode(_StoredState(tuple(_stored_job(job, now) for job in self._jobs.values())))

    def restore(self, data: bytes) -> None:
        """Replaces the state with the state in a snapshot.

        Raises:
            InvalidSnapshotError: The bytes are not a valid snapshot; the state is unchanged.
        """
        try:
            stored = msgspec.json.decode(data, type=_StoredState)
        except msgspec.MsgspecError as error:
            raise InvalidSnapshotError(f"cannot read a snapshot of a batch partition: {error}") from error
        now = self._clock()
        self._jobs.clear()
        self._waiting_by_route.clear()
        self._size_bytes = 0
        for entry in stored.jobs:
            self._add_job(_loaded_job(entry, now))


def _stored_job(job: Job, now: float) -> _StoredJob:
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


def _loaded_job(stored: _StoredJob, now: float) -> Job:
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
