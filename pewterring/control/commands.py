"""Commands of the control group's log, as JSON (msgspec structs with a tag each), and their results.

A member that meets a command or a field that it doesn't know must stop: going on without it would let the
members' states diverge. Whoever adds a field to a record within a command therefore adds one to the command
as well, or a new command: records, which the feed shares, are read leniently.
"""

from dataclasses import dataclass

import msgspec

from pewterring.control.errors import InvalidCommandError
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord

# What msgspec's decoder raises: besides its own errors those of bad UTF-8 and of nesting that is too deep.
UNDECODABLE = (msgspec.MsgspecError, ValueError, RecursionError)


class _Command(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """What all commands have in common."""


class PutConfiguration(_Command, frozen=True):
    """Puts a checked configuration on top of version `base`. `digest` identifies the document."""

    base: int
    version: int
    digest: str
    document: msgspec.Raw


class PatchConfiguration(_Command, frozen=True):
    """Changes items of version `base`. `digest` identifies the patch as it was sent."""

    base: int
    version: int
    digest: str
    patch: msgspec.Raw


class PutWorker(_Command, frozen=True):
    """Adds or changes a worker; others at the same address are removed."""

    worker: WorkerRecord


class RemoveWorkers(_Command, frozen=True):
    """Removes workers. With `permanent` their ids never come back, also not by a late heartbeat."""

    ids: tuple[str, ...]
    permanent: bool = msgspec.field(default=False, name="for_good")  # the wire's name


class MarkWorkersUnresponsive(_Command, frozen=True, tag="SilenceWorkers"):  # the wire's name
    """Marks ready workers whose heartbeats are overdue. A heartbeat makes them ready again."""

    ids: tuple[str, ...]


class PutNodes(_Command, frozen=True):
    """Adds, changes and removes processes of the tier."""

    nodes: tuple[NodeRecord, ...] = ()
    removed_ids: tuple[str, ...] = msgspec.field(default=(), name="gone")  # the wire's name


class CreateGroup(_Command, frozen=True):
    """Places a batch partition, unless it has been placed."""

    placement: PlacementRecord


class StartDecommissioning(_Command, frozen=True, tag="SetRetiring"):  # the wire's name
    """Marks a store as to be emptied: no partition may keep a replica on it."""

    node_id: str
    member: str


class EndDecommissioning(_Command, frozen=True, tag="EndRetirement"):  # the wire's name
    """Notes that a store that is decommissioned holds no replica any more."""

    node_id: str


Command = (
    PutConfiguration
    | PatchConfiguration
    | PutWorker
    | RemoveWorkers
    | MarkWorkersUnresponsive
    | PutNodes
    | CreateGroup
    | StartDecommissioning
    | EndDecommissioning
)


_decoder: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)
_encoder = msgspec.json.Encoder()


def encode_command(command: Command) -> bytes:
    """The command as it is written to the log."""
    return _encoder.encode(command)


def decode_command(index: int, data: bytes) -> Command:
    """Reads the command of the log's entry `index`.

    Raises:
        InvalidCommandError: It is no command that this version knows.
    """
    try:
        return _decoder.decode(data)
    except UNDECODABLE as error:
        raise InvalidCommandError(
            f"entry {index} of the log is no command that this version knows: {error}"
        ) from error


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command is in force, or was before (`repeated`)."""

    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Conflict:
    """The configuration builds on a version that is not the current one."""

    current: int


@dataclass(frozen=True, slots=True)
class NotAbove:
    """The configuration's version is not above the current one."""

    current: int


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The configuration is so old that whether it was accepted is no longer known."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration that the patch would make is not valid."""

    reason: str


Result = Accepted | Conflict | NotAbove | OutcomeUnknown | Invalid
