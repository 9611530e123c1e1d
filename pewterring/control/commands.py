"""Commands of the control group's log, as JSON (msgspec structs tagged by class name), and their results."""

from dataclasses import dataclass

import msgspec

from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord


class PutConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Puts a checked configuration on top of version `base`. `digest` identifies the document."""

    base: int
    version: int
    digest: str
    document: msgspec.Raw


class PutWorker(msgspec.Struct, frozen=True, tag=True):
    """Adds or changes a worker; others at the same address go."""

    worker: WorkerRecord


class RemoveWorkers(msgspec.Struct, frozen=True, tag=True):
    """Removes workers. With `for_good` their ids never come back, also not by a late heartbeat."""

    ids: tuple[str, ...]
    for_good: bool = False


class PutNodes(msgspec.Struct, frozen=True, tag=True):
    """Adds, changes and removes processes of the tier."""

    nodes: tuple[NodeRecord, ...] = ()
    gone: tuple[str, ...] = ()  # node ids


class CreateGroup(msgspec.Struct, frozen=True, tag=True):
    """Places a batch partition, unless it has been placed."""

    placement: PlacementRecord


class SetRetiring(msgspec.Struct, frozen=True, tag=True):
    """Marks a store as to be emptied."""

    node_id: str
    member: str


class EndRetirement(msgspec.Struct, frozen=True, tag=True):
    """Notes that a retiring store holds nothing any more."""

    node_id: str


Command = PutConfiguration | PutWorker | RemoveWorkers | PutNodes | CreateGroup | SetRetiring | EndRetirement


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


Result = Accepted | Conflict | NotAbove | Untold
