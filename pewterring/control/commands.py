"""Commands of the control group's log, as JSON (msgspec structs tagged by class name), and their results.

A member that meets a command or a field that it doesn't know must stop: going on without it would let the
members' states drift apart. Whoever adds a field to a record within a command therefore adds one to the
command as well, or a new command: records, which the feed shares, are read leniently.
"""

from dataclasses import dataclass

import msgspec

from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord


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
    """Adds or changes a worker; others at the same address go."""

    worker: WorkerRecord


class RemoveWorkers(_Command, frozen=True):
    """Removes workers. With `for_good` their ids never come back, also not by a late heartbeat."""

    ids: tuple[str, ...]
    for_good: bool = False


class SilenceWorkers(_Command, frozen=True):
    """Marks ready workers that control does not hear any more. A heartbeat makes them ready again."""

    ids: tuple[str, ...]


class PutNodes(_Command, frozen=True):
    """Adds, changes and removes processes of the tier."""

    nodes: tuple[NodeRecord, ...] = ()
    gone: tuple[str, ...] = ()  # node ids


class CreateGroup(_Command, frozen=True):
    """Places a batch partition, unless it has been placed."""

    placement: PlacementRecord


class SetRetiring(_Command, frozen=True):
    """Marks a store as to be emptied."""

    node_id: str
    member: str


class EndRetirement(_Command, frozen=True):
    """Notes that a retiring store holds nothing any more."""

    node_id: str


Command = (
    PutConfiguration
    | PatchConfiguration
    | PutWorker
    | RemoveWorkers
    | SilenceWorkers
    | PutNodes
    | CreateGroup
    | SetRetiring
    | EndRetirement
)


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
class Untold:
    """The configuration is so old that whether it was taken is no longer known."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration that the patch would make is not valid."""

    reason: str


Result = Accepted | Conflict | NotAbove | Untold | Invalid
