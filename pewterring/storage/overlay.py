"""A folder read without changing it: what storage repairs as it loads is changed in memory only."""

from pathlib import Path

from pewterring.storage.disk import Disk, DiskFile
from pewterring.storage.errors import StorageFailedError


class _OverlayFile:
    """One file; its content is the folder's until it is written. Each method is that of `DiskFile`."""

    def __init__(self, disk: "OverlayDisk", name: str) -> None:
        self._disk = disk
        self._name = name

    def write(self, data: bytes) -> None:
        self._disk.changed[self._name] = self._disk.read(self._name) + data

    def truncate(self, size: int) -> None:
        self._disk.changed[self._name] = self._disk.read(self._name)[:size]

    def sync(self) -> None:
        """Has nothing to do: nothing is written to the disk."""

    def close(self) -> None:
        """Has nothing to do: no file is open."""


class OverlayDisk(Disk):
    """The files of a folder that another process may have open. Reading errors are `StorageFailedError`."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.changed: dict[str, bytes] = {}  # content by name, in place of the folder's
        self._removed: set[str] = set()

    def names(self) -> list[str]:
        """Part of `Disk`."""
        try:
            found = {path.name for path in self._folder.iterdir() if path.is_file()}
        except OSError as error:
            raise StorageFailedError(f"cannot list {self._folder}: {error.strerror}") from error
        return list((found - self._removed) | set(self.changed))

    def read(self, name: str) -> bytes:
        """Part of `Disk`."""
        if name in self.changed:
            return self.changed[name]
        path = self._folder / name
        try:
            return path.read_bytes()
        except OSError as error:
            raise StorageFailedError(f"cannot read {path}: {error.strerror}") from error

    def size(self, name: str) -> int:
        """Part of `Disk`."""
        return len(self.read(name))

    def create(self, name: str) -> DiskFile:
        """Part of `Disk`."""
        self.changed[name] = b""
        return _OverlayFile(self, name)

    def open(self, name: str) -> DiskFile:
        """Part of `Disk`."""
        return _OverlayFile(self, name)

    def rename(self, old: str, new: str) -> None:
        """Part of `Disk`."""
        self.changed[new] = self.read(old)
        self.remove(old)

    def remove(self, name: str) -> None:
        """Part of `Disk`."""
        self.changed.pop(name, None)
        self._removed.add(name)

    def sync_folder(self) -> None:
        """Part of `Disk`; nothing is written to the disk."""
