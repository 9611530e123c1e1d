"""Group storage: after crashes and on full disks a load returns the state of a plain model."""

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
from tests.storage.model import MEMBERS, Call, Model, apply_call, comparable, entry, random_call
from tests.storage.simulated_disk import PowerLossError, SimulatedDisk
from tests.storage.stored_group import SEGMENT_BYTES, load_matches, load_storage

CALLS = 12  # calls in one schedule


def schedule(seed: int) -> Iterator[tuple[Model, Call, Model]]:
    """Yields random calls, each with the model before and after the call."""
    rng = random.Random(seed)
    model = Model()
    for _ in range(CALLS):
        call = random_call(model, rng)
        changed = apply_call(model, call)
        yield model, call, changed
        model = changed


def test_disk_storage_implements_the_protocol() -> None:
    storage: GroupStorage = DiskGroupStorage(SimulatedDisk(), "group")
    assert storage.load().snapshot is None


def test_a_new_folder_is_empty() -> None:
    assert load_matches(SimulatedDisk(), Model())


@pytest.mark.parametrize("seed", range(40))
def test_each_call_of_a_schedule_on_files_is_durable(seed: int, tmp_path: Path) -> None:
    storage = load_storage(FolderDisk(tmp_path))
    for _, call, changed in schedule(seed):
        call(storage)
        storage.close()
        assert load_matches(FolderDisk(tmp_path), changed)
        storage = load_storage(FolderDisk(tmp_path))
    storage.close()


@pytest.mark.parametrize("seed", range(12))
def test_a_power_loss_in_any_operation_keeps_acknowledged_calls(seed: int) -> None:
    """A load returns the state before or after the interrupted call, and later loads return the same."""
    check_power_losses([seed])


def check_power_losses(seeds: Iterable[int]) -> None:
    """Plays the schedule of each seed for each of its disk operations, losing power in that operation."""
    for seed in seeds:
        _check_power_losses(seed)


def _check_power_losses(seed: int) -> None:
    number = 0
    interrupted = True
    while interrupted:
        number += 1
        for variant in range(3):
            interrupted = _lose_power_once(seed, number, variant)


def _lose_power_once(seed: int, number: int, variant: int) -> bool:
    """Plays a schedule and loses power in operation `number`; returns False if it has fewer operations."""
    disk = SimulatedDisk()
    storage = load_storage(disk)
    disk.lose_power_at(number)
    rng = random.Random(f"{seed} {number} {variant}")
    for before, call, changed in schedule(seed):
        try:
            call(storage)
        except PowerLossError:
            _check_after_crash(disk, before, changed, rng)
            return True
    return False


def _check_after_crash(disk: SimulatedDisk, before: Model, changed: Model, rng: random.Random) -> None:
    if rng.random() < 0.3:  # the process is killed; what is loaded next must survive a later power loss
        disk.kill()
    else:
        disk.lose_power(rng)
    found = [model for model in (before, changed) if load_matches(disk, model)]
    assert found
    model = found[0]
    _crash_while_loading(disk, rng)
    assert load_matches(disk, model)
    storage = load_storage(disk)
    call = random_call(model, rng)
    call(storage)
    disk.lose_power(rng)
    assert load_matches(disk, apply_call(model, call))


def _crash_while_loading(disk: SimulatedDisk, rng: random.Random) -> None:
    disk.lose_power_at(rng.randrange(1, 5))
    with contextlib.suppress(PowerLossError):
        load_storage(disk)
    disk.lose_power(rng)


