"""Snapshots of a group's state, one per file; only the newest is used.

A snapshot is written under a temporary name, synced and renamed, and the folder is synced. Only then are
older snapshots and obsolete log segments removed. If the newest snapshot is damaged, the load fails: the log
no longer has all entries that follow an older snapshot.
"""

import zlib
from dataclasses import dataclass

import msgspec

from pewterring.consensus.messages import Membership
from pewterring.storage.disk import Disk
from pewterring.storage.durable_files import rename_durably, write_synced
from pewterring.storage.errors import CorruptSnapshotError, StorageFullError
from pewterring.storage.formats import FORMAT, check_format
from pewterring.storage.records import encode_record, read_record

SNAPSHOT_SUFFIX = ".snapshot"
TEMPORARY_SUFFIX = ".snapshot.new"


class SnapshotHeader(msgspec.Struct, frozen=True):
    """The last entry that a snapshot covers, the membership, and the first log segment still valid."""

    index: int
    term: int
    membership: Membership
    first_segment: int
    size_bytes: int = msgspec.field(default=0, name="size")  # called `size` in the file
    checksum: int = 0  # CRC-32 of the snapshot data
    format: int = FORMAT


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot read from the file named `file`."""

    header: SnapshotHeader
    data: bytes
    file: str


class SnapshotStore:
    """The snapshots of one group: the files whose names start with `prefix`."""

    def __init__(self, disk: Disk, prefix: str) -> None:
        self._disk = disk
        self._prefix = prefix + "."
        self._temporary_file = prefix + TEMPORARY_SUFFIX
        self.size_bytes = 0  # size of the newest snapshot

    def load(self) -> Snapshot | None:
        """Returns the newest snapshot, or None if there is none.

        Syncs the folder first, as the previous process may have ended between a rename and the folder sync.

        Raises:
            CorruptSnapshotError: the newest snapshot is damaged.
            UnknownFormatError: a later version of the program wrote it.
        """
        self._disk.sync_folder()
        files = self.files()
        return self._read(files[-1]) if files else None

    def files(self) -> list[str]:
        """Returns the file names of all snapshots, the newest last."""
        names = self._disk.names()
        return sorted(
            name for name in names if name.startswith(self._prefix) and name.endswith(SNAPSHOT_SUFFIX)
        )

    def write(self, header: SnapshotHeader, data: bytes) -> None:
        """Writes a snapshot, which becomes the newest one and is durable when the call returns.

        Raises:
            StorageFullError: no part of the snapshot remains; the call may be repeated.
            StorageFailedError: the new snapshot exists either completely or not at all.
        """
        header = msgspec.structs.replace(header, size_bytes=len(data), checksum=zlib.crc32(data))
        record = encode_record(msgspec.json.encode(header) + b"\n")
        try:
            write_synced(self._disk, self._temporary_file, (record, data))
        except StorageFullError:
            self._remove_temporary()
            raise
        rename_durably(self._disk, self._temporary_file, self._file(header.index))
        self.size_bytes = len(record) + len(data)

    def remove_older(self) -> None:
        """Removes all snapshots except the newest."""
        for file in self.files()[:-1]:
            self._disk.remove(file)

    def remove_leftovers(self) -> None:
        """Removes older snapshots and a temporary file; called once all valid files have been read."""
        self.remove_older()
        self._remove_temporary()

    def _remove_temporary(self) -> None:
        if self._temporary_file in self._disk.names():
            self._disk.remove(self._temporary_file)

    def _read(self, file: str) -> Snapshot:
        content = self._disk.read(file)
        record = read_record(content, 0)
        if record is None:
            raise CorruptSnapshotError(file)
        try:
            header = msgspec.json.decode(record.payload, type=SnapshotHeader)
        except msgspec.MsgspecError as error:
            raise CorruptSnapshotError(file) from error
        check_format(file, header.format)
        data = content[record.end :]
        if len(data) != header.size_bytes or zlib.crc32(data) != header.checksum:
            raise CorruptSnapshotError(file)
        self.size_bytes = len(content)
        return Snapshot(header, data, file)

    def _file(self, index: int) -> str:
        return f"{self._prefix}{index:020d}{SNAPSHOT_SUFFIX}"
