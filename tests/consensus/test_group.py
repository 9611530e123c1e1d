"""The asyncio driver: three members in one loop, in virtual time."""

import asyncio
import json
import random
from collections.abc import Callable
from concurrent.futures import Executor

import pytest

from pewterring.consensus.errors import (
    GroupFailedError,
    MembershipRejectedError,
    NotLeaderError,
    OutcomeUnknownError,
)
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment, GroupOptions
from pewterring.consensus.messages import ConsensusMessage, Membership, SnapshotChunk
from pewterring.consensus.types import RaftLimits
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.virtual_time import InlineExecutor, run

NAMES = ("a", "b", "c")
SMALL_LIMITS = RaftLimits(retained_bytes=1000)  # else no member ever needs a snapshot of states so small


class Machine:
    """Keeps the commands; the result of one is how many there are."""

    def __init__(self) -> None:
        self.commands: list[str] = []

    def apply(self, index: int, command: bytes) -> object:
        self.commands.append(json.loads(command))
        return len(self.commands)

    def snapshot(self) -> bytes:
        return json.dumps(self.commands).encode()

    def restore(self, data: bytes) -> None:
        self.commands = json.loads(data)


class Network:
    """Groups in one loop; messages take one turn of it. `cut` members neither send nor receive."""

    machine_class = Machine

    def __init__(self, voters: tuple[str, ...] = NAMES, limits: RaftLimits = SMALL_LIMITS) -> None:
        self.limits = limits
        self.cut: set[str] = set()
        self.groups: dict[str, ReplicatedGroup] = {}
        self.machines: dict[str, Machine] = {}
        self.storages: dict[str, MemoryStorage] = {}
        self.notified: list[tuple[str, bool]] = []
        self.failures: list[GroupFailedError] = []
        self.parts_sent = 0  # of snapshots
        self.leadership = asyncio.Event()
        self.on_departure: Callable[[str], None] = lambda name: None  # gets the leader's name
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
        self.notified.append((name, leads))
        self.leadership.set()

    def _send(self, message: ConsensusMessage) -> None:
        self.parts_sent += isinstance(message, SnapshotChunk)
        if not self.cut & {message.sender, message.target} and message.target in self.groups:
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
            self.leadership.clear()
            await asyncio.wait_for(self.leadership.wait(), 10.0)

    async def stop(self) -> None:
        for group in self.groups.values():
            await group.stop()


def command(text: str) -> bytes:
    return json.dumps(text).encode()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits, in virtual time, for what comes with some heartbeat."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("what was waited for did not come")


def test_results_come_back_and_members_agree() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        results = await asyncio.gather(*(leader.propose(command(str(n))) for n in range(50)))
        assert results == list(range(1, 51))
        await wait_until(lambda: all(len(machine.commands) == 50 for machine in network.machines.values()))
        await network.stop()

    run(scenario())


def test_proposals_that_come_together_are_saved_together() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        before = network.storages[leader.member].saves
        await asyncio.gather(*(leader.propose(command("x")) for _ in range(100)))
        assert network.storages[leader.member].saves - before <= 6
        await network.stop()

    run(scenario())


def test_follower_refuses_and_names_the_leader() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        await leader.propose(command("x"))
        follower = next(group for group in network.groups.values() if group is not leader)
        with pytest.raises(NotLeaderError) as refused:
            await follower.propose(command("y"))
        assert refused.value.leader == leader.member
        with pytest.raises(NotLeaderError):
            await follower.read_barrier()
        await network.stop()

    run(scenario())


def test_leader_cut_off_loses_lease_and_outcome() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        clock = asyncio.get_running_loop().time
        await old.propose(command("before"))
        await old.read_barrier()
        assert old.has_lease(clock())
        network.cut.add(old.member)
        lost = asyncio.ensure_future(old.propose(command("lost")))
        new = await network.new_leader(old)
        assert not old.has_lease(clock())
        with pytest.raises(NotLeaderError):
            await old.read_barrier()
        with pytest.raises(OutcomeUnknownError):
            await lost
        assert (old.member, False) in network.notified
        assert await new.propose(command("after")) == 2
        network.cut.clear()
        await wait_until(lambda: network.machines[old.member].commands == ["before", "after"])
        await network.stop()

    run(scenario())


def test_restart_from_snapshot_and_log() -> None:
    async def scenario() -> None:
        network = Network(("a",))
        leader = await network.start()
        for number in range(100):
            await leader.propose(command(str(number)))
        await leader.stop()
        storage = network.storages["a"]
        assert storage.snapshot_index > 0
        assert len(storage.entries) < 60
        again = network.add("a", storage)
        await again.start()
        await network.new_leader(leader)
        assert network.machines["a"].commands == [str(number) for number in range(100)]
        await again.stop()

    run(scenario())


def test_new_member_gets_a_snapshot_and_becomes_a_voter() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        for number in range(100):
            await leader.propose(command("x" * 50_000 if number == 0 else str(number)))
        joiner = network.add("d", MemoryStorage())
        await joiner.start()
        await leader.change_membership(Membership(voters=NAMES, learners=("d",)))
        await wait_until(lambda: leader.match("d") >= leader.commit_index)
        assert network.parts_sent > 0
        await leader.change_membership(Membership(voters=(*NAMES, "d")))
        await wait_until(lambda: network.machines["d"].commands == network.machines["a"].commands)
        assert joiner.membership.voters == (*NAMES, "d")
        with pytest.raises(MembershipRejectedError):
            await leader.change_membership(Membership(voters=("a", "b")))
        await network.stop()

    run(scenario())


def test_failed_storage_stops_the_member() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        network.storages[old.member].failing = True
        with pytest.raises(GroupFailedError):
            await old.propose(command("x"))
        assert len(network.failures) == 1
        assert "disk is gone" in str(network.failures[0])
        with pytest.raises(GroupFailedError):
            await old.read_barrier()
        new = await network.new_leader(old)
        assert await new.propose(command("y")) in (1, 2)
        await network.stop()

    run(scenario())


def test_storage_that_cannot_be_read_fails_the_start() -> None:
    async def scenario() -> None:
        network = Network(("a",))
        network.storages["a"].failing = True
        with pytest.raises(GroupFailedError):
            await network.groups["a"].start()

    run(scenario())


def test_storage_works_in_a_thread() -> None:
    """With the usual executor; a group of one needs no waits but for its own election."""

    async def scenario() -> None:
        storage = MemoryStorage(("a",))
        leads = asyncio.Event()
        group = ReplicatedGroup(
            "g",
            "a",
            GroupEnvironment(storage=storage, machine=Machine(), send=lambda message: None),
            callbacks=GroupCallbacks(on_leadership=lambda _: leads.set()),
        )
        await group.start()
        await asyncio.wait_for(leads.wait(), 10.0)
        assert await group.propose(command("x")) == 1
        await group.stop()

    asyncio.run(scenario())
