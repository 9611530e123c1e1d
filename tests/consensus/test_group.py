"""The public interface of a replicated group: three members in one event loop, in virtual time."""

import asyncio

import pytest

from pewterring.consensus.errors import (
    GroupFailedError,
    MembershipRejectedError,
    NotLeaderError,
    OutcomeUnknownError,
)
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.messages import Membership
from tests.consensus.group_network import NAMES, Network, RecordingStateMachine, command, wait_until
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.virtual_time import run


def test_proposals_return_results_and_members_agree() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        results = await asyncio.gather(*(leader.propose(command(str(number))) for number in range(50)))
        assert results == list(range(1, 51))
        await wait_until(lambda: all(len(machine.commands) == 50 for machine in network.machines.values()))
        await network.stop()

    run(scenario())


def test_concurrent_proposals_are_saved_together() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        saves_before = network.storages[leader.member].saves
        await asyncio.gather(*(leader.propose(command("x")) for _ in range(100)))
        assert network.storages[leader.member].saves - saves_before <= 6
        await network.stop()

    run(scenario())


def test_a_follower_rejects_proposals_and_names_the_leader() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        await leader.propose(command("x"))
        follower = next(group for group in network.groups.values() if group is not leader)
        with pytest.raises(NotLeaderError) as raised:
            await follower.propose(command("y"))
        assert raised.value.leader == leader.member
        with pytest.raises(NotLeaderError):
            await follower.read_barrier()
        await network.stop()

    run(scenario())


def test_a_partitioned_leader_loses_its_lease_and_its_proposals_have_unknown_outcome() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        clock = asyncio.get_running_loop().time
        await old.propose(command("before"))
        await old.read_barrier()
        assert old.has_lease(clock())
        network.partitioned.add(old.member)
        lost = asyncio.ensure_future(old.propose(command("lost")))
        new = await network.new_leader(old)
        assert not old.has_lease(clock())
        with pytest.raises(NotLeaderError):
            await old.read_barrier()
        with pytest.raises(OutcomeUnknownError):
            await lost
        assert (old.member, False) in network.leadership_notifications
        assert await new.propose(command("after")) == 2
        network.partitioned.clear()
        await wait_until(lambda: network.machines[old.member].commands == ["before", "after"])
        await network.stop()

    run(scenario())


def test_a_restarted_member_loads_its_snapshot_and_log() -> None:
    async def scenario() -> None:
        network = Network(("a",))
        leader = await network.start()
        for number in range(100):
            await leader.propose(command(str(number)))
        await leader.stop()
        storage = network.storages["a"]
        assert storage.snapshot_index > 0
        assert len(storage.entries) < 60
        restarted = network.add("a", storage)
        await restarted.start()
        await network.new_leader(leader)
        assert network.machines["a"].commands == [str(number) for number in range(100)]
        await restarted.stop()

    run(scenario())


def test_a_new_member_receives_a_snapshot_and_becomes_a_voter() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        for number in range(100):
            await leader.propose(command("x" * 50_000 if number == 0 else str(number)))
        joiner = network.add("d", MemoryStorage())
        await joiner.start()
        await leader.change_membership(Membership(voters=NAMES, learners=("d",)))
        await wait_until(lambda: leader.match("d") >= leader.commit_index)
        assert network.snapshot_chunks_sent > 0
        await leader.change_membership(Membership(voters=(*NAMES, "d")))
        await wait_until(lambda: network.machines["d"].commands == network.machines["a"].commands)
        assert joiner.membership.voters == (*NAMES, "d")
        with pytest.raises(MembershipRejectedError):
            await leader.change_membership(Membership(voters=("a", "b")))
        await network.stop()

    run(scenario())


def test_a_storage_error_stops_the_member() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        network.storages[old.member].failing = True
        with pytest.raises(GroupFailedError):
            await old.propose(command("x"))
        assert len(network.failures) == 1
        assert "disk has failed" in str(network.failures[0])
        with pytest.raises(GroupFailedError):
            await old.read_barrier()
        new = await network.new_leader(old)
        assert await new.propose(command("y")) in (1, 2)
        await network.stop()

    run(scenario())


def test_start_fails_if_the_storage_cannot_be_read() -> None:
    async def scenario() -> None:
        network = Network(("a",))
        network.storages["a"].failing = True
        with pytest.raises(GroupFailedError):
            await network.groups["a"].start()

    run(scenario())


def test_storage_calls_run_in_a_thread() -> None:
    """Uses the default executor in real time; the only voter of a group waits only for its own election."""

    async def scenario() -> None:
        storage = MemoryStorage(("a",))
        leadership_changed = asyncio.Event()
        group = ReplicatedGroup(
            "g",
            "a",
            GroupEnvironment(storage=storage, machine=RecordingStateMachine(), send=lambda _: None),
            callbacks=GroupCallbacks(on_leadership=lambda _: leadership_changed.set()),
        )
        await group.start()
        await asyncio.wait_for(leadership_changed.wait(), 10.0)
        assert await group.propose(command("x")) == 1
        await group.stop()

    asyncio.run(scenario())
