"""A simulated cluster of control machines in one event loop with virtual time, and callers that retry.

Consensus messages and relayed calls take one iteration of the loop. A machine that is killed neither sends
nor receives afterwards; its disk is kept. `at_point` runs an action before the n-th message from now.
Messages sent into a network partition are delivered when it ends, as from the buffers of a connection.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine
from typing import Any

import msgspec

from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment, GroupOptions
from pewterring.consensus.membership import address_of
from pewterring.consensus.messages import ConsensusMessage
from pewterring.consensus.snapshot_schedule import SNAPSHOT_AFTER_BYTES
from pewterring.control import relay
from pewterring.control.calls import (
    DECOMMISSION_START_PATH,
    HEARTBEAT_PATH,
    READ_PATH,
    REPLACE_PATH,
    Answer,
    Call,
)
from pewterring.control.feed import FeedServer
from pewterring.control.leader_state import LeaderState
from pewterring.control.leadership import GroupLeadership
from pewterring.control.messages import RelayedCall
from pewterring.control.pause_detector import PauseDetector
from pewterring.control.relay import CallRouter
from pewterring.control.service import ControlService
from pewterring.control.state import ControlState
from pewterring.distribution.messages import FEED_MESSAGES
from pewterring.transport.lines import MessageCodec, RequestNotSentError, RequestTimeoutError
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.virtual_time import InlineExecutor

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
FEED_CODEC = MessageCodec(FEED_MESSAGES)
CALLER_TIMEOUT_S = 1.0  # callers then try another machine
GIVE_UP_S = 30.0  # the test fails if a call or election takes longer


class ControlMachine:
    """One control process without sockets."""

    def __init__(self, cluster: "ControlCluster", ip: str, storage: MemoryStorage) -> None:
        clock = asyncio.get_running_loop().time
        self.ip = ip
        self.storage = storage
        self.killed = asyncio.get_running_loop().create_future()
        self.state = ControlState(on_change=lambda: self.feed.publish_soon())
        self.group = ReplicatedGroup(
            "control",
            f"{ip}#seed",
            GroupEnvironment(
                storage=storage,
                machine=self.state,
                send=cluster.send,
                clock=clock,
                rng=random.Random(ip),
                executor=InlineExecutor(),
            ),
            GroupOptions(snapshot_after_bytes=cluster.snapshot_after_bytes),
            GroupCallbacks(on_leadership=self._on_leadership),
        )
        self.leadership = cluster.leadership_class(self.group, clock)
        self.tables = LeaderState.of(self.state, self.leadership, needed_stores=3, heartbeat_s=1.0)
        service = ControlService(self.tables, self.leadership, clock)
        self.pauses = PauseDetector(clock)
        self.router = CallRouter(service.handle, self.leadership, self._request, ip, self.pauses.was_paused)
        self.feed = FeedServer(self.tables.publisher, self.tables.nodes, self.leadership, FEED_CODEC, clock)
        self._cluster = cluster
        self._clock = clock

    async def _request(self, ip: str, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        return await self._cluster.request(self.ip, ip, message, timeout_s)

    def _on_leadership(self, leads: bool) -> None:
        self.leadership.ready = leads
        if not leads:
            self.feed.end_sessions()
            return
        self.tables.start(self._clock(), self.group.term, self._cluster.ips)


class ControlCluster:
    """The running machines by IP. Must be created inside a running event loop."""

    def __init__(
        self,
        ips: tuple[str, ...] = IPS,
        snapshot_after_bytes: int = SNAPSHOT_AFTER_BYTES,
        leadership_class: type[GroupLeadership] = GroupLeadership,
    ) -> None:
        self.ips = ips
        self.snapshot_after_bytes = snapshot_after_bytes
        self.leadership_class = leadership_class
        members = tuple(f"{ip}#seed" for ip in ips)
        self.partitions: set[tuple[str, str]] = set()  # pairs of IPs: sender, target
        self._delayed: list[Callable[[], None]] = []
        self.machines = {ip: ControlMachine(self, ip, MemoryStorage(members)) for ip in ips}
        self._background: list[asyncio.Task[object]] = []
        self._points_left = 0
        self._at_point: Callable[[], None] | None = None

    async def start(self) -> ControlMachine:
        for machine in self.machines.values():
            await machine.group.start()
            self.in_background(machine.pauses.run())
        return await self.leader()

    async def stop(self) -> None:
        for machine in self.machines.values():
            await machine.group.stop()

    async def leader(self, among: Collection[str] | None = None) -> ControlMachine:
        """Waits for a leader with a lease and returns it."""
        async with asyncio.timeout(GIVE_UP_S):
            while True:
                for machine in self.machines.values():
                    if machine.leadership.has_lease and machine.ip in (among or self.ips):
                        return machine
                await asyncio.sleep(0.01)

    # Faults

    def at_point(self, number: int, action: Callable[[], None]) -> None:
        """Runs `action` just before message `number`, counted from 0, is sent."""
        self._points_left = number
        self._at_point = action

    @property
    def reached_point(self) -> bool:
        return self._at_point is None

    def _reach_point(self) -> None:
        if self._at_point is None:
            return
        if self._points_left == 0:
            action, self._at_point = self._at_point, None
            action()
        self._points_left -= 1

    def kill(self, ip: str) -> None:
        """Kills the process of a machine; its disk is kept."""
        machine = self.machines.pop(ip)
        machine.killed.set_result(None)
        self.in_background(machine.group.stop())

    def partition(self, senders: Collection[str], targets: Collection[str]) -> None:
        """Delays all messages from the senders to the targets until `heal`."""
        self.partitions |= {(sender, target) for sender in senders for target in targets}

    def heal(self) -> None:
        """Ends all partitions and delivers the delayed messages."""
        self.partitions.clear()
        delayed, self._delayed = self._delayed, []
        for action in delayed:
            asyncio.get_running_loop().call_soon(action)

    def deliver(self, sender: str, target: str, action: Callable[[], None]) -> None:
        """Runs `action` when a message from the sender reaches the target."""
        if (sender, target) in self.partitions:
            self._delayed.append(action)
        else:
            asyncio.get_running_loop().call_soon(action)

    def in_background(self, work: Coroutine[Any, Any, object]) -> asyncio.Task[object]:
        """Runs a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(work)
        self._background.append(task)
        return task

    async def restart(self, machine: ControlMachine) -> ControlMachine:
        """Starts a new process of a killed machine with the same disk."""
        restarted = ControlMachine(self, machine.ip, machine.storage)
        self.machines[machine.ip] = restarted
        await restarted.group.start()
        self.in_background(restarted.pauses.run())
        return restarted

    # Messages

    def send(self, message: ConsensusMessage) -> None:
        self._reach_point()
        sender = address_of(message.sender)
        if sender in self.machines:
            self.deliver(sender, address_of(message.target), lambda: self._deliver(message))

    def _deliver(self, message: ConsensusMessage) -> None:
        machine = self.machines.get(address_of(message.target))
        if machine is not None:
            machine.group.receive(message)

    async def request(
        self, origin: str, ip: str, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct:
        self._reach_point()
        machine = self.machines.get(ip)
        if machine is None or not isinstance(message, RelayedCall):
            raise RequestNotSentError(f"no connection with {ip}")
        if (origin, ip) in self.partitions:
            self.deliver(origin, ip, lambda: self._answer_without_caller(machine, message))
            await asyncio.sleep(timeout_s)
            raise RequestTimeoutError("no answer in time")
        reply: msgspec.Struct | None = await self._answer_unless_killed(
            machine, machine.router.answer_relayed(message), timeout_s
        )
        self._reach_point()
        if reply is None or ip not in self.machines or (ip, origin) in self.partitions:
            raise RequestTimeoutError("no answer in time")
        return reply

    def _answer_without_caller(self, machine: ControlMachine, message: RelayedCall) -> None:
        """Handles a call that a partition delayed, although nobody waits for its answer any more."""
        self.in_background(machine.router.answer_relayed(message))

    # Callers

    async def call(self, call: Call, first: str = IPS[0], among: Collection[str] | None = None) -> Answer:
        """Calls `first`, then the others in turn, until one answers with a status below 500."""
        order = [first, *(ip for ip in among or self.ips if ip != first)]
        ip = order.pop(0)
        async with asyncio.timeout(GIVE_UP_S):
            while True:
                machine = self.machines.get(ip)
                if machine is not None:
                    answer: Answer | None = await self._answer_unless_killed(
                        machine, machine.router.answer(call), CALLER_TIMEOUT_S
                    )
                    if answer is not None and answer.status < 500:
                        return answer
                await asyncio.sleep(0.05)
                order.append(ip)
                ip = order.pop(0)

    async def _answer_unless_killed(self, machine: ControlMachine, answer: Any, timeout_s: float) -> Any:
        """The machine's answer, or None if it is killed first or does not answer within `timeout_s`."""
        task = asyncio.ensure_future(answer)
        await asyncio.wait([task, machine.killed], timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        if machine.killed.done() or not task.done():
            task.cancel()
            return None
        return task.result()


def relayed_call(call: Call, leader: ControlMachine) -> RelayedCall:
    """The message with which a follower that knows the leader's newest round forwards a call."""
    return relay.relayed_call(call, leader.leadership.newest_round)


def put_call(base: int, document: bytes) -> Call:
    return Call("POST", REPLACE_PATH, str(base), document)


def decommission_call(node_id: str) -> Call:
    return Call("POST", f"{DECOMMISSION_START_PATH}{node_id}")


def read_call() -> Call:
    return Call("GET", READ_PATH)


def heartbeat_call(worker_id: str, state: str = "ready", sequence: int = 1) -> Call:
    address = f"10.9.0.{worker_id.removeprefix('i-')}:80"
    body = {"backend": "s", "address": address, "capacity": 4, "state": state, "sequence": sequence}
    return Call("POST", f"{HEARTBEAT_PATH}{worker_id}", body=msgspec.json.encode(body))
