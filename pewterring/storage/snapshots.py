"""Snapshots: each one file, of which the newest counts.

A snapshot is written under a temporary name, synced, renamed, and its folder synced; only then are older
snapshots and the segments that it makes needless removed. A newest snapshot that is damaged ends the load: an
older one would not be followed by the log.
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
    """What a snapshot stands for. The log continues in segment `first_segment`; earlier ones do not count."""

    index: int
    term: int
    membership: Membership
    first_segment: int
    size_bytes: int = msgspec.field(default=0, name="size")  # the file's name
    checksum: int = 0  # CRC-32 of the content
    format: int = FORMAT


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot with its content."""

    header: SnapshotHeader
    data: bytes
    file: str


class SnapshotStore:
    """The snapshots of one group: the files whose names start with `prefix`."""

    def __init__(self, disk: Disk, prefix: str) -> None:
        self._disk = disk
        self._prefix = prefix + "."
        self._temporary_file = prefix + TEMPORARY_SUFFIX
        self.size_bytes = 0  # of the newest

    def load(self) -> Snapshot | None:
        """The newest snapshot, or None before the first.

        The folder is synced first: the process before may have ended between a rename and that.

        Raises:
            CorruptSnapshotError: the newest snapshot is damaged.
            UnknownFormatError: a later version of the program wrote it.
        """
        self._disk.sync_folder()
        files = self.files()
        return self._read(files[-1]) if files else None

    def files(self) -> list[str]:
        """The names of all snapshots, the newest last."""
        names = self._disk.names()
        return sorted(
            name for name in names if name.startswith(self._prefix) and name.endswith(SNAPSHOT_SUFFIX)
        )

    def write(self, header: SnapshotHeader, data: bytes) -> None:
        """Writes a snapshot; when it returns, it is the newest, and outlasts a loss of power.

        Raises:
            StorageFullError: nothing of it is left; the call may be repeated.
            StorageFailedError: the new snapshot is there completely or not at all.
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
        """Removes all snapshots but the newest."""
        for file in self.files()[:-1]:
            self._disk.remove(file)

    def remove_leftovers(self) -> None:
        """Removes other snapshots and a temporary file, once everything that counts could be read."""
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
