"""A member away during hundreds of changes: how soon it has them, and what its disk and memory hold."""

import asyncio
import itertools
from collections.abc import Iterator

import msgspec
import pytest

from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.snapshot_schedule import SNAPSHOT_AFTER_BYTES
from pewterring.control.commands import PutConfiguration, PutWorker, RemoveWorkers, encode_command
from pewterring.control.state import ControlState
from pewterring.distribution.messages import WorkerRecord
from tests.consensus.raft_internals import log_of
from tests.consensus.slow_members import SlowGroup
from tests.consensus.virtual_time import run

CATCH_UP_S = 4.7  # the least that the operators give a member
SLOW_SYNC_S = 0.03  # thirty times as slow as the disks of the small sites
SLOW_DISK_BYTES_PER_S = 4e6
HALF_SPEED_BYTES_PER_S = 10e6  # of messages read or written: a fifth of the others
LARGE_ROUTES = 1000
WORKERS = 100
PAUSE_S = 0.05  # after ten changes
# Of what a member may have to be sent: entries until the next snapshot, those kept behind it, and the state.
# The slow disk writes the entries in half of the time that there is.
LOG_BYTES = 5_000_000
RETAINED_BYTES = 4_000_000
STATE_BYTES = 1_000_000


def changes(routes: int) -> Iterator[bytes]:
    """Configurations of so many routes; workers come and go between them."""
    for version in itertools.count(1):
        document = {
            "version": version,
            "routes": [
                {"hostname": "h.example", "path_prefix": f"/p{number}/", "timeout_ms": 1000 + version}
                for number in range(routes)
            ],
        }
        raw = msgspec.Raw(msgspec.json.encode(document))
        yield encode_command(PutConfiguration(version - 1, version, f"{version:064d}", raw))
        address = f"10.1.{version >> 8}.{version & 255}:80"
        yield encode_command(PutWorker(WorkerRecord(f"w-{version}", "s", address, "z", 8, "ready")))
        if version > WORKERS:
            yield encode_command(RemoveWorkers((f"w-{version - WORKERS}",), permanent=True))


async def order(group: SlowGroup, commands: Iterator[bytes], count: int) -> int:
    """Has so many changes taken; returns the index of the last."""
    leader = await group.leader()
    for _ in range(0, count, 10):
        await asyncio.gather(*(leader.propose(command) for command in itertools.islice(commands, 10)))
        await asyncio.sleep(PAUSE_S)
    return leader.commit_index


async def orders_go_on(group: SlowGroup, commands: Iterator[bytes]) -> None:
    while True:
        await (await group.leader()).propose(next(commands))
        await asyncio.sleep(0.1)


async def until_caught_up(group: SlowGroup, member: ReplicatedGroup, index: int) -> None:
    """Waits until the member has applied all up to `index`, and the leader knows it to be on its disk."""
    while True:
        if member.applied_index >= index and (await group.leader()).match(member.member) >= index:
            return
        await asyncio.sleep(0.01)


async def group_with_a_member_absent(commands: Iterator[bytes]) -> tuple[SlowGroup, str]:
    """Three members that took some changes, and the name of one that has ended since."""
    group = SlowGroup(ControlState)
    for name in ("a", "b", "c"):
        await group.start(name)
    await order(group, commands, 30)
    absent = next(name for name in group.running if name != group.led[-1][0])
    await group.end(absent)
    return group, absent


