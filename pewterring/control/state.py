"""The replicated state of the control group: a state machine without I/O, clock or randomness."""

from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.patch import apply_patch, parse_patch
from pewterring.control.commands import (
    Accepted,
    Command,
    Conflict,
    CreateGroup,
    EndRetirement,
    Invalid,
    NotAbove,
    PatchConfiguration,
    PutConfiguration,
    PutNodes,
    PutWorker,
    RemoveWorkers,
    Result,
    SetRetiring,
    SilenceWorkers,
    Untold,
)
from pewterring.distribution.messages import (
    DRAINING,
    READY,
    SILENT,
    STORE,
    NodeRecord,
    PlacementRecord,
    WorkerRecord,
)

REMEMBERED_VERSIONS = (
    2048  # digests kept of configurations that were taken; an older order gets no clear answer
)
REMEMBERED_DEPARTURES = 8192  # ids of workers kept after they left for good
NO_DOCUMENT = msgspec.Raw(b"null")


class InvalidSnapshot(Exception):
    """The bytes are not a snapshot of the control state, or one of a later version."""


class InvalidCommand(Exception):
    """An entry of the log is not a command, or one of a later version."""


class Retirement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A store that is to be emptied."""

    node_id: str
    member: str
    ended: bool = False


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole state, as JSON."""

    version: int
    document: msgspec.Raw
    taken: dict[int, str]  # version to digest, oldest first
    workers: tuple[WorkerRecord, ...]
    departed: tuple[str, ...]  # oldest first
    nodes: tuple[NodeRecord, ...]
    stores: tuple[NodeRecord, ...]
    placements: tuple[PlacementRecord, ...]
    retirements: tuple[Retirement, ...]
    forgotten: int = 0  # the newest version that was taken and whose digest is no longer kept


@dataclass(slots=True)
class StateChanges:
    """What changed since somebody last asked."""

    configuration: bool = False
    workers: set[str] = field(default_factory=set)  # ids, of removed ones too
    placements: bool = False
    retirements: bool = False


_commands: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)
_snapshots = msgspec.json.Decoder(Snapshot)
_encoder = msgspec.json.Encoder()
_UNDECODABLE = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
)  # what the decoder raises, also for bad UTF-8


def encode_command(command: Command) -> bytes:
    """The command as it stands in the log."""
    return _encoder.encode(command)


