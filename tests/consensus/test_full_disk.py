"""Full disks: a member loses and acknowledges nothing, and continues once there is free space."""

import asyncio

from pewterring.consensus.group import ReplicatedGroup
from tests.consensus.group_network import NAMES, command, wait_until
from tests.consensus.limited_storage import limited_network
from tests.consensus.virtual_time import run


async def propose_many(leader: ReplicatedGroup, count: int) -> None:
    for number in range(count):
        await leader.propose(command(f"{number}"))


def test_a_leader_with_a_full_disk_still_commits() -> None:
    async def scenario() -> None:
        network, disks = limited_network()
        leader = await network.start()
        disk = disks[leader.member]
        disk.full = True
        await propose_many(leader, 10)
        assert leader.is_leader
        assert disk.rejected_calls > 0
        assert leader.match(leader.member) < leader.commit_index
        disk.full = False
        await wait_until(lambda: leader.match(leader.member) == leader.commit_index)
        assert network.failures == []
        assert disk.last_index == leader.commit_index
        await network.stop()

    run(scenario())


def test_nothing_is_committed_while_a_majority_has_full_disks() -> None:
    async def scenario() -> None:
        network, disks = limited_network()
        leader = await network.start()
        for name in NAMES[:2]:
            disks[name].full = True
        proposal = asyncio.ensure_future(leader.propose(command("x")))
        await asyncio.wait([proposal], timeout=5.0)
        assert not proposal.done()
        for disk in disks.values():
            disk.full = False
        assert await proposal == 1
        await network.stop()

    run(scenario())


def test_entries_are_saved_without_disk_space_for_a_snapshot() -> None:
    async def scenario() -> None:
        network, disks = limited_network(("a",))
        leader = await network.start()
        disks["a"].snapshots_full = True
        await propose_many(leader, 100)
        assert disks["a"].rejected_calls > 0
        assert disks["a"].snapshot_index == 0
        disks["a"].snapshots_full = False
        await propose_many(leader, 100)
        assert disks["a"].snapshot_index > 0
        await network.stop()

    run(scenario())


def test_a_member_that_waits_for_disk_space_can_be_stopped() -> None:
    async def scenario() -> None:
        network, disks = limited_network(("a",))
        leader = await network.start()
        disks["a"].full = True
        proposal = asyncio.ensure_future(leader.propose(command("x")))
        await asyncio.wait([proposal], timeout=1.0)
        await leader.stop()
        rejected_calls = disks["a"].rejected_calls
        await asyncio.sleep(2.0)
        assert disks["a"].rejected_calls == rejected_calls
        assert proposal.exception() is not None

    run(scenario())


def test_a_member_that_starts_with_a_full_disk_takes_part_once_there_is_space() -> None:
    async def scenario() -> None:
        network, disks = limited_network()
        late = network.groups["c"]
        disks["c"].full = True
        starts = [asyncio.ensure_future(group.start()) for group in network.groups.values()]
        await wait_until(lambda: any(group.is_leader for group in network.groups.values()))
        leader = next(group for group in network.groups.values() if group.is_leader)
        await propose_many(leader, 10)
        assert disks["c"].rejected_calls > 0
        assert not starts[2].done()
        disks["c"].full = False
        await wait_until(lambda: late.applied_index == leader.commit_index)
        assert starts[2].done()
        assert network.failures == []
        await network.stop()

    run(scenario())


def test_a_start_that_waits_for_disk_space_can_be_cancelled() -> None:
    async def scenario() -> None:
        network, disks = limited_network(("a",))
        disks["a"].full = True
        start = asyncio.ensure_future(network.groups["a"].start())
        await asyncio.wait([start], timeout=1.0)
        start.cancel()
        rejected_calls = disks["a"].rejected_calls
        await asyncio.sleep(2.0)
        assert start.cancelled()
        assert 1 < rejected_calls == disks["a"].rejected_calls

    run(scenario())
