"""The leader's limit on the size of uncommitted entries, while its group cannot commit."""

import asyncio
import contextlib

import pytest

from pewterring.consensus.errors import TooManyUncommittedError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.log import ENTRY_OVERHEAD_BYTES
from pewterring.consensus.types import RaftLimits
from tests.consensus.group_network import NAMES, Network, command, wait_until
from tests.consensus.limited_storage import LimitedStorage, limited_network
from tests.consensus.raft_internals import log_of, raft_of
from tests.consensus.virtual_time import run

LIMIT_BYTES = 10_000
RETAINED_BYTES = 1000
COMMAND = "x" * 500


async def start_group() -> tuple[Network, dict[str, LimitedStorage], ReplicatedGroup]:
    """Starts a group whose leader accepts up to `LIMIT_BYTES` of uncommitted entries."""
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


def test_memory_is_bounded_while_no_majority_can_save_and_rejected_commands_are_never_applied() -> None:
    async def scenario() -> None:
        network, disks, leader = await start_group()
        set_full(disks, True)
        calls: list[asyncio.Task[None]] = []
        rejected: list[str] = []
        texts = [f"{number} {COMMAND}" for number in range(500)]
        peak_bytes = 0
        for text in texts:
            calls.append(asyncio.create_task(propose_with_timeout(leader, text, rejected)))
            await asyncio.sleep(0.01)
            peak_bytes = max(peak_bytes, *(log_of(group).size_bytes for group in network.groups.values()))
        await asyncio.gather(*calls)
        assert leader.is_leader
        assert 400 < len(rejected) < 500
        assert LIMIT_BYTES / 2 < peak_bytes < LIMIT_BYTES + RETAINED_BYTES
        set_full(disks, False)
        await leader.propose(command("last"))
        await wait_until(lambda: len({len(machine.commands) for machine in network.machines.values()}) == 1)
        accepted = [text for text in texts if text not in rejected]
        for machine in network.machines.values():
            assert machine.commands == ["first", *accepted, "last"]
        await network.stop()

    run(scenario())


def test_committed_entries_do_not_count_towards_the_limit() -> None:
    async def scenario() -> None:
        network, _, leader = await start_group()
        for number in range(10 * LIMIT_BYTES // len(COMMAND)):
            await leader.propose(command(f"{number} {COMMAND}"))
        await network.stop()

    run(scenario())


def test_a_command_above_the_limit_is_accepted_if_no_other_entry_is_uncommitted() -> None:
    async def scenario() -> None:
        network, disks, leader = await start_group()
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


def test_the_limit_does_not_apply_to_membership_changes() -> None:
    """A membership change may be needed to add members whose disks can save entries."""

    async def scenario() -> None:
        network, disks, leader = await start_group()
        set_full(disks, True)
        pending = asyncio.ensure_future(leader.propose(command("y" * (LIMIT_BYTES + ENTRY_OVERHEAD_BYTES))))
        await asyncio.sleep(0.1)
        membership = type(leader.membership)(leader.membership.voters, ("d",))
        raft_of(leader).propose_membership(membership)
        assert leader.membership == membership
        pending.cancel()
        await network.stop()

    run(scenario())
