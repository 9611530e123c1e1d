"""Snapshots: each one file, of which the newest counts.

A snapshot is written under a temporary name, synced, renamed, and its folder synced; only then are older
snapshots and the segments that it makes needless removed.
"""

import zlib
from dataclasses import dataclass

import msgspec

from pewterring.consensus.messages import Membership
from pewterring.storage.disk import Disk
from pewterring.storage.errors import CorruptSnapshot, StorageFullError
from pewterring.storage.formats import FORMAT, check_format
from pewterring.storage.records import encode_record, read_record

SNAPSHOT_SUFFIX = ".snapshot"
TEMPORARY_SUFFIX = ".snapshot.new"


class SnapshotHeader(msgspec.Struct, frozen=True):
    """What a snapshot stands for. The log goes on in segment `first_segment`; earlier ones do not count."""

    index: int
    term: int
    membership: Membership
    first_segment: int
    size: int = 0
    checksum: int = 0
    format: int = FORMAT


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot with its content."""

    header: SnapshotHeader
    data: bytes
    file: str


class SnapshotStore:
    """The snapshots whose files' names start with `prefix`."""

    def __init__(self, disk: Disk, prefix: str) -> None:
        self._disk = disk
        self._prefix = prefix + "."
        self._temporary = prefix + TEMPORARY_SUFFIX
        self.size_bytes = 0  # of the newest

    def load(self) -> Snapshot | None:
        """The newest snapshot.

        The folder is synced first: the process before may have ended between a rename and that.
        """
        self._disk.sync_folder()
        names = self._names()
        return self._read(names[-1]) if names else None

    def remove_leftovers(self) -> None:
        """Removes what is left of other snapshots, once all that counts could be read."""
        self.remove_older()
        self._remove_temporary()

    def write(self, header: SnapshotHeader, data: bytes) -> None:
        """Writes a snapshot; when it returns, it is the newest, and outlasts a loss of power."""
        header = msgspec.structs.replace(header, size=len(data), checksum=zlib.crc32(data))
        record = encode_record(msgspec.json.encode(header) + b"\n")
        try:
            self._write_temporary(record, data)
        except StorageFullError:
            self._remove_temporary()
            raise
        self._disk.rename(self._temporary, self._name(header.index))
        self._disk.sync_folder()
        self.size_bytes = len(record) + len(data)

    def remove_older(self) -> None:
        """Removes all snapshots but the newest."""
        for name in self._names()[:-1]:
            self._disk.remove(name)

    def _write_temporary(self, record: bytes, data: bytes) -> None:
        file = self._disk.create(self._temporary)
        try:
            file.write(record)
            file.write(data)
            file.sync()
        finally:
            file.close()

    def _remove_temporary(self) -> None:
        if self._temporary in self._disk.names():
            self._disk.remove(self._temporary)

    def _read(self, name: str) -> Snapshot:
        content = self._disk.read(name)
        record = read_record(content, 0)
        if record is None:
            raise CorruptSnapshot(name)
        try:
            header = msgspec.json.decode(record.payload, type=SnapshotHeader)
        except msgspec.MsgspecError as error:
            raise CorruptSnapshot(name) from error
        check_format(name, header.format)
        data = content[record.end :]
        if len(data) != header.size or zlib.crc32(data) != header.checksum:
            raise CorruptSnapshot(name)
        self.size_bytes = len(content)
        return Snapshot(header, data, name)

    def _names(self) -> list[str]:
        """The names of all snapshots, the newest last."""
        names = self._disk.names()
        return sorted(n for n in names if n.startswith(self._prefix) and n.endswith(SNAPSHOT_SUFFIX))

    def _name(self, index: int) -> str:
        return f"{self._prefix}{index:020d}{SNAPSHOT_SUFFIX}"