class ControlState:
    """Configuration, workers, nodes, placements and retirements. `on_change` is called after each change."""

    def __init__(self, on_change: Callable[[], None] | None = None) -> None:
        self.version = 0
        self.document = NO_DOCUMENT
        self._on_change = on_change
        self._taken: dict[int, str] = {}
        self._forgotten = 0
        self._workers: dict[str, WorkerRecord] = {}
        self._by_address: dict[str, str] = {}
        self._departed: dict[str, None] = {}
        self._nodes: dict[str, NodeRecord] = {}
        self._stores: dict[str, NodeRecord] = {}
        self._placements: dict[str, PlacementRecord] = {}
        self._retirements: dict[str, Retirement] = {}
        self._changes = StateChanges()
        self._handlers: dict[type, Callable[[Any], Result]] = {
            PutConfiguration: self._put_configuration,
            PatchConfiguration: self._patch_configuration,
            PutWorker: self._put_worker,
            RemoveWorkers: self._remove_workers,
            SilenceWorkers: self._silence_workers,
            PutNodes: self._put_nodes,
            CreateGroup: self._create_group,
            SetRetiring: self._set_retiring,
            EndRetirement: self._end_retirement,
        }

    @property
    def workers(self) -> Mapping[str, WorkerRecord]:
        """Workers by id. The mapping stays the same object and is changed in place."""
        return self._workers

    @property
    def departed(self) -> Set[str]:
        """Ids of workers that left for good; it follows later changes."""
        return self._departed.keys()

    @property
    def nodes(self) -> Mapping[str, NodeRecord]:
        """The committed table of nodes by id; the leader's own is ahead of it."""
        return self._nodes

    @property
    def stores(self) -> Mapping[str, NodeRecord]:
        """All stores that were ever seen, by node id."""
        return self._stores

    @property
    def placements(self) -> Mapping[str, PlacementRecord]:
        """Batch partitions by group name."""
        return self._placements

    @property
    def retirements(self) -> Mapping[str, Retirement]:
        """Stores that are to be emptied, or were, by node id."""
        return self._retirements

    def has_taken(self, version: int, digest: str) -> bool:
        """Whether exactly this configuration is or was in force, as far as that is remembered."""
        return self._taken.get(version) == digest

    def is_retiring(self, node: NodeRecord) -> bool:
        """Whether a store is to be emptied. After the end only the same member still is."""
        retirement = self._retirements.get(node.node_id)
        if retirement is None:
            return False
        return not retirement.ended or retirement.member == node.member

    def take_changes(self) -> StateChanges:
        """What changed since the last call."""
        changes, self._changes = self._changes, StateChanges()
        return changes

    def apply(self, index: int, data: bytes) -> Result:
        """Applies one committed command; `index` is its place in the log. Raises `InvalidCommand`."""
        command = _decode_command(index, data)
        result = self._handlers[type(command)](command)
        if self._on_change is not None:
            self._on_change()
        return result

    def snapshot(self) -> bytes:
        """The whole state as JSON in one line."""
        return _encoder.encode(
            Snapshot(
                version=self.version,
                document=self.document,
                taken=self._taken,
                workers=tuple(self._workers.values()),
                departed=tuple(self._departed),
                nodes=tuple(self._nodes.values()),
                stores=tuple(self._stores.values()),
                placements=tuple(self._placements.values()),
                retirements=tuple(self._retirements.values()),
                forgotten=self._forgotten,
            )
        )

    def restore(self, data: bytes) -> None:
        """Takes the state from a snapshot; raises `InvalidSnapshot` and keeps the state as it was."""
        snapshot = _decode_snapshot(data)
        replaced_workers = set(self._workers)
        self.version = snapshot.version
        self.document = snapshot.document.copy()
        self._taken = dict(snapshot.taken)
        self._forgotten = snapshot.forgotten
        _refill(self._workers, {worker.id: worker for worker in snapshot.workers})
        self._by_address = {worker.address: worker.id for worker in snapshot.workers}
        _refill(self._departed, dict.fromkeys(snapshot.departed))
        _refill(self._nodes, {node.node_id: node for node in snapshot.nodes})
        _refill(self._stores, {node.node_id: node for node in snapshot.stores})
        _refill(self._placements, {placement.group: placement for placement in snapshot.placements})
        _refill(self._retirements, {each.node_id: each for each in snapshot.retirements})
        self._changes = StateChanges(True, replaced_workers | set(self._workers), True, True)
        if self._on_change is not None:
            self._on_change()

    # Configuration

    def _put_configuration(self, command: PutConfiguration) -> Result:
        return self._configuration_result(command) or self._take_configuration(command, command.document)

    def _patch_configuration(self, command: PatchConfiguration) -> Result:
        """Symptom answered: a patch judged on arrival may meet another base in the log."""
        result = self._configuration_result(command)
        if result is not None:
            return result
        try:
            document = apply_patch(bytes(self.document), parse_patch(bytes(command.patch)))
        except ConfigurationError as error:
            return Invalid(str(error))
        return self._take_configuration(command, msgspec.Raw(document))

    def _configuration_result(self, command: PutConfiguration | PatchConfiguration) -> Result | None:
        """What becomes of an order whatever it holds; None where it may come into force."""
        if self.has_taken(command.version, command.digest):
            return Accepted(repeated=True)
        if command.version <= self._forgotten:  # it may have been taken: a refusal could be wrong
            return Untold()
        if command.base != self.version:
            return Conflict(self.version)
        if command.version <= self.version:
            return NotAbove(self.version)
        return None

    def _take_configuration(
        self, command: PutConfiguration | PatchConfiguration, document: msgspec.Raw
    ) -> Result:
        self.version = command.version
        self.document = document.copy()
        self._taken[command.version] = command.digest
        self._forgotten = max((self._forgotten, *_drop_oldest(self._taken, REMEMBERED_VERSIONS)))
        self._changes.configuration = True
        return Accepted()

    # Workers

    def _put_worker(self, command: PutWorker) -> Result:
        worker = command.worker
        known = self._workers.get(worker.id)
        if known == worker or worker.id in self._departed:
            return Accepted(repeated=True)
        if known is not None and known.state == DRAINING and worker.state != DRAINING:
            return Accepted(repeated=True)
        if known is not None and self._by_address.get(known.address) == known.id:
            del self._by_address[known.address]
        previous = self._by_address.get(worker.address)
        if previous is not None:
            self._remove_worker(previous, for_good=False)
        self._workers[worker.id] = worker
        self._by_address[worker.address] = worker.id
        self._changes.workers.add(worker.id)
        return Accepted()

    def _remove_workers(self, command: RemoveWorkers) -> Result:
        for worker_id in command.ids:
            self._remove_worker(worker_id, command.for_good)
        return Accepted()

    def _silence_workers(self, command: SilenceWorkers) -> Result:
        for worker_id in command.ids:
            worker = self._workers.get(worker_id)
            if worker is not None and worker.state == READY:
                self._workers[worker_id] = msgspec.structs.replace(worker, state=SILENT)
                self._changes.workers.add(worker_id)
        return Accepted()

    def _remove_worker(self, worker_id: str, for_good: bool) -> None:
        """Removes a worker. One that was draining leaves for good: it has nothing left to come back for."""
        worker = self._workers.pop(worker_id, None)
        if for_good or (worker is not None and worker.state == DRAINING):
            self._departed[worker_id] = None
            _drop_oldest(self._departed, REMEMBERED_DEPARTURES)
        if worker is None:
            return
        if self._by_address.get(worker.address) == worker_id:
            del self._by_address[worker.address]
        self._changes.workers.add(worker_id)

    # Nodes, placements, retirements

    def _put_nodes(self, command: PutNodes) -> Result:
        for node_id in command.gone:
            self._nodes.pop(node_id, None)
        for node in command.nodes:
            self._nodes[node.node_id] = node
            if node.program == STORE:
                self._stores[node.node_id] = node
        return Accepted()

    def _create_group(self, command: CreateGroup) -> Result:
        if command.placement.group in self._placements:
            return Accepted(repeated=True)
        self._placements[command.placement.group] = command.placement
        self._changes.placements = True
        return Accepted()

    def _set_retiring(self, command: SetRetiring) -> Result:
        known = self._retirements.get(command.node_id)
        if known is not None and (known.member == command.member or not known.ended):
            return Accepted(repeated=True)
        self._retirements[command.node_id] = Retirement(command.node_id, command.member)
        self._changes.retirements = True
        return Accepted()

    def _end_retirement(self, command: EndRetirement) -> Result:
        known = self._retirements.get(command.node_id)
        if known is None or known.ended:
            return Accepted(repeated=True)
        self._retirements[command.node_id] = msgspec.structs.replace(known, ended=True)
        self._changes.retirements = True
        return Accepted()


def _decode_command(index: int, data: bytes) -> Command:
    try:
        return _commands.decode(data)
    except _UNDECODABLE as error:
        raise InvalidCommand(
            f"entry {index} of the log is no command that this version knows: {error}"
        ) from error


def _decode_snapshot(data: bytes) -> Snapshot:
    try:
        return _snapshots.decode(data)
    except _UNDECODABLE as error:
        raise InvalidSnapshot(f"the snapshot is none that this version knows: {error}") from error


def _refill(target: dict[Any, Any], content: dict[Any, Any]) -> None:
    target.clear()
    target.update(content)


def _drop_oldest(target: dict[Any, Any], limit: int) -> list[Any]:
    """Removes entries until the limit is kept; returns their keys."""
    dropped = list(islice(target, max(0, len(target) - limit)))
    for key in dropped:
        del target[key]
    return dropped
