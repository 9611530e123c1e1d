"""The segmented log: what it returns after crashes, damage and full disks."""

import random

import pytest

from pewterring.storage.errors import CorruptLogError, StorageFullError
from pewterring.storage.log import SegmentedLog
from pewterring.storage.records import encode_batch
from tests.storage.simulated_disk import PowerLossError, SimulatedDisk

LAST_FILE = "log.00000002.log"


def read_all(log: SegmentedLog, first: int | None = None) -> list[bytes]:
    return [payload for _, payload in log.open(first)]


def two_segments() -> tuple[SimulatedDisk, list[list[bytes]]]:
    """Returns a disk with two segments, and the batches of the second one."""
    disk = SimulatedDisk()
    log = SegmentedLog(disk, "log")
    assert read_all(log) == []
    log.append([b"first"])
    batches = [[b"head"], [b"a", b"bb"], [b"ccc"], [b"dd", b"e", b"ffff"]]
    log.roll(batches[0])
    for batch in batches[1:]:
        log.append(batch)
    disk.kill()
    return disk, batches


def complete_batches(batches: list[list[bytes]], size: int) -> list[bytes]:
    """Returns the payloads of the batches that are complete within the first `size` bytes."""
    payloads: list[bytes] = []
    for batch in batches:
        size -= len(encode_batch(batch, 1))
        if size < 0:
            break
        payloads.extend(batch)
    return payloads


def test_a_last_segment_truncated_at_any_byte_keeps_its_complete_batches() -> None:
    undamaged, batches = two_segments()
    content = undamaged.read(LAST_FILE)
    for size in range(len(content)):
        disk, _ = two_segments()
        disk.damage(LAST_FILE, content[:size])
        log = SegmentedLog(disk, "log")
        expected = [b"first", *complete_batches(batches, size)]
        assert read_all(log) == expected
        log.append([b"next"])
        disk.lose_power(random.Random(size))
        assert read_all(SegmentedLog(disk, "log")) == [*expected, b"next"]


def test_a_flipped_bit_removes_the_last_batch_and_is_corruption_in_earlier_ones() -> None:
    undamaged, batches = two_segments()
    content = undamaged.read(LAST_FILE)
    last_start = len(content) - len(encode_batch(batches[-1], 1))
    for position in range(len(content)):
        damaged = bytearray(content)
        damaged[position] ^= 0x40
        disk, _ = two_segments()
        disk.damage(LAST_FILE, bytes(damaged))
        log = SegmentedLog(disk, "log")
        if position < last_start:
            with pytest.raises(CorruptLogError) as caught:
                read_all(log)
            assert caught.value.file == LAST_FILE
            assert caught.value.offset <= position
            continue
        assert read_all(log) == [b"first", *complete_batches(batches, last_start)]
        assert disk.size(LAST_FILE) == last_start


def test_damage_in_an_earlier_segment_is_corruption() -> None:
    file = "log.00000001.log"
    content = two_segments()[0].read(file)
    for size in range(1, len(content)):
        disk, _ = two_segments()
        disk.damage(file, content[:size])
        with pytest.raises(CorruptLogError) as caught:
            read_all(SegmentedLog(disk, "log"))
        assert (caught.value.file, caught.value.offset) == (file, 0)


@pytest.mark.parametrize("missing", ["log.00000001.log", LAST_FILE])
def test_a_missing_segment_is_corruption(missing: str) -> None:
    disk, _ = two_segments()
    log = SegmentedLog(disk, "log")
    read_all(log)
    log.roll([b"third"])
    disk.remove(missing)
    with pytest.raises(CorruptLogError):
        read_all(SegmentedLog(disk, "log"))


def test_removed_segments_that_reappear_after_a_power_loss_are_ignored() -> None:
    for seed in range(30):
        disk, _ = two_segments()
        log = SegmentedLog(disk, "log")
        read_all(log)
        for number in range(3, 7):
            log.roll([b"%d" % number])
        log.remove_before(5)
        disk.lose_power(random.Random(seed))
        assert read_all(SegmentedLog(disk, "log"), 5) == [b"5", b"6"]


def test_unsynced_records_of_a_killed_process_are_synced_when_the_log_is_opened() -> None:
    disk, _ = two_segments()
    log = SegmentedLog(disk, "log")
    read_all(log)
    disk.lose_power_at(2)  # the sync of the append
    with pytest.raises(PowerLossError):
        log.append([b"unsynced"])
    disk.kill()
    found = read_all(SegmentedLog(disk, "log"))
    assert found[-1] == b"unsynced"
    for seed in range(10):
        disk.lose_power(random.Random(seed))
        assert read_all(SegmentedLog(disk, "log")) == found


def test_a_full_disk_leaves_the_log_usable() -> None:
    for free_bytes in range(60):
        disk, _ = two_segments()
        log = SegmentedLog(disk, "log")
        before = read_all(log)
        disk.capacity = sum(disk.size(name) for name in disk.names()) + free_bytes
        with pytest.raises(StorageFullError):
            log.append([b"x" * 40, b"y" * 40])
        disk.capacity = None
        log.append([b"fits"])
        disk.lose_power(random.Random(free_bytes))
        assert read_all(SegmentedLog(disk, "log")) == [*before, b"fits"]


def test_a_segment_that_could_not_be_started_does_not_reappear() -> None:
    for seed in range(20):
        disk, _ = two_segments()
        log = SegmentedLog(disk, "log")
        before = read_all(log)
        disk.capacity = sum(disk.size(name) for name in disk.names()) + 5
        with pytest.raises(StorageFullError):
            log.roll([b"x" * 40])
        disk.capacity = None
        log.append([b"fits"])
        disk.lose_power_at(1)
        with pytest.raises(PowerLossError):
            log.append([b"torn"])
        disk.lose_power(random.Random(seed))
        assert read_all(SegmentedLog(disk, "log"))[: len(before) + 1] == [*before, b"fits"]
