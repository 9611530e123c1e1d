"""A read-only view of a folder: repairs that storage makes during a load change only a copy in memory."""

from pathlib import Path

from pewterring.storage.disk import Disk, DiskFile
from pewterring.storage.errors import StorageFailedError


class _OverlayFile:
    """Implements `DiskFile`; the content is read from the folder until the file is changed."""

    def __init__(self, disk: "OverlayDisk", name: str) -> None:
        self._disk = disk
        self._name = name

    def write(self, data: bytes) -> None:
        self._disk.changed[self._name] = self._disk.read(self._name) + data

    def truncate(self, size: int) -> None:
        self._disk.changed[self._name] = self._disk.read(self._name)[:size]

    def sync(self) -> None:
        """Does nothing, as nothing is written to the disk."""

    def close(self) -> None:
        """Does nothing, as no file is open."""


class OverlayDisk(Disk):
    """Reads a folder that another process may be using, and never writes to it.

    Raises:
        StorageFailedError: from any method, if the folder or a file cannot be read.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.changed: dict[str, bytes] = {}  # content of changed files by name; overrides the folder's
        self._removed: set[str] = set()

    def names(self) -> list[str]:
        """Implements `Disk`."""
        try:
            found = {path.name for path in self._folder.iterdir() if path.is_file()}
        except OSError as error:
            raise StorageFailedError(f"cannot list {self._folder}: {error.strerror}") from error
        return list((found - self._removed) | set(self.changed))

    def read(self, name: str) -> bytes:
        """Implements `Disk`."""
        if name in self.changed:
            return self.changed[name]
        path = self._folder / name
        try:
            return path.read_bytes()
        except OSError as error:
            raise StorageFailedError(f"cannot read {path}: {error.strerror}") from error

    def size(self, name: str) -> int:
        """Implements `Disk`."""
        return len(self.read(name))

    def create(self, name: str) -> DiskFile:
        """Implements `Disk`."""
        self.changed[name] = b""
        return _OverlayFile(self, name)

    def open(self, name: str) -> DiskFile:
        """Implements `Disk`."""
        return _OverlayFile(self, name)

    def rename(self, old: str, new: str) -> None:
        """Implements `Disk`."""
        self.changed[new] = self.read(old)
        self.remove(old)

    def remove(self, name: str) -> None:
        """Implements `Disk`."""
        self.changed.pop(name, None)
        self._removed.add(name)

    def sync_folder(self) -> None:
        """Implements `Disk`; does nothing, as nothing is written to the disk."""
