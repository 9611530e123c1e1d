"""Which partitions a store starts by itself, and with which members."""

import asyncio
from pathlib import Path

from pewterring.batch.partition import Partition
from pewterring.batch.partitions import StorePartitions
from pewterring.consensus.membership import encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership
from pewterring.consensus.persistent import HardState
from pewterring.consensus.recovery import plan_recovery, survivor_of
from pewterring.distribution.messages import PlacementRecord
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from tests.batch.stand_ins import ManualClock
from tests.batch.test_partition import MEMBER, store_environment

GROUP = "batch-0"
VOTERS = (MEMBER, "10.0.0.2#b", "10.0.0.3#c")


def store_partitions(data_dir: Path) -> StorePartitions:
    environment = store_environment(data_dir, ManualClock())
    return StorePartitions(data_dir, lambda: environment)


def only(partitions: StorePartitions) -> Partition | None:
    """The only partition that runs, if any."""
    return next(iter(partitions), None)


async def assert_starts_with(data_dir: Path, voters: tuple[str, ...]) -> None:
    """Loads the partitions of a store; the only one runs and knows these voters."""
    partitions = store_partitions(data_dir)
    await partitions.load()
    partition = only(partitions)
    assert partition is not None
    assert partition.group.membership.voters == voters
    await partitions.stop()


async def started() -> None:
    """Waits until all partitions that are starting in the background have started."""
    await asyncio.gather(*(asyncio.all_tasks() - {asyncio.current_task()}))


# Guards against a voter that has the log alone and waits for a message of its group.
def test_a_store_starts_a_partition_of_which_it_has_the_log_alone(tmp_path: Path) -> None:
    storage = DiskGroupStorage(FolderDisk(tmp_path), GROUP)
    storage.load()
    storage.save(HardState(1), None, [Entry(1, 1, ENTRY_MEMBERS, encode_membership(Membership(VOTERS)))])
    storage.close()

    asyncio.run(assert_starts_with(tmp_path, VOTERS))


# Guards against a store that is to go on alone after a recovery and has no snapshot to start with.
def test_a_recovered_store_without_a_snapshot_starts_its_partition_as_the_only_voter(tmp_path: Path) -> None:
    storage = DiskGroupStorage(FolderDisk(tmp_path), GROUP)
    storage.load()
    members = Entry(1, 1, ENTRY_MEMBERS, encode_membership(Membership(VOTERS)))
    storage.save(HardState(1), None, [members])
    recovery = plan_recovery(survivor_of(MEMBER, storage.load()))
    storage.save(recovery.hard_state, None, [recovery.entry])
    storage.close()

    asyncio.run(assert_starts_with(tmp_path, (MEMBER,)))


# Guards against a first voter that never stands for election, as it ended before it had saved the voters.
def test_a_partition_without_members_starts_anew_when_control_has_placed_it(tmp_path: Path) -> None:
    storage = DiskGroupStorage(FolderDisk(tmp_path), GROUP)
    storage.load()
    storage.close()

    async def run() -> None:
        partitions = store_partitions(tmp_path)
        await partitions.load()
        partitions.ensure_placed(PlacementRecord(GROUP, VOTERS))
        await started()
        partition = only(partitions)
        assert partition is not None
        assert partition.group.membership.voters == VOTERS
        partitions.ensure_placed(PlacementRecord(GROUP, VOTERS))
        assert only(partitions) is partition
        await partitions.stop()

    asyncio.run(run())
