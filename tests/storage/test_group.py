"""A member's storage: what it returns after crashes equals a plain model."""

import contextlib
import itertools
import random
from collections.abc import Iterable, Iterator
from pathlib import Path

import pytest

from pewterring.consensus.messages import Membership
from pewterring.consensus.persistent import GroupStorage, HardState
from pewterring.storage.disk import FolderDisk
from pewterring.storage.errors import (
    CorruptLogError,
    CorruptSnapshotError,
    LogGapError,
    StorageFullError,
    StorageUnusableError,
)
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.log import SegmentedLog
from tests.storage.model import MEMBERS, Call, Model, after, entry, plain, random_call
from tests.storage.simulated_disk import PowerLossError, SimulatedDisk
from tests.storage.stored_group import SEGMENT_BYTES, loads_as, opened

CALLS = 12  # of one schedule


def schedule(seed: int) -> Iterator[tuple[Model, Call, Model]]:
    """Calls with the models before and after them."""
    rng = random.Random(seed)
    model = Model()
    for _ in range(CALLS):
        call = random_call(model, rng)
        changed = after(model, call)
        yield model, call, changed
        model = changed


def test_it_implements_the_protocol() -> None:
    storage: GroupStorage = DiskGroupStorage(SimulatedDisk(), "group")
    assert storage.load().snapshot is None


def test_a_new_folder_is_empty() -> None:
    assert loads_as(SimulatedDisk(), Model())


@pytest.mark.parametrize("seed", range(40))
def test_a_schedule_of_calls_on_files(seed: int, tmp_path: Path) -> None:
    storage = opened(FolderDisk(tmp_path))
    for _, call, changed in schedule(seed):
        call(storage)
        storage.close()
        assert loads_as(FolderDisk(tmp_path), changed)
        storage = opened(FolderDisk(tmp_path))
    storage.close()


@pytest.mark.parametrize("seed", range(12))
def test_power_lost_in_each_operation_keeps_what_was_acknowledged(seed: int) -> None:
    """The state found is that before or after the interrupted call, and it is still there afterwards."""
    check_power_losses([seed])


def check_power_losses(seeds: Iterable[int]) -> None:
    """Loses power once in each operation of the schedules of these seeds."""
    for seed in seeds:
        _check_power_losses(seed)


def _check_power_losses(seed: int) -> None:
    number = 0
    interrupted = True
    while interrupted:
        number += 1
        for fate in range(3):
            interrupted = _lose_power_once(seed, number, fate)


def _lose_power_once(seed: int, number: int, fate: int) -> bool:
    """Plays a schedule up to the operation of that number; False where there are not so many."""
    disk = SimulatedDisk()
    storage = opened(disk)
    disk.lose_power_at(number)
    rng = random.Random(f"{seed} {number} {fate}")
    for before, call, changed in schedule(seed):
        try:
            call(storage)
        except PowerLossError:
            _check_after_crash(disk, before, changed, rng)
            return True
    return False


def _check_after_crash(disk: SimulatedDisk, before: Model, changed: Model, rng: random.Random) -> None:
    if rng.random() < 0.3:  # a crash of the process first; what is found then must outlast a loss of power
        disk.kill()
    else:
        disk.lose_power(rng)
    found = [model for model in (before, changed) if loads_as(disk, model)]
    assert found
    model = found[0]
    _crash_while_loading(disk, rng)
    assert loads_as(disk, model)
    storage = opened(disk)
    call = random_call(model, rng)
    call(storage)
    disk.lose_power(rng)
    assert loads_as(disk, after(model, call))


def _crash_while_loading(disk: SimulatedDisk, rng: random.Random) -> None:
    disk.lose_power_at(rng.randrange(1, 5))
    with contextlib.suppress(PowerLossError):
        opened(disk)
    disk.lose_power(rng)