@pytest.mark.parametrize("count", [60, 150, 200, 300, 550, 1500])
def test_a_slow_member_catches_up_in_time(count: int) -> None:
    """At each distance: where entries suffice, at the edge of what is kept of them, and far behind."""

    async def scenario() -> None:
        commands = changes(LARGE_ROUTES)
        group, absent = await group_with_a_member_absent(commands)
        target = await order(group, commands, count)
        going_on = asyncio.create_task(orders_go_on(group, commands))
        led_before, sent_before = len(group.led), group.sent_bytes[absent]
        began = asyncio.get_running_loop().time()
        late = await group.start(absent, SLOW_SYNC_S, SLOW_DISK_BYTES_PER_S, HALF_SPEED_BYTES_PER_S)
        await asyncio.wait_for(until_caught_up(group, late, target), CATCH_UP_S)
        assert asyncio.get_running_loop().time() - began < CATCH_UP_S
        assert group.led[led_before:] == []
        assert group.sent_bytes[absent] - sent_before < LOG_BYTES + RETAINED_BYTES + STATE_BYTES
        going_on.cancel()
        await group.stop()

    run(scenario())


def test_a_slow_reader_is_sent_nothing_twice() -> None:
    """Its answers come late for a leader's heartbeats, and come: what is on the way to it is not lost."""

    async def scenario() -> None:
        group = SlowGroup(ControlState)
        for name in ("a", "b", "c"):
            await group.start(name)
        commands = changes(LARGE_ROUTES)
        await order(group, commands, 30)
        absent = next(name for name in group.running if name != (group.led[-1][0]))
        applied_before = group.running[absent].applied_index
        await group.end(absent)
        target = await order(group, commands, 60)
        leader = await group.leader()
        missed = log_of(leader).bytes_after(applied_before)
        sent_before = group.sent_bytes[absent]
        late = await group.start(absent, SLOW_SYNC_S, SLOW_DISK_BYTES_PER_S, processor=2e6)
        await until_caught_up(group, late, target)
        assert group.sent_bytes[absent] - sent_before < 1.3 * missed
        await group.stop()

    run(scenario())


@pytest.mark.parametrize("count", [60, 300])
def test_a_member_that_is_behind_does_not_lead(count: int) -> None:
    """The leader is gone as the late member comes back: the one that has everything must be elected."""

    async def scenario() -> None:
        commands = changes(LARGE_ROUTES)
        group, absent = await group_with_a_member_absent(commands)
        old = group.led[-1][0]
        target = await order(group, commands, count)
        late = await group.start(absent, SLOW_SYNC_S, SLOW_DISK_BYTES_PER_S, HALF_SPEED_BYTES_PER_S)
        await asyncio.sleep(0.05)
        await group.end(old)
        new = await group.leader()
        assert new is not late or late.applied_index >= target
        await asyncio.wait_for(until_caught_up(group, late, target), CATCH_UP_S)
        state = group.machines[absent]
        assert isinstance(state, ControlState)
        assert state.version >= count // 3
        await group.stop()

    run(scenario())


def test_disk_and_memory_stay_bounded_over_ten_thousand_changes() -> None:
    """With one member away all the time, for which nobody may keep the log."""

    async def scenario() -> None:
        group = SlowGroup(ControlState)
        for name in ("a", "b", "c"):
            await group.start(name)
        commands = changes(routes=50)
        await order(group, commands, 10)
        leader = await group.leader()
        absent = next(name for name in group.running if name != leader.member)
        await group.end(absent)
        snapshot_bytes = longest = 0
        for _ in range(100):
            await order(group, commands, 100)
            longest = max(longest, log_of(leader).size_bytes)
            snapshot_bytes = max(snapshot_bytes, len(group.machines[leader.member].snapshot()))
        assert leader.applied_index >= 10_000
        assert snapshot_bytes < SNAPSHOT_AFTER_BYTES
        log_bytes = LOG_BYTES + 100_000  # and what came meanwhile
        assert longest < log_bytes + RETAINED_BYTES
        for name in group.running:
            assert group.disks[name].peak_bytes < 2 * (log_bytes * 1.1 + snapshot_bytes)
        for name in list(group.running):
            await group.end(name)
            disk = group.disks[name]
            assert sum(disk.size(file) for file in disk.names()) < 2 * log_bytes * 1.1 + snapshot_bytes

    run(scenario())
