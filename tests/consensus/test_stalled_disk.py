"""Stalled disks: the group continues; the member acknowledges nothing and its log stays bounded in memory."""

import asyncio
import contextlib
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from pewterring.consensus.errors import ConsensusError
from tests.consensus.group_network import NAMES, Network, RecordingStateMachine, command, wait_until
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.raft_internals import log_of
from tests.consensus.virtual_time import InlineExecutor, run

COMMAND = command("x" * 500_000)
COMMAND_COUNT = 200  # 100 MB in all
PROPOSAL_INTERVAL_S = 0.01
# Bound on a log in memory: the entries between two snapshots; those that are not on the member's own disk, or
# those retained for a snapshot transfer; one replication window; and the entries of one heartbeat interval.
MAX_LOG_BYTES = 20_000_000 + 16_000_000 + 4_000_000 + 10_000_000


class LengthRecordingStateMachine(RecordingStateMachine):
    """Records only the lengths of the commands, to keep the state small."""

    def apply(self, _index: int, command: bytes) -> object:
        self.commands.append(str(len(command)))
        return len(self.commands)


class LengthRecordingNetwork(Network):
    machine_class = LengthRecordingStateMachine


class StallingExecutor(Executor):
    """Queues all work while `stalled`; `resume` does the queued work."""

    def __init__(self) -> None:
        self._inline = InlineExecutor()
        self._queued: list[tuple[Future[Any], Callable[[], Any]]] = []
        self.stalled = False

    def submit(self, work: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        if not self.stalled:
            return self._inline.submit(work, *args, **kwargs)
        future: Future[Any] = Future()
        self._queued.append((future, lambda: work(*args, **kwargs)))
        return future

    def resume(self) -> None:
        self.stalled = False
        queued, self._queued = self._queued, []
        for future, work in queued:
            if not future.cancelled():
                future.set_result(work())


def stalling_network() -> tuple[Network, dict[str, StallingExecutor]]:
    network = LengthRecordingNetwork()
    executors = {name: StallingExecutor() for name in NAMES}
    for name, executor in executors.items():
        network.add(name, MemoryStorage(NAMES), executor)
    return network, executors


async def propose(network: Network, count: int) -> int:
    """Proposes `count` commands to the current leader; returns the largest size of a log, in bytes."""
    max_log_bytes = 0
    while count > 0:
        leader = next((group for group in network.groups.values() if group.is_leader), None)
        if leader is None:
            await asyncio.sleep(PROPOSAL_INTERVAL_S)
            continue
        with contextlib.suppress(ConsensusError):  # rejected while the leadership is transferred
            await leader.propose(COMMAND)
            count -= 1
        await asyncio.sleep(PROPOSAL_INTERVAL_S)
        max_log_bytes = max(max_log_bytes, *(log_of(group).size_bytes for group in network.groups.values()))
    return max_log_bytes


def test_a_leader_with_a_stalled_disk_transfers_its_leadership() -> None:
    async def scenario() -> None:
        network, executors = stalling_network()
        old = await network.start()
        await propose(network, 1)
        executors[old.member].stalled = True
        max_log_bytes = await propose(network, COMMAND_COUNT)
        assert not old.is_leader
        assert network.failures == []
        assert max_log_bytes < MAX_LOG_BYTES
        executors[old.member].resume()
        await wait_until(lambda: len(network.machines[old.member].commands) == COMMAND_COUNT + 1)
        await network.stop()

    run(scenario())


def test_a_leader_keeps_its_leadership_through_a_short_stall() -> None:
    async def scenario() -> None:
        network, executors = stalling_network()
        old = await network.start()
        executors[old.member].stalled = True
        await propose(network, 10)
        assert old.is_leader
        assert old.match(old.member) < old.commit_index
        executors[old.member].resume()
        await wait_until(lambda: old.match(old.member) == old.commit_index)
        assert network.leadership_notifications == [(old.member, True)]
        await network.stop()

    run(scenario())


def test_a_follower_with_a_stalled_disk_acknowledges_nothing_and_does_not_lead() -> None:
    async def scenario() -> None:
        network, executors = stalling_network()
        leader = await network.start()
        stalled = next(name for name in NAMES if name != leader.member)
        executors[stalled].stalled = True
        before = leader.match(stalled)
        max_log_bytes = await propose(network, COMMAND_COUNT)
        assert leader.match(stalled) == before
        assert max_log_bytes < MAX_LOG_BYTES
        await leader.stop()
        await asyncio.sleep(5.0)
        assert not any(group.is_leader for name, group in network.groups.items() if name == stalled)
        executors[stalled].resume()
        await network.new_leader(leader)
        await wait_until(lambda: len(network.machines[stalled].commands) == COMMAND_COUNT)
        await network.stop()

    run(scenario())
