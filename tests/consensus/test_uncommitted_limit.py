"""What a leader accepts while nothing is committed: a limit of bytes, however long its callers wait."""

import asyncio
import contextlib

import pytest

from pewterring.consensus.errors import TooManyUncommittedError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.log import ENTRY_OVERHEAD_BYTES
from pewterring.consensus.types import RaftLimits
from tests.consensus.raft_internals import log_of, raft_of
from tests.consensus.test_full_disk import LimitedStorage, limited_network
from tests.consensus.test_group import NAMES, Network, command, wait_until
from tests.consensus.virtual_time import run

LIMIT_BYTES = 10_000
RETAINED_BYTES = 1000
COMMAND = "x" * 500


async def started() -> tuple[Network, dict[str, LimitedStorage], ReplicatedGroup]:
    """A group whose leader takes `LIMIT_BYTES`."""
    limits = RaftLimits(retained_bytes=RETAINED_BYTES, uncommitted_bytes=LIMIT_BYTES)
    network, disks = limited_network(limits=limits)
    leader = await network.start()
    await leader.propose(command("first"))
    await asyncio.sleep(1.0)
    return network, disks, leader


def set_full(disks: dict[str, LimitedStorage], is_full: bool) -> None:
    for name in NAMES[:2]:
        disks[name].full = is_full


async def propose_with_timeout(leader: ReplicatedGroup, text: str, rejected: list[str]) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.5):
            try:
                await leader.propose(command(text))
            except TooManyUncommittedError:
                rejected.append(text)


def test_memory_is_bounded_while_no_majority_can_save_and_what_is_rejected_never_comes() -> None:
    async def scenario() -> None:
        network, disks, leader = await started()
        set_full(disks, True)
        calls: list[asyncio.Task[None]] = []
        rejected: list[str] = []
        texts = [f"{number} {COMMAND}" for number in range(500)]
        most = 0
        for text in texts:
            calls.append(asyncio.create_task(propose_with_timeout(leader, text, rejected)))
            await asyncio.sleep(0.01)
            most = max(most, *(log_of(group).size_bytes for group in network.groups.values()))
        await asyncio.gather(*calls)
        assert leader.is_leader
        assert 400 < len(rejected) < 500
        assert LIMIT_BYTES / 2 < most < LIMIT_BYTES + RETAINED_BYTES
        set_full(disks, False)
        await leader.propose(command("last"))
        await wait_until(lambda: len({len(machine.commands) for machine in network.machines.values()}) == 1)
        taken = [text for text in texts if text not in rejected]
        for machine in network.machines.values():
            assert machine.commands == ["first", *taken, "last"]
        await network.stop()

    run(scenario())


def test_capacity_comes_back_as_entries_are_committed() -> None:
    async def scenario() -> None:
        network, _, leader = await started()
        for number in range(10 * LIMIT_BYTES // len(COMMAND)):
            await leader.propose(command(f"{number} {COMMAND}"))
        await network.stop()

    run(scenario())


def test_a_command_over_the_bound_is_taken_alone() -> None:
    async def scenario() -> None:
        network, disks, leader = await started()
        large = "y" * (2 * LIMIT_BYTES)
        assert await leader.propose(command(large)) == 2
        set_full(disks, True)
        pending = asyncio.ensure_future(leader.propose(command(large)))
        await asyncio.sleep(0.1)
        with pytest.raises(TooManyUncommittedError):
            await asyncio.wait_for(leader.propose(command("z")), 1.0)
        set_full(disks, False)
        assert await pending == 3
        assert await leader.propose(command("z")) == 4
        await network.stop()

    run(scenario())


def test_entries_of_the_leaders_own_go_on_above_the_bound() -> None:
    """A change of members is how a group comes by disks that can save."""

    async def scenario() -> None:
        network, disks, leader = await started()
        set_full(disks, True)
        pending = asyncio.ensure_future(leader.propose(command("y" * (LIMIT_BYTES + ENTRY_OVERHEAD_BYTES))))
        await asyncio.sleep(0.1)
        membership = type(leader.membership)(leader.membership.voters, ("d",))
        raft_of(leader).propose_membership(membership)
        assert leader.membership == membership
        pending.cancel()
        await network.stop()

    run(scenario())