@pytest.mark.parametrize("forgotten", ["sync", "sync_folder"])
def test_the_check_finds_a_sync_that_does_nothing(forgotten: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if forgotten == "sync":
        monkeypatch.setattr("tests.storage.simulated_disk.SimulatedFile.sync", lambda _file: None)
    else:
        monkeypatch.setattr(SimulatedDisk, "sync_folder", lambda _disk: None)
    with pytest.raises((AssertionError, CorruptLogError)):
        check_power_losses(range(12))


@pytest.mark.parametrize("seed", range(10))
def test_a_full_disk_changes_nothing_and_the_call_can_be_repeated(seed: int) -> None:
    rng = random.Random(seed)
    disk = SimulatedDisk()
    storage = opened(disk)
    for _, call, changed in schedule(seed):
        disk.capacity = sum(disk.size(name) for name in disk.names()) + rng.randrange(80)
        try:
            call(storage)
        except StorageFullError:
            disk.capacity = None
            call(storage)
        disk.capacity = None
        if rng.random() < 0.3:
            disk.lose_power(rng)
            assert loads_as(disk, changed)
            storage = opened(disk)
    assert loads_as(disk, changed)


def test_a_member_that_waits_for_space_has_only_what_counts_on_its_disk() -> None:
    """The disk gets full at each byte of each call in turn; what a refused call wrote is gone at once."""
    disk = SimulatedDisk()
    storage = opened(disk)
    refusals = 0
    for _, call, changed in schedule(3):
        content = {name: disk.read(name) for name in disk.names()}
        used_bytes = sum(map(len, content.values()))
        for free_bytes in itertools.count():
            disk.capacity = used_bytes + free_bytes
            try:
                call(storage)
                break
            except StorageFullError:
                refusals += 1
                left = {name: disk.read(name) for name in disk.names()}
                assert {name: left.pop(name) for name in content} == content
                assert len(left) <= 1, "a snapshot that was refused has begun a segment, once"
                assert all(b'"type":"entry"' not in data for data in left.values())
        disk.capacity = None
        disk.lose_power(random.Random(refusals))
        assert loads_as(disk, changed)
        storage = opened(disk)
    assert refusals > 1000


def test_a_new_group_on_a_full_disk_is_loaded_and_initialized_once_there_is_free_space() -> None:
    voters = Membership(("a", "b", "c"))
    for free_bytes in range(400):
        disk = SimulatedDisk(capacity_bytes=free_bytes)
        storage = DiskGroupStorage(disk, "group", SEGMENT_BYTES)
        try:
            storage.load()
            storage.initialize(voters)
        except StorageFullError:
            disk.capacity = None
            storage.load()
            storage.initialize(voters)
        storage.close()
        disk.capacity = None
        disk.lose_power(random.Random(free_bytes))
        assert DiskGroupStorage(disk, "group", SEGMENT_BYTES).load().state.snapshot_membership == voters
    assert free_bytes > disk.peak_bytes, "the last ones found enough free space"


def test_segments_that_a_snapshot_covers_are_removed() -> None:
    disk = SimulatedDisk()
    storage = opened(disk)
    for index in range(1, 101):
        storage.save(None, None, [entry(index, 1, 100)])
    assert sum(name.endswith(".log") for name in disk.names()) > 10
    storage.save_snapshot(98, 1, MEMBERS, b"state")
    storage.save_snapshot(100, 1, MEMBERS, b"state")
    assert sorted(name.split(".")[-1] for name in disk.names()) == ["log", "snapshot"]
    assert storage.size_bytes == sum(disk.size(name) for name in disk.names())
    assert storage.size_bytes < 1000


def test_entries_that_came_while_a_snapshot_was_made_keep_little_of_the_log() -> None:
    disk = SimulatedDisk()
    storage = DiskGroupStorage(disk, "group")
    storage.load()
    for index in range(1, 151):
        storage.save(None, None, [entry(index, 1, 100_000)])
    assert storage.size_bytes > 15_000_000
    storage.save_snapshot(149, 1, MEMBERS, b"state")
    assert storage.size_bytes < 4_200_000
    assert [found.index for found in storage.load().state.entries] == [150]


def test_the_vote_outlasts_the_segment_that_it_was_written_in() -> None:
    disk = SimulatedDisk()
    storage = opened(disk)
    storage.save(HardState(7, "10.0.0.1#a"), None, [entry(1, 7)])
    storage.save_snapshot(1, 7, MEMBERS, b"state")
    disk.lose_power(random.Random(1))
    state = opened(disk).load().state
    assert (state.term, state.vote) == (7, "10.0.0.1#a")


def test_the_first_voters_of_a_group_are_durable_and_set_once() -> None:
    disk = SimulatedDisk()
    storage = opened(disk)
    storage.initialize(MEMBERS)
    storage.initialize(Membership(("10.0.0.9#z",)))
    disk.lose_power(random.Random(1))
    storage = opened(disk)
    storage.initialize(Membership(("10.0.0.9#z",)))
    loaded = storage.load()
    assert (loaded.state.snapshot_index, loaded.state.snapshot_membership) == (0, MEMBERS)
    assert loaded.snapshot is None


def test_a_snapshot_ahead_of_the_log_replaces_it_even_if_the_entries_arrive_later() -> None:
    disk = SimulatedDisk()
    storage = opened(disk)
    storage.save(None, None, [entry(1, 1)])
    storage.save_snapshot(3, 1, MEMBERS, b"state")
    storage.save(None, None, [entry(index, 1) for index in range(2, 6)])
    assert plain(opened(disk).load().state.entries) == plain([entry(4, 1), entry(5, 1)])


def test_an_older_snapshot_is_ignored() -> None:
    disk = SimulatedDisk()
    storage = opened(disk)
    storage.save(None, None, [entry(index, 1) for index in range(1, 6)])
    storage.save_snapshot(4, 1, MEMBERS, b"new")
    storage.save_snapshot(2, 1, MEMBERS, b"old")
    assert opened(disk).load().snapshot == b"new"


def test_a_gap_is_refused() -> None:
    storage = opened(SimulatedDisk())
    with pytest.raises(LogGapError, match="log of group group: cannot save entry 2: the next index is 1"):
        storage.save(None, None, [entry(2, 1)])


def test_a_damaged_snapshot_is_reported() -> None:
    disk = SimulatedDisk()
    opened(disk).save_snapshot(3, 1, MEMBERS, b"state")
    name = next(name for name in disk.names() if name.endswith(".snapshot"))
    content = disk.read(name)
    for position in range(len(content)):
        damaged = bytearray(content)
        damaged[position] ^= 1
        disk.damage(name, bytes(damaged))
        with pytest.raises(CorruptSnapshotError):
            opened(disk)


def test_a_record_of_another_kind_is_reported() -> None:
    disk = SimulatedDisk()
    opened(disk)
    log = SegmentedLog(disk, "group")
    list(log.open(None))
    log.append([b'{"type":"unknown"}\n'])
    with pytest.raises(CorruptLogError):
        opened(disk)


def test_nothing_is_saved_before_loading_or_after_a_failure() -> None:
    disk = SimulatedDisk()
    storage = DiskGroupStorage(disk, "group")
    with pytest.raises(StorageUnusableError, match="storage of group group"):
        storage.save(HardState(1), None, ())
    storage.load()
    disk.kill()
    storage.close()
    with pytest.raises(StorageUnusableError, match="storage of group group"):
        storage.save(HardState(1), None, ())


def test_groups_share_a_folder() -> None:
    disk = SimulatedDisk()
    for number, group in enumerate(("batch", "batch-1", "batch-10"), 1):
        storage = DiskGroupStorage(disk, group)
        storage.load()
        storage.save(None, None, [entry(index, number) for index in range(1, 4)])
        storage.save_snapshot(2, number, MEMBERS, group.encode())
    for number, group in enumerate(("batch", "batch-1", "batch-10"), 1):
        loaded = DiskGroupStorage(disk, group).load()
        assert loaded.snapshot == group.encode()
        assert plain(loaded.state.entries) == plain([entry(3, number)])


@pytest.mark.parametrize("group", ["", "a.b", "a/b", "a b"])
def test_a_group_must_be_able_to_name_files(group: str) -> None:
    with pytest.raises(ValueError, match="group"):
        DiskGroupStorage(SimulatedDisk(), group)
