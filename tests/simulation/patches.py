"""Replacements below the real programs: clocks, randomness, sockets, files, and the sizes of logs.

The list in `installed` names each replaced attribute; one that no longer exists fails the run at once.
"""

import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterator
from functools import lru_cache, partial
from types import ModuleType, SimpleNamespace
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest import mock

from loguru import logger

from pewterring.batch import execution as batch_execution
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
from pewterring.control import member_storage as control_storage
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

read_once = lru_cache(maxsize=4096)(read_configuration)  # pure, and the same documents recur in each process


def _time_module(world: "World") -> SimpleNamespace:
    """Stands for the module `time`: the steady clock of the process that runs now."""
    return SimpleNamespace(monotonic=lambda: world.process().steady(world.loop.time()))


def _random_module(world: "World") -> SimpleNamespace:
    """Stands for the module `random`: each generator is seeded by the world's."""
    return SimpleNamespace(Random=lambda: random.Random(world.rng.random()))


def _secrets_module(world: "World") -> SimpleNamespace:
    """Stands for the module `secrets`: tokens are drawn by the world's generator."""
    return SimpleNamespace(token_hex=lambda count: world.rng.randbytes(count).hex())


class ApiServer:
    """Stands for the HTTP server of control: the simulated network delivers its calls."""

    def __init__(self, world: "World", handler: Handler, address: Address) -> None:
        self._world = world
        self._handler = handler
        self._ip = address.ip

    async def start(self) -> None:
        """Starts to take calls."""
        self._world.http.listen(self._ip, self._world.process(), partial(call_handler, self._handler))

    async def stop(self) -> None:
        """Stops taking calls."""
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
    """The real driver; it reports its steps to the world."""

    world: "World"
    owner: ReplicatedGroup

    def _apply(self, entry: Entry) -> None:
        if entry.kind == "members":
            self.world.reach("members_applied")
        self.world.reach("before_apply")
        self.world.invariants.on_applied(self.owner, entry)
        super()._apply(entry)

    def _begin_save(self, save: Save) -> None:
        if save.snapshot is not None:
            self.world.reach("snapshot")
        super()._begin_save(save)

    def _saved(self, save: Save) -> None:
        applied = self.owner.applied_index
        if save.snapshot is not None and save.snapshot.index < applied:
            self.world.invariants.record_violation(
                f"{self.member} goes back from {applied} to the snapshot at {save.snapshot.index}"
            )
        super()._saved(save)
        if save.hard_state is not None:
            self.world.invariants.on_term_saved(self.owner, save.hard_state.term)


def _small_logs(world: "World") -> GroupOptions:
    """Limits so low that compaction and snapshots in flight are common."""
    limits = RaftLimits(
        message_bytes=4000,
        window_bytes=16_000,
        window_messages=8,
        snapshot_chunk_bytes=world.snapshot_chunk_bytes,
        retained_bytes=3000,
    )
    return GroupOptions(limits=limits, snapshot_after_bytes=world.snapshot_after_bytes)


class ObservedGroup(ReplicatedGroup):
    """The real group; it reports its steps to the world."""

    driver_class = ObservedDriver

    def __init__(
        self,
        world: "World",
        group: str,
        member: str,
        environment: GroupEnvironment,
        callbacks: GroupCallbacks,
    ) -> None:
        self.world = world
        self._notify_owner = callbacks.on_leadership
        observed = dataclasses.replace(callbacks, on_leadership=self._on_leadership)
        super().__init__(group, member, environment, _small_logs(world), observed)
        assert isinstance(self._driver, ObservedDriver)
        self._driver.world = world
        self._driver.owner = self

    async def start(self) -> None:
        """Part of `ReplicatedGroup`."""
        await super().start()
        self.world.invariants.on_started(self)

    def _on_leadership(self, leads: bool) -> None:
        if leads:
            assert self.led_term is not None
            self.world.invariants.on_leading(self, self.led_term)
        self._notify_owner(leads)

    async def change_membership(self, membership: Membership) -> None:
        """Part of `ReplicatedGroup`."""
        self.world.invariants.on_membership_proposed(self, membership)
        self.world.reach("members")
        await super().change_membership(membership)


def _disk_of(world: "World") -> Callable[..., SimulatedDisk]:
    def disk(*_: Any) -> SimulatedDisk:
        machine: Machine = world.machine_of(world.process())
        return machine.disk

    return disk


class Replacement(NamedTuple):
    """An attribute of a module, and what stands for it."""

    module: ModuleType
    name: str
    value: Any


def _control_replacements(world: "World") -> tuple[Replacement, ...]:
    """What the control program gets."""
    small_segments = partial(DiskGroupStorage, segment_bytes=SEGMENT_BYTES)
    return (
        Replacement(control_program, "time", _time_module(world)),
        Replacement(control_program, "random", _random_module(world)),
        Replacement(control_storage, "FolderDisk", _disk_of(world)),
        Replacement(control_program, "ApiServer", partial(ApiServer, world)),
        Replacement(control_program, "ReplicatedGroup", partial(ObservedGroup, world)),
        Replacement(control_storage, "DiskGroupStorage", small_segments),
    )


def _batch_replacements(world: "World") -> tuple[Replacement, ...]:
    """What the store program gets."""
    small_segments = partial(DiskGroupStorage, segment_bytes=SEGMENT_BYTES)
    return (
        Replacement(batch_partition, "FolderDisk", _disk_of(world)),
        Replacement(batch_partition, "ReplicatedGroup", partial(ObservedGroup, world)),
        Replacement(batch_partition, "DiskGroupStorage", small_segments),
        Replacement(batch_partitions, "FolderDisk", _disk_of(world)),
        Replacement(batch_program, "secrets", _secrets_module(world)),
        Replacement(batch_worker_access, "AdmissionHeartbeats", NoHeartbeats),
        Replacement(batch_worker_access, "HttpItemRunner", lambda *_: world.items),
        Replacement(
            batch_execution,
            "log_given_up",
            lambda items, reason, *_: world.invariants.on_given_up(items, reason),
        ),
    )


def _shared_replacements(world: "World") -> tuple[Replacement, ...]:
    """What all programs get."""
    return (
        Replacement(validation, "read_configuration", read_once),
        Replacement(subscription, "read_configuration", read_once),
        Replacement(identity, "FolderDisk", _disk_of(world)),
        Replacement(identity, "secrets", _secrets_module(world)),
        Replacement(link_pool, "connect", world.network.connect),
        Replacement(subscriber, "connect", world.network.connect),
    )


@contextlib.contextmanager
def installed(world: "World") -> Iterator[None]:
    """Installs all replacements while a world runs."""
    replacements = (*_control_replacements(world), *_batch_replacements(world), *_shared_replacements(world))
    with contextlib.ExitStack() as stack:
        for module, name, value in replacements:
            stack.enter_context(mock.patch.object(module, name, value))
        for watcher in world.invariants.watchers():
            stack.enter_context(watcher)
        logger.disable("pewterring")
        stack.callback(logger.enable, "pewterring")
        yield
