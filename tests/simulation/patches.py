"""What is replaced below the real programs: clocks, chance, sockets, files, and the sizes of logs."""

import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterator
from functools import lru_cache, partial
from typing import TYPE_CHECKING, Any
from unittest import mock

from loguru import logger

from pewterring.batch import partition as batch_partition
from pewterring.batch import partitions as batch_partitions
from pewterring.batch import program as batch_program
from pewterring.batch import worker_access as batch_worker_access
from pewterring.configuration import validation
from pewterring.configuration.reader import read_configuration
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment, GroupOptions
from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.raft_driver import RaftDriver
from pewterring.consensus.types import RaftLimits, Save
from pewterring.control import program as control_program
from pewterring.distribution import subscriber, subscription
from pewterring.node.address import Address
from pewterring.storage import identity
from pewterring.storage.group import DiskGroupStorage
from pewterring.transport import link_pool
from pewterring.transport.http_server import Handler
from tests.simulation.http import call_handler
from tests.simulation.machines import Machine
from tests.storage.simulated_disk import SimulatedDisk

if TYPE_CHECKING:
    from tests.simulation.world import World

SEGMENT_BYTES = 8000
SNAPSHOT_AFTER_BYTES = 12_000

read_once = lru_cache(maxsize=4096)(read_configuration)  # it is a function of the document


class _Clock:
    """Stands for the module `time`."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def monotonic(self) -> float:
        return self._world.process().steady(self._world.loop.time())


class _Chance:
    """Stands for the module `random`: each generator has a seed."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def Random(self) -> random.Random:
        return random.Random(self._world.rng.random())


class _Secrets:
    """Stands for the module `secrets`."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def token_hex(self, count: int) -> str:
        return self._world.rng.randbytes(count).hex()


class ApiServer:
    """Stands for the HTTP server of control: the network hands it its calls."""

    def __init__(self, world: "World", handler: Handler, address: Address) -> None:
        self._world = world
        self._handler = handler
        self._ip = address.ip

    async def start(self) -> None:
        """Takes calls from now on."""
        self._world.http.listen(self._ip, self._world.process(), partial(call_handler, self._handler))

    async def stop(self) -> None:
        """Takes no more."""
        self._world.http.stop(self._ip)


class NoHeartbeats:
    """Stands for the admission heartbeats: all of their datagrams are lost."""

    def __init__(self, *_: Any) -> None:
        pass

    async def start(self) -> None:
        """Part of `AdmissionHeartbeats`."""

    def send(self, *_: Any) -> None:
        """Part of `AdmissionHeartbeats`."""

    def close(self) -> None:
        """Part of `AdmissionHeartbeats`."""


class ObservedDriver(RaftDriver):
    """The real driver; it tells the world what it does."""

    world: "World"
    owner: ReplicatedGroup

    def _apply(self, entry: Entry) -> None:
        if entry.kind == "members":
            self.world.reach("members_applied")
        self.world.reach("before_apply")
        self.world.watch.applied(self.owner, entry)
        super()._apply(entry)

    def _begin_save(self, save: Save) -> None:
        if save.snapshot is not None:
            self.world.reach("snapshot")
        super()._begin_save(save)

    def _saved(self, save: Save) -> None:
        applied = self.owner.applied_index
        if save.snapshot is not None and save.snapshot.index < applied:
            self.world.watch.violation(
                f"{self.member} goes back from {applied} to the snapshot at {save.snapshot.index}"
            )
        super()._saved(save)
        if save.hard_state is not None:
            self.world.watch.saved(self.owner, save.hard_state.term)


class ObservedGroup(ReplicatedGroup):
    """The real group; it tells the world what it does."""

    driver_class = ObservedDriver

    def __init__(
        self,
        world: "World",
        group: str,
        member: str,
        environment: GroupEnvironment,
        callbacks: GroupCallbacks,
    ) -> None:
        limits = RaftLimits(
            message_bytes=4000,
            window_bytes=16_000,
            window_messages=8,
            snapshot_chunk_bytes=world.snapshot_chunk_bytes,
            retained_bytes=3000,
        )
        options = GroupOptions(limits=limits, snapshot_after_bytes=SNAPSHOT_AFTER_BYTES)
        self.world = world
        self._notify_owner = callbacks.on_leadership
        observed = dataclasses.replace(callbacks, on_leadership=self._on_leadership)
        super().__init__(group, member, environment, options, observed)
        assert isinstance(self._driver, ObservedDriver)
        self._driver.world = world
        self._driver.owner = self

    async def start(self) -> None:
        """Part of `ReplicatedGroup`."""
        await super().start()
        self.world.watch.starts(self)

    def _on_leadership(self, leads: bool) -> None:
        if leads:
            assert self.led_term is not None
            self.world.watch.leads(self, self.led_term)
        self._notify_owner(leads)

    async def change_membership(self, membership: Membership) -> None:
        """Part of `ReplicatedGroup`."""
        self.world.watch.changes_members(self, membership)
        self.world.reach("members")
        await super().change_membership(membership)


def _disk_of(world: "World") -> Callable[..., SimulatedDisk]:
    def disk(*_: Any) -> SimulatedDisk:
        machine: Machine = world.machine_of(world.process())
        return machine.disk

    return disk


@contextlib.contextmanager
def installed(world: "World") -> Iterator[None]:
    """All replacements, while a world runs."""
    clock = _Clock(world)
    replaced: tuple[tuple[Any, str, Any], ...] = (
        (control_program, "time", clock),
        (control_program, "random", _Chance(world)),
        (control_program, "FolderDisk", _disk_of(world)),
        (control_program, "ApiServer", partial(ApiServer, world)),
        (control_program, "ReplicatedGroup", partial(ObservedGroup, world)),
        (
            control_program,
            "DiskGroupStorage",
            partial(DiskGroupStorage, segment_bytes=SEGMENT_BYTES),
        ),
        (validation, "read_configuration", read_once),
        (subscription, "read_configuration", read_once),
        (batch_partition, "FolderDisk", _disk_of(world)),
        (batch_partition, "ReplicatedGroup", partial(ObservedGroup, world)),
        (batch_partition, "DiskGroupStorage", partial(DiskGroupStorage, segment_bytes=SEGMENT_BYTES)),
        (batch_partitions, "FolderDisk", _disk_of(world)),
        (batch_program, "secrets", _Secrets(world)),
        (batch_worker_access, "AdmissionHeartbeats", NoHeartbeats),
        (batch_worker_access, "HttpItemRunner", lambda *_: world.items),
        (identity, "FolderDisk", _disk_of(world)),
        (identity, "secrets", _Secrets(world)),
        (link_pool, "connect", world.network.connect),
        (subscriber, "connect", world.network.connect),
    )
    with contextlib.ExitStack() as stack:
        for target, name, value in replaced:
            stack.enter_context(mock.patch.object(target, name, value))
        for watcher in world.watch.watchers():
            stack.enter_context(watcher)
        logger.disable("pewterring")
        stack.callback(logger.enable, "pewterring")
        yield
