"""Commands of a batch partition's replicated log, as JSON, and what applying them returns.

A command's tag is its type's name, which stands in logs on disk: a type that is renamed keeps its old tag.
"""

from dataclasses import dataclass

import msgspec

from pewterring.batch.errors import InvalidCommandError
from pewterring.batch.messages import ItemResult, ItemSpec


class AcceptJob(msgspec.Struct, frozen=True, tag=True):
    """Keeps a job. `age_ms` is the time since it was first sent, as far as its gateway knows."""

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
    """Lists results, in this order."""

    results: tuple[JobResult, ...]


class ItemFailures(msgspec.Struct, frozen=True):
    """How many runs of an item have failed at workers, in total."""

    job: str
    item: str
    failed_attempts: int


class CountFailures(msgspec.Struct, frozen=True, tag=True):
    """Keeps counts of failed runs. A count is absolute, so that a command that comes twice counts once."""

    failures: tuple[ItemFailures, ...]


class CloseJob(msgspec.Struct, frozen=True, tag=True):
    """Ends a job: nothing more of it runs or is listed."""

    job: str


class DropJobs(msgspec.Struct, frozen=True, tag=True):
    """Drops jobs whose time for reading has passed."""

    jobs: tuple[str, ...]


Command = AcceptJob | AddResults | CountFailures | CloseJob | DropJobs

_decoder = msgspec.json.Decoder(Command)
_encoder = msgspec.json.Encoder()


def encode_command(command: Command) -> bytes:
    """Writes a command for the log."""
    return _encoder.encode(command)


def decode_command(data: bytes | msgspec.Raw) -> Command:
    """Reads a command of the log.

    Raises:
        InvalidCommandError: The bytes are no command that this version knows.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InvalidCommandError(f"cannot read a command of a batch partition: {error}") from error


@dataclass(frozen=True, slots=True)
class Accepted:
    """`AcceptJob` was applied. `new` is false where the job was there already."""

    job: str
    new: bool


@dataclass(frozen=True, slots=True)
class Listed:
    """`AddResults` was applied: the (job, item) pairs that were listed by it."""

    added: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Counted:
    """`CountFailures` was applied."""


@dataclass(frozen=True, slots=True)
class Closed:
    """`CloseJob` was applied. `known` is false where there is no such job."""

    job: str
    known: bool


@dataclass(frozen=True, slots=True)
class Dropped:
    """`DropJobs` was applied: the jobs that were there."""

    jobs: tuple[str, ...]


Outcome = Accepted | Listed | Counted | Closed | Dropped
