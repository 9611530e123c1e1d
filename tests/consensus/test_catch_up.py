"""Catching up after hundreds of missed changes: the time it takes, and bounds on disk and memory."""

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

CATCH_UP_S = 4.7  # the shortest time in which the operators require a member to catch up
SLOW_SYNC_S = 0.03  # thirty times as slow as the disks of the small sites
SLOW_DISK_BYTES_PER_S = 4e6
SLOW_CPU_BYTES_PER_S = 10e6  # of messages read or written: a fifth of the other members
LARGE_ROUTES = 1000
WORKERS = 100
BATCH_INTERVAL_S = 0.05  # after each ten changes
# Maximum sizes of the data that may be sent to a member: the entries until the next snapshot, the entries
# retained after a snapshot, and the state. The slow disk writes the entries in half of `CATCH_UP_S`.
LOG_BYTES = 5_000_000
RETAINED_BYTES = 4_000_000
STATE_BYTES = 1_000_000


def changes(routes: int) -> Iterator[bytes]:
    """Yields changes of a configuration with `routes` routes, and between them of the workers."""
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


async def commit_changes(group: SlowGroup, commands: Iterator[bytes], count: int) -> int:
    """Commits `count` changes and returns the index of the last one."""
    leader = await group.leader()
    for _ in range(0, count, 10):
        await asyncio.gather(*(leader.propose(command) for command in itertools.islice(commands, 10)))
        await asyncio.sleep(BATCH_INTERVAL_S)
    return leader.commit_index


async def commit_continuously(group: SlowGroup, commands: Iterator[bytes]) -> None:
    while True:
        await (await group.leader()).propose(next(commands))
        await asyncio.sleep(0.1)


async def until_caught_up(group: SlowGroup, member: ReplicatedGroup, index: int) -> None:
    """Waits until the member has applied the entries up to `index` and acknowledged them to the leader."""
    while True:
        if member.applied_index >= index and (await group.leader()).match(member.member) >= index:
            return
        await asyncio.sleep(0.01)


async def start_group_and_kill_follower(commands: Iterator[bytes]) -> tuple[SlowGroup, str]:
    """Starts three members, commits some changes, and kills a follower; returns its name."""
    group = SlowGroup(ControlState)
    for name in ("a", "b", "c"):
        await group.start(name)
    await commit_changes(group, commands, 30)
    absent = next(name for name in group.running if name != group.elections[-1][0])
    await group.kill(absent)
    return group, absent


@pytest.mark.parametrize("count", [60, 150, 200, 300, 550, 1500])
def test_a_slow_member_catches_up_in_time(count: int) -> None:
    """With few missed changes, about as many as the log retains, and so many that a snapshot is needed."""

    async def scenario() -> None:
        commands = changes(LARGE_ROUTES)
        group, absent = await start_group_and_kill_follower(commands)
        target = await commit_changes(group, commands, count)
        load = asyncio.create_task(commit_continuously(group, commands))
        elections_before, sent_before = len(group.elections), group.sent_bytes[absent]
        started_at = asyncio.get_running_loop().time()
        lagging = await group.start(absent, SLOW_SYNC_S, SLOW_DISK_BYTES_PER_S, SLOW_CPU_BYTES_PER_S)
        await asyncio.wait_for(until_caught_up(group, lagging, target), CATCH_UP_S)
        assert asyncio.get_running_loop().time() - started_at < CATCH_UP_S
        assert group.elections[elections_before:] == []
        assert group.sent_bytes[absent] - sent_before < LOG_BYTES + RETAINED_BYTES + STATE_BYTES
        load.cancel()
        await group.stop()

    run(scenario())


def test_a_member_that_reads_slowly_is_sent_nothing_twice() -> None:
    """Its replies to heartbeats are delayed but arrive, so messages in flight to it do not count as lost."""

    async def scenario() -> None:
        group = SlowGroup(ControlState)
        for name in ("a", "b", "c"):
            await group.start(name)
        commands = changes(LARGE_ROUTES)
        await commit_changes(group, commands, 30)
        absent = next(name for name in group.running if name != (group.elections[-1][0]))
        applied_before = group.running[absent].applied_index
        await group.kill(absent)
        target = await commit_changes(group, commands, 60)
        leader = await group.leader()
        missed_bytes = log_of(leader).bytes_after(applied_before)
        sent_before = group.sent_bytes[absent]
        lagging = await group.start(absent, SLOW_SYNC_S, SLOW_DISK_BYTES_PER_S, cpu_bytes_per_s=2e6)
        await until_caught_up(group, lagging, target)
        assert group.sent_bytes[absent] - sent_before < 1.3 * missed_bytes
        await group.stop()

    run(scenario())


@pytest.mark.parametrize("count", [60, 300])
def test_a_lagging_member_is_not_elected(count: int) -> None:
    """The leader is killed just after a lagging member restarted: the up-to-date member must be elected."""

    async def scenario() -> None:
        commands = changes(LARGE_ROUTES)
        group, absent = await start_group_and_kill_follower(commands)
        old_leader = group.elections[-1][0]
        target = await commit_changes(group, commands, count)
        lagging = await group.start(absent, SLOW_SYNC_S, SLOW_DISK_BYTES_PER_S, SLOW_CPU_BYTES_PER_S)
        await asyncio.sleep(0.05)
        await group.kill(old_leader)
        new_leader = await group.leader()
        assert new_leader is not lagging or lagging.applied_index >= target
        await asyncio.wait_for(until_caught_up(group, lagging, target), CATCH_UP_S)
        state = group.machines[absent]
        assert isinstance(state, ControlState)
        assert state.version >= count // 3
        await group.stop()

    run(scenario())


def test_disk_and_memory_stay_bounded_over_ten_thousand_changes() -> None:
    """One member is down all the time, and its missing entries must not be kept in the log."""

    async def scenario() -> None:
        group = SlowGroup(ControlState)
        for name in ("a", "b", "c"):
            await group.start(name)
        commands = changes(routes=50)
        await commit_changes(group, commands, 10)
        leader = await group.leader()
        absent = next(name for name in group.running if name != leader.member)
        await group.kill(absent)
        snapshot_bytes = peak_log_bytes = 0
        for _ in range(100):
            await commit_changes(group, commands, 100)
            peak_log_bytes = max(peak_log_bytes, log_of(leader).size_bytes)
            snapshot_bytes = max(snapshot_bytes, len(group.machines[leader.member].snapshot()))
        assert leader.applied_index >= 10_000
        assert snapshot_bytes < SNAPSHOT_AFTER_BYTES
        log_bytes = LOG_BYTES + 100_000  # plus the entries that arrive while a snapshot is made
        assert peak_log_bytes < log_bytes + RETAINED_BYTES
        for name in group.running:
            assert group.disks[name].peak_bytes < 2 * (log_bytes * 1.1 + snapshot_bytes)
        for name in list(group.running):
            await group.kill(name)
            disk = group.disks[name]
            assert sum(disk.size(file) for file in disk.names()) < 2 * log_bytes * 1.1 + snapshot_bytes

    run(scenario())
