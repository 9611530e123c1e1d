"""A snapshot that cannot be decoded stops the member before it is used, and so does an error in the core."""

import asyncio
from unittest import mock

import pytest

from pewterring.consensus.errors import GroupFailedError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupEnvironment
from pewterring.consensus.messages import Membership
from pewterring.consensus.raft import Raft
from pewterring.storage.group import DiskGroupStorage
from tests.consensus.group_network import NAMES, Network, RecordingStateMachine, command, wait_until
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.virtual_time import InlineExecutor, run
from tests.storage.model import MEMBERS
from tests.storage.simulated_disk import SimulatedDisk


def test_an_undecodable_snapshot_on_disk_is_named_in_the_error() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        storage = DiskGroupStorage(disk, "g")
        storage.load()
        storage.save_snapshot(5, 1, MEMBERS, b'{"of": "a later version"')
        storage.close()
        machine = RecordingStateMachine()
        group = ReplicatedGroup(
            "g",
            "a",
            GroupEnvironment(
                storage=DiskGroupStorage(disk, "g"),
                machine=machine,
                send=lambda _: None,
                clock=asyncio.get_running_loop().time,
                executor=InlineExecutor(),
            ),
        )
        with pytest.raises(GroupFailedError) as raised:
            await group.start()
        assert "g.00000000000000000005.snapshot" in str(raised.value)
        assert "\n" not in str(raised.value)
        assert machine.commands == []

    run(scenario())


class UpgradedStateMachine(RecordingStateMachine):
    """While `is_upgraded`, returns snapshots of a later version, which other members cannot decode."""

    is_upgraded = False

    def snapshot(self) -> bytes:
        return b"{" + super().snapshot() if self.is_upgraded else super().snapshot()


class UpgradedNetwork(Network):
    machine_class = UpgradedStateMachine


def test_an_undecodable_received_snapshot_is_not_written() -> None:
    async def scenario() -> None:
        network = UpgradedNetwork()
        leader = await network.start()
        for number in range(100):
            await leader.propose(command("x" * 50_000 if number == 0 else str(number)))
        machine = network.machines[leader.member]
        assert isinstance(machine, UpgradedStateMachine)
        machine.is_upgraded = True
        joiner = network.add("d", MemoryStorage())
        await joiner.start()
        await leader.change_membership(Membership(voters=NAMES, learners=("d",)))
        await wait_until(lambda: bool(network.failures))
        assert "JSON" in str(network.failures[0]) or "Expecting" in str(network.failures[0])
        assert network.storages["d"].snapshot is None
        assert network.machines["d"].commands == []
        assert len(network.failures) == 1
        assert leader.is_leader
        await network.stop()

    run(scenario())


def test_an_error_in_a_timer_stops_the_member() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        tick = Raft.tick

        def fail_on_the_leader(raft: Raft, now: float) -> None:
            if raft.member == leader.member:
                raise RuntimeError("broken")
            tick(raft, now)

        with mock.patch.object(Raft, "tick", fail_on_the_leader):
            await wait_until(lambda: bool(network.failures))
        assert "broken" in str(network.failures[0])
        assert not leader.is_leader
        assert await network.new_leader(leader) is not leader
        await network.stop()

    run(scenario())
