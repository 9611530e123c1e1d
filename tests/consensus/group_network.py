"""A replicated group whose members run in one event loop, in virtual time, on a simulated network."""

import asyncio
import json
import random
from collections.abc import Callable
from concurrent.futures import Executor

from pewterring.consensus.errors import (
    GroupFailedError,
)
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment, GroupOptions
from pewterring.consensus.messages import ConsensusMessage, SnapshotChunk
from pewterring.consensus.types import RaftLimits
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.virtual_time import InlineExecutor

NAMES = ("a", "b", "c")
SMALL_LIMITS = RaftLimits(retained_bytes=1000)  # low, so that members need snapshots of these small states


class RecordingStateMachine:
    """Records the commands; the result of a command is the number of commands so far."""

    def __init__(self) -> None:
        self.commands: list[str] = []

    def apply(self, _index: int, command: bytes) -> object:
        self.commands.append(json.loads(command))
        return len(self.commands)

    def snapshot(self) -> bytes:
        return json.dumps(self.commands).encode()

    def restore(self, data: bytes) -> None:
        self.commands = json.loads(data)


class Network:
    """The members of a group; a message takes one iteration of the event loop to arrive.

    Members in `partitioned` neither send nor receive.
    """

    machine_class = RecordingStateMachine

    def __init__(self, voters: tuple[str, ...] = NAMES, limits: RaftLimits = SMALL_LIMITS) -> None:
        self.limits = limits
        self.partitioned: set[str] = set()
        self.groups: dict[str, ReplicatedGroup] = {}
        self.machines: dict[str, RecordingStateMachine] = {}
        self.storages: dict[str, MemoryStorage] = {}
        self.leadership_notifications: list[tuple[str, bool]] = []
        self.failures: list[GroupFailedError] = []
        self.snapshot_chunks_sent = 0
        self.leadership_changed = asyncio.Event()
        self.on_departure: Callable[[str], None] = lambda _: None  # called with the leader's name
        for name in voters:
            self.add(name, MemoryStorage(voters))

    def add(self, name: str, storage: MemoryStorage, executor: Executor | None = None) -> ReplicatedGroup:
        self.storages[name] = storage
        self.machines[name] = self.machine_class()
        self.groups[name] = ReplicatedGroup(
            "g",
            name,
            GroupEnvironment(
                storage=storage,
                machine=self.machines[name],
                send=self._send,
                clock=asyncio.get_running_loop().time,
                rng=random.Random(name),
                executor=executor or InlineExecutor(),
            ),
            GroupOptions(limits=self.limits, snapshot_after_bytes=2000),
            GroupCallbacks(
                on_leadership=lambda leads: self._notify(name, leads),
                on_departure=lambda: self.on_departure(name),
                on_failure=self.failures.append,
            ),
        )
        return self.groups[name]

    def _notify(self, name: str, leads: bool) -> None:
        self.leadership_notifications.append((name, leads))
        self.leadership_changed.set()

    def _send(self, message: ConsensusMessage) -> None:
        self.snapshot_chunks_sent += isinstance(message, SnapshotChunk)
        if not self.partitioned & {message.sender, message.target} and message.target in self.groups:
            asyncio.get_running_loop().call_soon(self.groups[message.target].receive, message)

    async def start(self) -> ReplicatedGroup:
        for group in self.groups.values():
            await group.start()
        return await self.new_leader(None)

    async def new_leader(self, old: ReplicatedGroup | None) -> ReplicatedGroup:
        while True:
            for group in self.groups.values():
                if group is not old and group.is_leader:
                    return group
            self.leadership_changed.clear()
            await asyncio.wait_for(self.leadership_changed.wait(), 10.0)

    async def stop(self) -> None:
        for group in self.groups.values():
            await group.stop()


def command(text: str) -> bytes:
    return json.dumps(text).encode()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits up to ten seconds of virtual time until `condition` is true."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met in ten seconds")
