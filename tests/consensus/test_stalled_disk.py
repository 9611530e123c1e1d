"""A disk that answers nothing: the group goes on; the member claims nothing and does not fill its memory."""

import asyncio
import contextlib
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from pewterring.consensus.errors import ConsensusError
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.raft_internals import log_of
from tests.consensus.test_group import NAMES, Machine, Network, command, wait_until
from tests.consensus.virtual_time import InlineExecutor, run

CHANGE = command("x" * 500_000)
CHANGES = 200  # 100 MB
PAUSE_S = 0.01  # between changes
# Of a log in memory: what comes between two snapshots, and behind that either what the own disk does not hold
# or what is kept for a snapshot on its way; then a window, and what comes within a heartbeat.
MOST_LOG_BYTES = 20_000_000 + 16_000_000 + 4_000_000 + 10_000_000


class SmallMachine(Machine):
    """Keeps how long the commands were."""

    def apply(self, index: int, command: bytes) -> object:
        self.commands.append(str(len(command)))
        return len(self.commands)


class SmallNetwork(Network):
    machine_class = SmallMachine


class StallingExecutor(Executor):
    """Does no work while `stalled`; what was asked for meanwhile is done at the end of that."""

    def __init__(self) -> None:
        self._inline = InlineExecutor()
        self._held: list[tuple[Future[Any], Callable[[], Any]]] = []
        self.stalled = False

    def submit(self, work: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        if not self.stalled:
            return self._inline.submit(work, *args, **kwargs)
        future: Future[Any] = Future()
        self._held.append((future, lambda: work(*args, **kwargs)))
        return future

    def go_on(self) -> None:
        self.stalled = False
        held, self._held = self._held, []
        for future, work in held:
            if not future.cancelled():
                future.set_result(work())


def stalling_network() -> tuple[Network, dict[str, StallingExecutor]]:
    network = SmallNetwork()
    executors = {name: StallingExecutor() for name in NAMES}
    for name, executor in executors.items():
        network.add(name, MemoryStorage(NAMES), executor)
    return network, executors


async def propose(network: Network, count: int) -> int:
    """Has so many changes taken by whoever leads; returns the most that a member's log had in memory."""
    most = 0
    while count > 0:
        leader = next((group for group in network.groups.values() if group.is_leader), None)
        if leader is None:
            await asyncio.sleep(PAUSE_S)
            continue
        with contextlib.suppress(ConsensusError):  # refused, as the leadership is handed over
            await leader.propose(CHANGE)
            count -= 1
        await asyncio.sleep(PAUSE_S)
        most = max(most, *(log_of(group).size_bytes for group in network.groups.values()))
    return most


def test_a_leader_whose_disk_stands_still_lets_another_lead() -> None:
    async def scenario() -> None:
        network, executors = stalling_network()
        old = await network.start()
        await propose(network, 1)
        executors[old.member].stalled = True
        most = await propose(network, CHANGES)
        assert not old.is_leader
        assert network.failures == []
        assert most < MOST_LOG_BYTES
        executors[old.member].go_on()
        await wait_until(lambda: len(network.machines[old.member].commands) == CHANGES + 1)
        await network.stop()

    run(scenario())


def test_a_short_stall_changes_no_leader() -> None:
    async def scenario() -> None:
        network, executors = stalling_network()
        old = await network.start()
        executors[old.member].stalled = True
        await propose(network, 10)
        assert old.is_leader
        assert old.match(old.member) < old.commit_index
        executors[old.member].go_on()
        await wait_until(lambda: old.match(old.member) == old.commit_index)
        assert network.notified == [(old.member, True)]
        await network.stop()

    run(scenario())


def test_a_follower_whose_disk_stands_still_claims_and_leads_nothing() -> None:
    async def scenario() -> None:
        network, executors = stalling_network()
        leader = await network.start()
        still = next(name for name in NAMES if name != leader.member)
        executors[still].stalled = True
        before = leader.match(still)
        most = await propose(network, CHANGES)
        assert leader.match(still) == before
        assert most < MOST_LOG_BYTES
        await leader.stop()
        await asyncio.sleep(5.0)
        assert not any(group.is_leader for name, group in network.groups.items() if name == still)
        executors[still].go_on()
        await network.new_leader(leader)
        await wait_until(lambda: len(network.machines[still].commands) == CHANGES)
        await network.stop()

    run(scenario())
