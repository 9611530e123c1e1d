"""Messages of the table feed between the control leader and the gateways and stores, as JSON lines.

A node opens a session with `Subscribe` and receives `CompleteTables`. The leader then pushes `TableChanges`,
and the node renews the session with `Renew`. Programs of earlier versions ignore fields that later versions
add. Worker and node records are also written to the control log and its snapshots.
"""

from enum import StrEnum

import msgspec


class RegistrationState(StrEnum):
    """The state of a worker as control sees it.

    Records hold the state as a plain string, so that a state added by a later version does not end the
    session of a node that does not know it.
    """

    READY = "ready"
    DRAINING = "draining"  # finishes its requests in flight and accepts no new ones
    UNRESPONSIVE = "silent"  # the wire value; gateways that it still answers keep using it


ANSWER_TIMEOUT_S = 0.9  # a node takes an answer that takes longer for lost, and asks anew

# Values of `NodeRecord.program`; the third one, for control machines, is "control".
GATEWAY_PROGRAM = "gateway"
STORE = "store"  # a replica of batch partitions


class WorkerRecord(msgspec.Struct, frozen=True):
    """One registered incarnation of a worker."""

    id: str
    service: str
    address: str  # IP:port
    zone: str
    capacity: int
    state: str  # a `RegistrationState`
    models: tuple[str, ...] = ()


class NodeRecord(msgspec.Struct, frozen=True):
    """One running process of the serving tier."""

    node_id: str
    program: str  # `GATEWAY_PROGRAM`, `STORE` or "control"
    ip: str
    zone: str
    incarnation: str = msgspec.field(name="life")  # the wire's name; drawn at each start of the process
    member: str = ""  # member name in a replicated group, for stores and control machines
    decommissioning: bool = msgspec.field(default=False, name="retiring")  # the wire's name


class PlacementRecord(msgspec.Struct, frozen=True):
    """The replicated group of one batch partition, and its first voters; the group may change them later."""

    group: str
    voters: tuple[str, ...]


class GroupStatus(msgspec.Struct, frozen=True):
    """The status of a batch partition's replicated group, as its leader reports it."""

    group: str
    term: int
    commit: int
    leader: str  # member name
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    complete: tuple[str, ...]  # voters whose logs contain every committed entry


class TableVersions(msgspec.Struct, frozen=True):
    """The versions of all tables.

    `epoch` is the term of the control leader. Versions are comparable only within one epoch, except that of
    the configuration, which the operator assigns.
    """

    epoch: int = 0
    configuration: int = 0
    workers: int = 0
    nodes: int = 0


class Subscribe(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Opens a session. The reply is `Redirect` or `CompleteTables`.

    `configuration` is the fingerprint of the node's newest configuration, if that is large.
    """

    node: NodeRecord
    configuration: str = ""


class Redirect(msgspec.Struct, frozen=True, tag=True):
    """The reply of a machine that is not the leader. `leader` is the leader's IP, or empty if unknown."""

    leader: str


class CompleteTables(msgspec.Struct, frozen=True, tag="WholeTables"):  # the wire's name
    """All tables. `configuration` is the operator's JSON document.

    It is null if there is none yet, or if the node has named it in `Subscribe`.
    """

    versions: TableVersions
    configuration: msgspec.Raw
    workers: tuple[WorkerRecord, ...]
    nodes: tuple[NodeRecord, ...]
    placements: tuple[PlacementRecord, ...]
    groups: tuple[GroupStatus, ...]
    controls: tuple[str, ...]  # IPs of the control machines


class TableChanges(msgspec.Struct, frozen=True, tag=True):
    """The changes from `base` to `versions`; tables that did not change are null or empty."""

    base: TableVersions
    versions: TableVersions
    configuration: msgspec.Raw = msgspec.Raw(b"null")  # null: unchanged
    workers: tuple[WorkerRecord, ...] = ()  # new or changed
    workers_gone: tuple[str, ...] = ()  # ids of removed workers
    nodes: tuple[NodeRecord, ...] = ()  # new or changed
    nodes_gone: tuple[str, ...] = ()  # ids of removed nodes
    placements: tuple[PlacementRecord, ...] | None = None
    groups: tuple[GroupStatus, ...] | None = None
    controls: tuple[str, ...] | None = None


class Renew(msgspec.Struct, frozen=True, tag=True):
    """Renews the session and requests the current versions. The leader of a store group sets `status`."""

    node: NodeRecord
    status: GroupStatus | None = None


class Renewed(msgspec.Struct, frozen=True, tag=True):
    """The versions that were current when the leader answered; it answers only while its lease is valid."""

    versions: TableVersions


FEED_MESSAGES = (Subscribe, Redirect, CompleteTables, TableChanges, Renew, Renewed)