@pytest.mark.parametrize("skipped_sync", ["sync", "sync_folder"])
def test_power_loss_checks_detect_a_sync_that_does_nothing(
    skipped_sync: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    if skipped_sync == "sync":
        monkeypatch.setattr("tests.storage.simulated_disk.SimulatedFile.sync", lambda _file: None)
    else:
        monkeypatch.setattr(SimulatedDisk, "sync_folder", lambda _disk: None)
    with pytest.raises((AssertionError, CorruptLogError)):
        check_power_losses(range(12))


@pytest.mark.parametrize("seed", range(10))
def test_a_full_disk_changes_nothing_and_the_call_can_be_repeated(seed: int) -> None:
    rng = random.Random(seed)
    disk = SimulatedDisk()
    storage = load_storage(disk)
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
            assert load_matches(disk, changed)
            storage = load_storage(disk)
    assert load_matches(disk, changed)


def test_a_rejected_call_on_a_full_disk_leaves_no_entries_behind() -> None:
    """Tries each call with 0, 1, 2... bytes of free space; a rejected call leaves no entries on the disk."""
    disk = SimulatedDisk()
    storage = load_storage(disk)
    rejections = 0
    for _, call, changed in schedule(3):
        content = {name: disk.read(name) for name in disk.names()}
        used_bytes = sum(map(len, content.values()))
        for free_bytes in itertools.count():
            disk.capacity = used_bytes + free_bytes
            try:
                call(storage)
                break
            except StorageFullError:
                rejections += 1
                remaining = {name: disk.read(name) for name in disk.names()}
                assert {name: remaining.pop(name) for name in content} == content
                assert len(remaining) <= 1, "rejected snapshots leave at most one new segment"
                assert all(b'"type":"entry"' not in data for data in remaining.values())
        disk.capacity = None
        disk.lose_power(random.Random(rejections))
        assert load_matches(disk, changed)
        storage = load_storage(disk)
    assert rejections > 1000


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
    assert free_bytes > disk.peak_bytes, "the last iterations had enough free space"


def test_segments_that_a_snapshot_covers_are_removed() -> None:
    disk = SimulatedDisk()
    storage = load_storage(disk)
    for index in range(1, 101):
        storage.save(None, None, [entry(index, 1, 100)])
    assert sum(name.endswith(".log") for name in disk.names()) > 10
    storage.save_snapshot(98, 1, MEMBERS, b"state")
    storage.save_snapshot(100, 1, MEMBERS, b"state")
    assert sorted(name.split(".")[-1] for name in disk.names()) == ["log", "snapshot"]
    assert storage.size_bytes == sum(disk.size(name) for name in disk.names())
    assert storage.size_bytes < 1000


def test_an_entry_after_the_snapshot_keeps_at_most_one_segment_of_the_log() -> None:
    disk = SimulatedDisk()
    storage = DiskGroupStorage(disk, "group")
    storage.load()
    for index in range(1, 151):
        storage.save(None, None, [entry(index, 1, 100_000)])
    assert storage.size_bytes > 15_000_000
    storage.save_snapshot(149, 1, MEMBERS, b"state")
    assert storage.size_bytes < 4_200_000
    assert [found.index for found in storage.load().state.entries] == [150]


def test_the_vote_is_kept_when_its_segment_is_removed() -> None:
    disk = SimulatedDisk()
    storage = load_storage(disk)
    storage.save(HardState(7, "10.0.0.1#a"), None, [entry(1, 7)])
    storage.save_snapshot(1, 7, MEMBERS, b"state")
    disk.lose_power(random.Random(1))
    state = load_storage(disk).load().state
    assert (state.term, state.vote) == (7, "10.0.0.1#a")


def test_the_first_voters_of_a_group_are_durable_and_set_once() -> None:
    disk = SimulatedDisk()
    storage = load_storage(disk)
    storage.initialize(MEMBERS)
    storage.initialize(Membership(("10.0.0.9#z",)))
    disk.lose_power(random.Random(1))
    storage = load_storage(disk)
    storage.initialize(Membership(("10.0.0.9#z",)))
    loaded = storage.load()
    assert (loaded.state.snapshot_index, loaded.state.snapshot_membership) == (0, MEMBERS)
    assert loaded.snapshot is None


# Guards against first voters that are saved late and drop the entries of earlier segments.
def test_first_voters_that_are_saved_after_entries_keep_all_of_them() -> None:
    disk = SimulatedDisk()
    storage = load_storage(disk)
    for index in range(1, 21):
        storage.save(None, None, [entry(index, 1, 100)])
    storage.initialize(MEMBERS)
    state = load_storage(disk).load().state
    assert state.snapshot_membership == MEMBERS
    assert [found.index for found in state.entries] == list(range(1, 21))


def test_a_snapshot_ahead_of_the_log_replaces_it_even_if_the_entries_arrive_later() -> None:
    disk = SimulatedDisk()
    storage = load_storage(disk)
    storage.save(None, None, [entry(1, 1)])
    storage.save_snapshot(3, 1, MEMBERS, b"state")
    storage.save(None, None, [entry(index, 1) for index in range(2, 6)])
    assert comparable(load_storage(disk).load().state.entries) == comparable([entry(4, 1), entry(5, 1)])


def test_an_older_snapshot_is_ignored() -> None:
    disk = SimulatedDisk()
    storage = load_storage(disk)
    storage.save(None, None, [entry(index, 1) for index in range(1, 6)])
    storage.save_snapshot(4, 1, MEMBERS, b"new")
    storage.save_snapshot(2, 1, MEMBERS, b"old")
    assert load_storage(disk).load().snapshot == b"new"


def test_a_gap_between_entries_is_rejected() -> None:
    storage = load_storage(SimulatedDisk())
    with pytest.raises(LogGapError, match="log of group group: cannot save entry 2: the next index is 1"):
        storage.save(None, None, [entry(2, 1)])


def test_a_damaged_snapshot_is_reported() -> None:
    disk = SimulatedDisk()
    load_storage(disk).save_snapshot(3, 1, MEMBERS, b"state")
    name = next(name for name in disk.names() if name.endswith(".snapshot"))
    content = disk.read(name)
    for position in range(len(content)):
        damaged = bytearray(content)
        damaged[position] ^= 1
        disk.damage(name, bytes(damaged))
        with pytest.raises(CorruptSnapshotError):
            load_storage(disk)


def test_a_record_of_an_unknown_type_is_reported() -> None:
    disk = SimulatedDisk()
    load_storage(disk)
    log = SegmentedLog(disk, "group")
    list(log.open(None))
    log.append([b'{"type":"unknown"}\n'])
    with pytest.raises(CorruptLogError):
        load_storage(disk)


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
        assert comparable(loaded.state.entries) == comparable([entry(3, number)])


@pytest.mark.parametrize("group", ["", "a.b", "a/b", "a b"])
def test_a_group_name_with_other_characters_is_rejected(group: str) -> None:
    with pytest.raises(ValueError, match="group"):
        DiskGroupStorage(SimulatedDisk(), group)
