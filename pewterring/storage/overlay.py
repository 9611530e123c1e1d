"""A folder read without changing it: what storage repairs as it loads is changed in memory only."""

from pathlib import Path

from pewterring.storage.disk import Disk, DiskFile
from pewterring.storage.errors import StorageFailedError


class _OverlayFile:
    """One file; its content is the folder's until it is written."""

    def __init__(self, disk: "OverlayDisk", name: str) -> None:
        self._disk = disk
        self._name = name

    def write(self, data: bytes) -> None:
        """See `DiskFile`."""
        self._disk.changed[self._name] = self._disk.read(self._name) + data

    def truncate(self, size: int) -> None:
        """See `DiskFile`."""
        self._disk.changed[self._name] = self._disk.read(self._name)[:size]

    def sync(self) -> None:
        """See `DiskFile`."""

    def close(self) -> None:
        """See `DiskFile`."""


class OverlayDisk(Disk):
    """The files of a folder that another process may have open."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.changed: dict[str, bytes] = {}
        self._removed: set[str] = set()

    def names(self) -> list[str]:
        """See `Disk`."""
        try:
            found = {path.name for path in self._folder.iterdir() if path.is_file()}
        except OSError as error:
            raise StorageFailedError(f"cannot list {self._folder}: {error.strerror}") from error
        return list((found - self._removed) | set(self.changed))

    def read(self, name: str) -> bytes:
        """See `Disk`."""
        if name in self.changed:
            return self.changed[name]
        try:
            return (self._folder / name).read_bytes()
        except OSError as error:
            raise StorageFailedError(f"cannot read {self._folder / name}: {error.strerror}") from error

    def size(self, name: str) -> int:
        """See `Disk`."""
        return len(self.read(name))

    def create(self, name: str) -> DiskFile:
        """See `Disk`."""
        self.changed[name] = b""
        return _OverlayFile(self, name)

    def open(self, name: str) -> DiskFile:
        """See `Disk`."""
        return _OverlayFile(self, name)

    def rename(self, old: str, new: str) -> None:
        """See `Disk`."""
        self.changed[new] = self.read(old)
        self.remove(old)

    def remove(self, name: str) -> None:
        """See `Disk`."""
        self.changed.pop(name, None)
        self._removed.add(name)

    def sync_folder(self) -> None:
        """See `Disk`."""
