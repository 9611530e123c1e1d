"""A state that cannot be read ends the member before anything of it is taken."""

import asyncio
from unittest import mock

import pytest

from pewterring.consensus.errors import GroupFailedError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupEnvironment
from pewterring.consensus.messages import Membership
from pewterring.consensus.raft import Raft
from pewterring.storage.group import DiskGroupStorage
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.test_group import NAMES, Machine, Network, command, wait_until
from tests.consensus.virtual_time import InlineExecutor, run
from tests.storage.model import MEMBERS
from tests.storage.simulated_disk import SimulatedDisk


def test_a_snapshot_on_disk_that_cannot_be_read_is_named() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        storage = DiskGroupStorage(disk, "g")
        storage.load()
        storage.save_snapshot(5, 1, MEMBERS, b'{"of": "a later version"')
        storage.close()
        machine = Machine()
        group = ReplicatedGroup(
            "g",
            "a",
            GroupEnvironment(
                storage=DiskGroupStorage(disk, "g"),
                machine=machine,
                send=lambda message: None,
                clock=asyncio.get_running_loop().time,
                executor=InlineExecutor(),
            ),
        )
        with pytest.raises(GroupFailedError) as refused:
            await group.start()
        assert "g.00000000000000000005.snapshot" in str(refused.value)
        assert "\n" not in str(refused.value)
        assert machine.commands == []

    run(scenario())


class UpgradedMachine(Machine):
    """Once `is_upgraded`, of a version whose snapshots the others cannot read."""

    is_upgraded = False

    def snapshot(self) -> bytes:
        return b"{" + super().snapshot() if self.is_upgraded else super().snapshot()


class UpgradedNetwork(Network):
    machine_class = UpgradedMachine


def test_a_snapshot_that_cannot_be_read_is_not_written() -> None:
    async def scenario() -> None:
        network = UpgradedNetwork()
        leader = await network.start()
        for number in range(100):
            await leader.propose(command("x" * 50_000 if number == 0 else str(number)))
        machine = network.machines[leader.member]
        assert isinstance(machine, UpgradedMachine)
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


def test_a_failure_in_a_timer_ends_the_member() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        tick = Raft.tick

        def fail_at_the_leader(raft: Raft, now: float) -> None:
            if raft.member == leader.member:
                raise RuntimeError("broken")
            tick(raft, now)

        with mock.patch.object(Raft, "tick", fail_at_the_leader):
            await wait_until(lambda: bool(network.failures))
        assert "broken" in str(network.failures[0])
        assert not leader.is_leader
        assert await network.new_leader(leader) is not leader
        await network.stop()

    run(scenario())
