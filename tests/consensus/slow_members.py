"""Members on disks and processors of a given speed: virtual time, real storage, encoded messages."""

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


class DiskTimer(Executor):
    """Does the work at once; its result comes when a disk of that speed would have done it."""

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
    """Takes one message after the other; each costs by its bytes."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def done_at(self, now: float, size: int) -> float:
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        return self._free_at


class SlowGroup:
    """Three members; `running` has those that run, `disks` all."""

    def __init__(self, machine: Callable[[], StateMachine], seed: int = 1) -> None:
        self._machine = machine
        self._rng = random.Random(seed)
        self._codec = MessageCodec(CONSENSUS_MESSAGES)
        self.disks = {name: SimulatedDisk() for name in NAMES}
        self.timers: dict[str, DiskTimer] = {}
        self.processors: dict[str, Processor] = {}
        self.running: dict[str, ReplicatedGroup] = {}
        self.machines: dict[str, StateMachine] = {}
        self.sent_bytes = dict.fromkeys(NAMES, 0)  # by target
        self.led: list[tuple[str, float]] = []  # who began to lead, and when

    async def start(
        self, name: str, sync_s: float = 0.001, disk_bytes_per_s: float = 120e6, processor: float = 50e6
    ) -> ReplicatedGroup:
        disk = self.disks[name]
        first = DiskGroupStorage(disk, "g")
        first.load()
        first.initialize(Membership(NAMES))
        first.close()
        self.timers[name] = DiskTimer(disk, sync_s, disk_bytes_per_s)
        self.processors[name] = Processor(processor)
        self.machines[name] = self._machine()
        group = ReplicatedGroup(
            "g",
            name,
            GroupEnvironment(
                storage=DiskGroupStorage(disk, "g"),
                machine=self.machines[name],
                send=self._send,
                clock=asyncio.get_running_loop().time,
                rng=random.Random(self._rng.random()),
                executor=self.timers[name],
            ),
            callbacks=GroupCallbacks(on_leadership=lambda leads: self._note(name, leads)),
        )
        await group.start()
        self.running[name] = group
        return group

    async def end(self, name: str) -> None:
        """The process dies; what it had begun to write is on its disk."""
        await self.running.pop(name).stop()
        self.disks[name].kill()

    async def stop(self) -> None:
        for name in list(self.running):
            await self.end(name)

    def _note(self, name: str, leads: bool) -> None:
        if leads:
            self.led.append((name, asyncio.get_running_loop().time()))

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
        while True:
            for group in self.running.values():
                if group.is_leader:
                    return group
            await asyncio.sleep(0.01)
