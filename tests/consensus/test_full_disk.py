"""A disk without room: nothing is lost or claimed, and the member goes on once there is room."""

import asyncio
from collections.abc import Sequence

from pewterring.consensus.errors import StorageFullError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup
from pewterring.consensus.types import RaftLimits
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.test_group import NAMES, SMALL_LIMITS, Network, command, wait_until
from tests.consensus.virtual_time import run


class LimitedStorage(MemoryStorage):
    """Has no room for entries while `full`, and none for snapshots while `snapshots_full`."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        super().__init__(voters)
        self.full = False
        self.snapshots_full = False
        self.refused = 0

    def load(self) -> LoadedGroup:
        self._check_room(self.full)  # a new log begins with its first records
        return super().load()

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        self._check_room(self.full)
        super().save(hard_state, truncate_from, entries)

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        self._check_room(self.full or self.snapshots_full)
        super().save_snapshot(index, term, membership, data)

    def _check_room(self, is_full: bool) -> None:
        if is_full:
            self.refused += 1
            raise StorageFullError("no room")


def limited_network(
    voters: tuple[str, ...] = NAMES, limits: RaftLimits = SMALL_LIMITS
) -> tuple[Network, dict[str, LimitedStorage]]:
    network = Network(voters, limits)
    disks = {name: LimitedStorage(voters) for name in voters}
    for name, disk in disks.items():
        network.add(name, disk)
    return network, disks


async def propose_many(leader: ReplicatedGroup, count: int) -> None:
    for number in range(count):
        await leader.propose(command(f"{number}"))


def test_a_leader_without_room_goes_on_with_the_others() -> None:
    async def scenario() -> None:
        network, disks = limited_network()
        leader = await network.start()
        disk = disks[leader.member]
        disk.full = True
        await propose_many(leader, 10)
        assert leader.is_leader
        assert disk.refused > 0
        assert leader.match(leader.member) < leader.commit_index
        disk.full = False
        await wait_until(lambda: leader.match(leader.member) == leader.commit_index)
        assert network.failures == []
        assert disk.last_index == leader.commit_index
        await network.stop()

    run(scenario())


def test_a_majority_without_room_acknowledges_nothing_until_there_is_some() -> None:
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


def test_without_room_for_a_snapshot_entries_are_saved_all_the_same() -> None:
    async def scenario() -> None:
        network, disks = limited_network(("a",))
        leader = await network.start()
        disks["a"].snapshots_full = True
        await propose_many(leader, 100)
        assert disks["a"].refused > 0
        assert disks["a"].snapshot_index == 0
        disks["a"].snapshots_full = False
        await propose_many(leader, 100)
        assert disks["a"].snapshot_index > 0
        await network.stop()

    run(scenario())


def test_a_member_that_waits_for_room_can_be_stopped() -> None:
    async def scenario() -> None:
        network, disks = limited_network(("a",))
        leader = await network.start()
        disks["a"].full = True
        proposal = asyncio.ensure_future(leader.propose(command("x")))
        await asyncio.wait([proposal], timeout=1.0)
        await leader.stop()
        refused = disks["a"].refused
        await asyncio.sleep(2.0)
        assert disks["a"].refused == refused
        assert proposal.exception() is not None

    run(scenario())


def test_a_member_that_starts_without_room_takes_part_once_there_is_some() -> None:
    async def scenario() -> None:
        network, disks = limited_network()
        late = network.groups["c"]
        disks["c"].full = True
        starts = [asyncio.ensure_future(group.start()) for group in network.groups.values()]
        await wait_until(lambda: any(group.is_leader for group in network.groups.values()))
        leader = next(group for group in network.groups.values() if group.is_leader)
        await propose_many(leader, 10)
        assert disks["c"].refused > 0
        assert not starts[2].done()
        disks["c"].full = False
        await wait_until(lambda: late.applied_index == leader.commit_index)
        assert starts[2].done()
        assert network.failures == []
        await network.stop()

    run(scenario())


def test_a_start_that_waits_for_room_can_be_given_up() -> None:
    async def scenario() -> None:
        network, disks = limited_network(("a",))
        disks["a"].full = True
        start = asyncio.ensure_future(network.groups["a"].start())
        await asyncio.wait([start], timeout=1.0)
        start.cancel()
        refused = disks["a"].refused
        await asyncio.sleep(2.0)
        assert start.cancelled()
        assert 1 < refused == disks["a"].refused

    run(scenario())
