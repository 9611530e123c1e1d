"""Files that cannot be read: each is named, nothing of it is taken, and the folder stays as it was."""

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


def written_disk() -> SimulatedDisk:
    """A disk with a snapshot and a log after it, and files of before that a loss of power brought back."""
    disk = SimulatedDisk()
    storage = DiskGroupStorage(disk, "group")
    storage.load()
    storage.save(None, None, [entry(1, 1), entry(2, 1)])
    brought_back = disk.read("group.00000001.log")
    storage.save_snapshot(2, 1, MEMBERS, b'"state"')
    storage.save(None, None, [entry(3, 1)])
    storage.close()
    disk.create("group.00000001.log").write(brought_back)
    disk.create("group.00000000000000000001.snapshot").write(b"older")
    disk.create("group.snapshot.new").write(b"half")
    disk.kill()
    return disk


def content(disk: SimulatedDisk) -> dict[str, bytes]:
    return {name: disk.read(name) for name in disk.names()}


def check_refused(disk: SimulatedDisk, name: str, error: type[StorageError]) -> None:
    before = content(disk)
    with pytest.raises(error) as refused:
        DiskGroupStorage(disk, "group").load()
    assert name in str(refused.value)
    assert "\n" not in str(refused.value)
    assert content(disk) == before


def rewritten(data: bytes, **fields: object) -> bytes:
    """The file with other fields in its first record."""
    record = read_record(data, 0)
    assert record is not None
    head = {**msgspec.json.decode(record.payload), **fields}
    return encode_record(msgspec.json.encode(head) + b"\n", record.batch) + data[record.end :]


def test_the_files_as_they_are_can_be_read_and_the_old_ones_go() -> None:
    disk = written_disk()
    loaded = DiskGroupStorage(disk, "group").load()
    assert loaded.snapshot == b'"state"'
    assert loaded.snapshot_file == SNAPSHOT
    assert [found.index for found in loaded.state.entries] == [3]
    assert sorted(disk.names()) == [SNAPSHOT, LOG]


def test_a_log_of_a_later_version_is_refused() -> None:
    disk = written_disk()
    disk.damage(LOG, rewritten(disk.read(LOG), format=FORMAT + 1, length="of what nobody knows"))
    check_refused(disk, LOG, UnknownFormatError)


def test_a_snapshot_of_a_later_version_is_refused() -> None:
    disk = written_disk()
    disk.damage(SNAPSHOT, rewritten(disk.read(SNAPSHOT), format=FORMAT + 1))
    check_refused(disk, SNAPSHOT, UnknownFormatError)


def test_files_without_a_format_are_of_the_first() -> None:
    disk = written_disk()
    data = disk.read(LOG)
    record = read_record(data, 0)
    assert record is not None
    head = msgspec.json.decode(record.payload)
    del head["format"]
    disk.damage(LOG, encode_record(msgspec.json.encode(head) + b"\n", record.batch) + data[record.end :])
    assert len(DiskGroupStorage(disk, "group").load().state.entries) == 1


@pytest.mark.parametrize(("name", "error"), [(LOG, CorruptLogError), (SNAPSHOT, CorruptSnapshotError)])
def test_damage_of_what_was_synced_is_refused(name: str, error: type[StorageError]) -> None:
    disk = written_disk()
    damaged = bytearray(disk.read(name))
    damaged[HEADER_BYTES + 1] ^= 1
    disk.damage(name, bytes(damaged))
    check_refused(disk, name, error)


def test_a_missing_segment_is_refused() -> None:
    disk = written_disk()
    disk.remove(LOG)
    check_refused(disk, LOG, CorruptLogError)
