"""Members with disks and processors of a given speed, in virtual time, with real storage and messages."""

import asyncio
import random
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.messages import CONSENSUS_MESSAGES, ConsensusMessage, Membership
from pewterring.consensus.state_machine import StateMachine
from pewterring.storage.disk import Operation
from pewterring.storage.group import DiskGroupStorage
from pewterring.transport.line_codec import MessageCodec
from tests.storage.simulated_disk import SimulatedDisk

NAMES = ("a", "b", "c")
LINK_S = 0.001


class SlowDiskExecutor(Executor):
    """Does disk work immediately, but completes its future only when a disk of the given speed would."""

    def __init__(self, disk: SimulatedDisk, sync_s: float, bytes_per_s: float) -> None:
        self._disk = disk
        self._sync_s = sync_s
        self._bytes_per_s = bytes_per_s
        self._syncs = 0
        disk.on_operation = self._on_operation

    def _on_operation(self, _number: int, operation: Operation, _name: str) -> None:
        self._syncs += operation in (Operation.SYNC, Operation.SYNC_FOLDER)

    def submit(self, work: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        self._syncs = 0
        before = self._disk.bytes_written
        try:
            result = work(*args, **kwargs)
        except Exception as error:  # noqa: BLE001 - a future carries whatever its work raised
            future.set_exception(error)
            return future
        written = self._disk.bytes_written - before
        delay = self._syncs * self._sync_s + written / self._bytes_per_s
        asyncio.get_running_loop().call_later(delay, _set_result, future, result)
        return future


def _set_result(future: Future[Any], result: object) -> None:
    if not future.done():
        future.set_result(result)


class Processor:
    """Processes one message after another, each for a time proportional to its size."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def done_at(self, now: float, size: int) -> float:
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        return self._free_at


class SlowGroup:
    """A group of three members; `running` contains those that are up, `disks` has the disks of all."""

    def __init__(self, create_machine: Callable[[], StateMachine], seed: int = 1) -> None:
        self._create_machine = create_machine
        self._rng = random.Random(seed)
        self._codec = MessageCodec(CONSENSUS_MESSAGES)
        self.disks = {name: SimulatedDisk() for name in NAMES}
        self.executors: dict[str, SlowDiskExecutor] = {}
        self.processors: dict[str, Processor] = {}
        self.running: dict[str, ReplicatedGroup] = {}
        self.machines: dict[str, StateMachine] = {}
        self.sent_bytes = dict.fromkeys(NAMES, 0)  # by target
        self.elections: list[tuple[str, float]] = []  # each elected leader, and when it was elected

    async def start(
        self, name: str, sync_s: float = 0.001, disk_bytes_per_s: float = 120e6, cpu_bytes_per_s: float = 50e6
    ) -> ReplicatedGroup:
        disk = self.disks[name]
        storage = DiskGroupStorage(disk, "g")
        storage.load()
        storage.initialize(Membership(NAMES))
        storage.close()
        self.executors[name] = SlowDiskExecutor(disk, sync_s, disk_bytes_per_s)
        self.processors[name] = Processor(cpu_bytes_per_s)
        self.machines[name] = self._create_machine()
        group = ReplicatedGroup(
            "g",
            name,
            GroupEnvironment(
                storage=DiskGroupStorage(disk, "g"),
                machine=self.machines[name],
                send=self._send,
                clock=asyncio.get_running_loop().time,
                rng=random.Random(self._rng.random()),
                executor=self.executors[name],
            ),
            callbacks=GroupCallbacks(on_leadership=lambda leads: self._record_election(name, leads)),
        )
        await group.start()
        self.running[name] = group
        return group

    async def kill(self, name: str) -> None:
        """Kills the process; the writes that it started are on its disk."""
        await self.running.pop(name).stop()
        self.disks[name].kill()

    async def stop(self) -> None:
        for name in list(self.running):
            await self.kill(name)

    def _record_election(self, name: str, leads: bool) -> None:
        if leads:
            self.elections.append((name, asyncio.get_running_loop().time()))

    def _send(self, message: ConsensusMessage) -> None:
        loop = asyncio.get_running_loop()
        line = self._codec.line(message)
        if message.target not in self.processors:
            return
        self.sent_bytes[message.target] += len(line)
        sent_at = self.processors[message.sender].done_at(loop.time(), len(line))
        loop.call_at(sent_at + LINK_S, self._arrive, message.target, line)

    def _arrive(self, target: str, line: bytes) -> None:
        loop = asyncio.get_running_loop()
        read_at = self.processors[target].done_at(loop.time(), len(line))
        loop.call_at(read_at, self._receive, target, line)

    def _receive(self, target: str, line: bytes) -> None:
        group = self.running.get(target)
        if group is not None:
            message = self._codec.decode(self._codec.decode_line(line).body)
            assert isinstance(message, ConsensusMessage)
            group.receive(message)

    async def leader(self) -> ReplicatedGroup:
        """Waits for a leader and returns it."""
        while True:
            for group in self.running.values():
                if group.is_leader:
                    return group
            await asyncio.sleep(0.01)
