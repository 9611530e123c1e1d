"""A load of damaged files or of a later format fails with the file's name and leaves the folder unchanged."""

import msgspec
import pytest

from pewterring.storage.errors import CorruptLogError, CorruptSnapshotError, StorageError, UnknownFormatError
from pewterring.storage.formats import FORMAT
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.records import HEADER_BYTES, encode_record, read_record
from tests.storage.model import MEMBERS, entry
from tests.storage.simulated_disk import SimulatedDisk

LOG = "group.00000002.log"
SNAPSHOT = "group.00000000000000000002.snapshot"


def disk_with_obsolete_files() -> SimulatedDisk:
    """Returns a disk with a snapshot, a log after it, and older files that reappeared after a power loss."""
    disk = SimulatedDisk()
    storage = DiskGroupStorage(disk, "group")
    storage.load()
    storage.save(None, None, [entry(1, 1), entry(2, 1)])
    reappeared = disk.read("group.00000001.log")
    storage.save_snapshot(2, 1, MEMBERS, b'"state"')
    storage.save(None, None, [entry(3, 1)])
    storage.close()
    disk.create("group.00000001.log").write(reappeared)
    disk.create("group.00000000000000000001.snapshot").write(b"older")
    disk.create("group.snapshot.new").write(b"half")
    disk.kill()
    return disk


def content(disk: SimulatedDisk) -> dict[str, bytes]:
    return {name: disk.read(name) for name in disk.names()}


def check_rejected(disk: SimulatedDisk, name: str, error: type[StorageError]) -> None:
    before = content(disk)
    with pytest.raises(error) as rejection:
        DiskGroupStorage(disk, "group").load()
    assert name in str(rejection.value)
    assert "\n" not in str(rejection.value)
    assert content(disk) == before


def with_first_record(data: bytes, **fields: object) -> bytes:
    """Returns the content of a file with `fields` changed in its first record."""
    record = read_record(data, 0)
    assert record is not None
    head = {**msgspec.json.decode(record.payload), **fields}
    return encode_record(msgspec.json.encode(head) + b"\n", record.batch) + data[record.end :]


def test_undamaged_files_are_loaded_and_obsolete_ones_removed() -> None:
    disk = disk_with_obsolete_files()
    loaded = DiskGroupStorage(disk, "group").load()
    assert loaded.snapshot == b'"state"'
    assert loaded.snapshot_file == SNAPSHOT
    assert [found.index for found in loaded.state.entries] == [3]
    assert sorted(disk.names()) == [SNAPSHOT, LOG]


def test_a_log_of_a_later_format_is_rejected() -> None:
    disk = disk_with_obsolete_files()
    disk.damage(LOG, with_first_record(disk.read(LOG), format=FORMAT + 1, length="of an unknown type"))
    check_rejected(disk, LOG, UnknownFormatError)


def test_a_snapshot_of_a_later_format_is_rejected() -> None:
    disk = disk_with_obsolete_files()
    disk.damage(SNAPSHOT, with_first_record(disk.read(SNAPSHOT), format=FORMAT + 1))
    check_rejected(disk, SNAPSHOT, UnknownFormatError)


def test_a_log_without_a_format_is_read_as_format_1() -> None:
    disk = disk_with_obsolete_files()
    data = disk.read(LOG)
    record = read_record(data, 0)
    assert record is not None
    head = msgspec.json.decode(record.payload)
    del head["format"]
    disk.damage(LOG, encode_record(msgspec.json.encode(head) + b"\n", record.batch) + data[record.end :])
    assert len(DiskGroupStorage(disk, "group").load().state.entries) == 1


@pytest.mark.parametrize(("name", "error"), [(LOG, CorruptLogError), (SNAPSHOT, CorruptSnapshotError)])
def test_damaged_synced_data_is_rejected(name: str, error: type[StorageError]) -> None:
    disk = disk_with_obsolete_files()
    damaged = bytearray(disk.read(name))
    damaged[HEADER_BYTES + 1] ^= 1
    disk.damage(name, bytes(damaged))
    check_rejected(disk, name, error)


def test_a_missing_segment_is_rejected() -> None:
    disk = disk_with_obsolete_files()
    disk.remove(LOG)
    check_rejected(disk, LOG, CorruptLogError)
