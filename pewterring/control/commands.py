"""Commands of the control group's log, as JSON (tagged msgspec structs), and their results.

A member that reads a command or a field unknown to it must stop: if it continued, the members' states would
diverge. Decoding rejects unknown fields of commands, but ignores those of the records inside them, which the
feed uses too. A new field in a record therefore needs a new field in the command as well, or a new command.
"""

from dataclasses import dataclass

import msgspec

from pewterring.control.errors import InvalidCommandError
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord

# Errors raised by msgspec's decoder: its own, ValueError for invalid UTF-8, RecursionError for deep nesting.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


class _Command(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Base of all commands: a tagged struct that rejects unknown fields."""


class PutConfiguration(_Command, frozen=True):
    """Replaces version `base` by a validated configuration. `digest` identifies the document."""

    base: int
    version: int
    digest: str
    document: msgspec.Raw


class PatchConfiguration(_Command, frozen=True):
    """Applies a patch to version `base`. `digest` identifies the patch as it was sent."""

    base: int
    version: int
    digest: str
    patch: msgspec.Raw


class PutWorker(_Command, frozen=True):
    """Adds or changes a worker; another worker at the same address is removed."""

    worker: WorkerRecord


class RemoveWorkers(_Command, frozen=True):
    """Removes workers. With `permanent` their ids are never registered again, even by a late heartbeat."""

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
    """Places a batch partition, unless it was placed before."""

    placement: PlacementRecord


class StartDecommissioning(_Command, frozen=True, tag="SetRetiring"):  # the wire's name
    """Starts the decommissioning of a store: no partition may keep a replica on it."""

    node_id: str
    member: str


class EndDecommissioning(_Command, frozen=True, tag="EndRetirement"):  # the wire's name
    """Ends the decommissioning of a store that has no replica left."""

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
    """Encodes a command for the log."""
    return _encoder.encode(command)


def decode_command(index: int, data: bytes) -> Command:
    """Decodes the command in the log entry at `index`.

    Raises:
        InvalidCommandError: The entry is not a command known to this version.
    """
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidCommandError(
            f"log entry {index} is not a command known to this version: {error}"
        ) from error


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command is accepted; with `repeated` it changed nothing, usually because it was applied before."""

    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Conflict:
    """The configuration's base is not the current version."""

    current: int


@dataclass(frozen=True, slots=True)
class NotAbove:
    """The configuration's version is not above the current one."""

    current: int


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The configuration is so old that it is no longer known whether it was accepted."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration that would result from the patch is not valid."""

    reason: str


Result = Accepted | Conflict | NotAbove | OutcomeUnknown | Invalid
