"""Messages of the feed: from the control leader to gateways and stores, and their renewals, as JSON lines.

A node opens a session with `Subscribe`, is answered with `CompleteTables`, gets `TableChanges` pushed, and
renews the session with `Renew`. Fields that a later version adds are ignored by earlier ones. Worker and node
records are also entries of the control log and parts of its snapshots.
"""

from enum import StrEnum

import msgspec


class RegistrationState(StrEnum):
    """What control knows of a worker.

    Fields of records hold plain text, so that a state that a later version adds ends no session.
    """

    READY = "ready"
    DRAINING = "draining"  # it answers what it has and takes nothing new
    UNRESPONSIVE = "silent"  # the wire's name; a gateway that it answers goes on sending to it


# Programs of nodes; a control machine is "control".
GATEWAY_PROGRAM = "gateway"
STORE = "store"  # a replica of batch partitions


class WorkerRecord(msgspec.Struct, frozen=True):
    """One incarnation of a worker as registered."""

    id: str
    service: str
    address: str  # IP:port
    zone: str
    capacity: int
    state: str  # a `RegistrationState`
    models: tuple[str, ...] = ()


class NodeRecord(msgspec.Struct, frozen=True):
    """One running process of the tier."""

    node_id: str
    program: str  # `GATEWAY_PROGRAM`, `STORE` or "control"
    ip: str
    zone: str
    incarnation: str = msgspec.field(name="life")  # the wire's name; drawn at each start of the process
    member: str = ""  # name in a replicated group; a store's or control's
    decommissioning: bool = msgspec.field(default=False, name="retiring")  # the wire's name


class PlacementRecord(msgspec.Struct, frozen=True):
    """One batch partition: the group's name and its first voters, which the group itself changes later."""

    group: str
    voters: tuple[str, ...]


class GroupStatus(msgspec.Struct, frozen=True):
    """What the leader of a batch partition reports of its group."""

    group: str
    term: int
    commit: int
    leader: str  # member
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    complete: tuple[str, ...]  # voters whose logs hold every committed entry


class TableVersions(msgspec.Struct, frozen=True):
    """The versions of all tables.

    `epoch` is the control leader's term: versions compare within one epoch only, but for the configuration's,
    whose number is the operator's.
    """

    epoch: int = 0
    configuration: int = 0
    workers: int = 0
    nodes: int = 0


class Subscribe(msgspec.Struct, frozen=True, tag=True):
    """Opens a session. The answer is `Redirect` or `CompleteTables`."""

    node: NodeRecord


class Redirect(msgspec.Struct, frozen=True, tag=True):
    """The answer of a machine that is not the leader; `leader` is the leader's IP, or empty if unknown."""

    leader: str


class CompleteTables(msgspec.Struct, frozen=True, tag="WholeTables"):  # the wire's name
    """All tables. `configuration` is the operator's document as JSON, or null before the first."""

    versions: TableVersions
    configuration: msgspec.Raw
    workers: tuple[WorkerRecord, ...]
    nodes: tuple[NodeRecord, ...]
    placements: tuple[PlacementRecord, ...]
    groups: tuple[GroupStatus, ...]
    controls: tuple[str, ...]  # IPs of the control machines


class TableChanges(msgspec.Struct, frozen=True, tag=True):
    """What changed between `base` and `versions`; tables that did not change are null or empty."""

    base: TableVersions
    versions: TableVersions
    configuration: msgspec.Raw = msgspec.Raw(b"null")  # null: not changed
    workers: tuple[WorkerRecord, ...] = ()  # new or changed
    workers_gone: tuple[str, ...] = ()  # ids
    nodes: tuple[NodeRecord, ...] = ()  # new or changed
    nodes_gone: tuple[str, ...] = ()  # ids
    placements: tuple[PlacementRecord, ...] | None = None
    groups: tuple[GroupStatus, ...] | None = None
    controls: tuple[str, ...] | None = None


class Renew(msgspec.Struct, frozen=True, tag=True):
    """Renews the session and requests the current versions. A store that leads adds its group's status."""

    node: NodeRecord
    status: GroupStatus | None = None


class Renewed(msgspec.Struct, frozen=True, tag=True):
    """The versions that were current when the leader answered, its lease being valid."""

    versions: TableVersions


FEED_MESSAGES = (Subscribe, Redirect, CompleteTables, TableChanges, Renew, Renewed)
