"""Commands of a batch partition's replicated log, encoded as JSON, and the outcomes of applying them.

A command's tag is its type's name and is stored in logs on disk: a type that is renamed keeps its old tag.
"""

from dataclasses import dataclass

import msgspec

from pewterring.batch.errors import InvalidCommandError
from pewterring.batch.messages import ItemResult, ItemSpec


class AcceptJob(msgspec.Struct, frozen=True, tag=True):
    """Stores a job. `age_ms` is the time since the job was first sent, as far as its gateway knows."""

    job: str
    host: str
    path_prefix: str
    items: tuple[ItemSpec, ...]
    age_ms: float = 0.0


class JobResult(msgspec.Struct, frozen=True):
    """One result and the job that it belongs to."""

    job: str
    result: ItemResult


class AddResults(msgspec.Struct, frozen=True, tag=True):
    """Appends results to their jobs, in this order."""

    results: tuple[JobResult, ...]


class ItemFailures(msgspec.Struct, frozen=True):
    """The total number of an item's attempts that have failed at workers."""

    job: str
    item: str
    failed_attempts: int


class CountFailures(msgspec.Struct, frozen=True, tag=True):
    """Stores counts of failed attempts. Counts are absolute, so that a command applied twice counts once."""

    failures: tuple[ItemFailures, ...]


class CloseJob(msgspec.Struct, frozen=True, tag=True):
    """Ends a job: no more of its items run, and no more results are added."""

    job: str


class DropJobs(msgspec.Struct, frozen=True, tag=True):
    """Drops jobs whose results need not be readable any more."""

    jobs: tuple[str, ...]


Command = AcceptJob | AddResults | CountFailures | CloseJob | DropJobs

_decoder = msgspec.json.Decoder(Command)
_encoder = msgspec.json.Encoder()


def encode_command(command: Command) -> bytes:
    """Encodes a command for the log."""
    return _encoder.encode(command)


def decode_command(data: bytes | msgspec.Raw) -> Command:
    """Decodes a command from the log.

    Raises:
        InvalidCommandError: The bytes are not a command that this version knows.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InvalidCommandError(f"cannot read a command of a batch partition: {error}") from error


@dataclass(frozen=True, slots=True)
class Accepted:
    """`AcceptJob` was applied. `new` is False if the job was stored already."""

    job: str
    new: bool


@dataclass(frozen=True, slots=True)
class Listed:
    """`AddResults` was applied. `added` has the (job, item) pairs of the results that it added."""

    added: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Counted:
    """`CountFailures` was applied."""


@dataclass(frozen=True, slots=True)
class Closed:
    """`CloseJob` was applied. `known` is False if there is no such job."""

    job: str
    known: bool


@dataclass(frozen=True, slots=True)
class Dropped:
    """`DropJobs` was applied. `jobs` has the ids of the jobs that it dropped."""

    jobs: tuple[str, ...]


Outcome = Accepted | Listed | Counted | Closed | Dropped
