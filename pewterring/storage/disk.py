"""File operations in one folder, and the translation of operating system errors into those of this package.

A full disk raises `StorageFullError`: the same call may succeed later. Any other error raises
`StorageFailedError`, after which the content of the file is unknown. Both messages contain the full path.

A hook is called before each operation that changes a file or the folder. It receives the number of the
operation, counted from 1, so that a test can inject a fault at any operation.
"""

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from pathlib import Path
from typing import Protocol

from pewterring.storage.errors import StorageError, StorageFailedError, StorageFullError

FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})  # cleared by freeing disk space


class Operation(StrEnum):
    """The operations at which a `FaultHook` is called."""

    CREATE = "create"
    WRITE = "write"
    TRUNCATE = "truncate"
    SYNC = "sync"
    RENAME = "rename"
    REMOVE = "remove"
    SYNC_FOLDER = "sync folder"


FaultHook = Callable[[int, Operation, str], None]


class DiskFile(Protocol):
    """One open file. Each method except `close` may raise `StorageFullError` or `StorageFailedError`."""

    def write(self, data: bytes) -> None:
        """Appends `data`. After an error the file may contain any prefix of `data`."""

    def truncate(self, size: int) -> None:
        """Truncates the file to `size` bytes; the next write starts at that offset."""

    def sync(self) -> None:
        """Makes the content survive a power loss; the file name additionally needs `Disk.sync_folder`."""

    def close(self) -> None:
        """Closes the file without syncing it."""


class Disk(Protocol):
    """One folder of files. Each method may raise `StorageFullError` or `StorageFailedError`."""

    def names(self) -> list[str]:
        """Returns the names of all files, in no particular order."""

    def read(self, name: str) -> bytes:
        """Returns the complete content of a file."""

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""

    def create(self, name: str) -> DiskFile:
        """Creates an empty file; replaces an existing file of the same name."""

    def open(self, name: str) -> DiskFile:
        """Opens an existing file for appending."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file; replaces an existing file of the new name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Makes all file creations, renames and removals so far survive a power loss."""


@contextmanager
def _storage_errors(action: str, path: Path) -> Iterator[None]:
    """Translates operating system errors into errors of this package."""
    try:
        yield
    except OSError as error:
        error_type: type[StorageError] = (
            StorageFullError if error.errno in FULL_ERRORS else StorageFailedError
        )
        raise error_type(f"cannot {action} {path}: {error.strerror or error}") from error


class _FaultPoints:
    """Counts operations and calls the hook, if any, before each of them."""

    def __init__(self, hook: FaultHook | None) -> None:
        self._hook = hook
        self._number = 0

    def reach(self, operation: Operation, name: str) -> None:
        self._number += 1
        if self._hook is not None:
            self._hook(self._number, operation, name)


class _FolderFile:
    """A file open for appending; owns its file descriptor until `close`."""

    def __init__(self, path: Path, descriptor: int, faults: _FaultPoints) -> None:
        self._path = path
        self._name = path.name
        self._descriptor = descriptor
        self._faults = faults

    def write(self, data: bytes) -> None:
        self._faults.reach(Operation.WRITE, self._name)
        remaining = memoryview(data)
        with _storage_errors("write", self._path):
            while remaining:
                remaining = remaining[os.write(self._descriptor, remaining) :]

    def truncate(self, size: int) -> None:
        self._faults.reach(Operation.TRUNCATE, self._name)
        with _storage_errors("truncate", self._path):
            os.ftruncate(self._descriptor, size)
            os.lseek(self._descriptor, size, os.SEEK_SET)

    def sync(self) -> None:
        self._faults.reach(Operation.SYNC, self._name)
        with _storage_errors("sync", self._path):
            os.fdatasync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class FolderDisk:
    """A `Disk` on a folder of the file system; creates the folder if it does not exist.

    Raises:
        StorageError: the folder cannot be created.
    """

    def __init__(self, folder: Path, on_operation: FaultHook | None = None) -> None:
        self._folder = folder
        self._faults = _FaultPoints(on_operation)
        with _storage_errors("make", folder):
            folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Implements `Disk`."""
        with _storage_errors("list", self._folder):
            return [path.name for path in self._folder.iterdir()]

    def read(self, name: str) -> bytes:
        """Implements `Disk`."""
        path = self._folder / name
        with _storage_errors("read", path):
            return path.read_bytes()

    def size(self, name: str) -> int:
        """Implements `Disk`."""
        path = self._folder / name
        with _storage_errors("read the size of", path):
            return path.stat().st_size

    def create(self, name: str) -> DiskFile:
        """Implements `Disk`."""
        self._faults.reach(Operation.CREATE, name)
        return self._open(name, os.O_CREAT | os.O_TRUNC)

    def open(self, name: str) -> DiskFile:
        """Implements `Disk`."""
        return self._open(name, 0)

    def rename(self, old: str, new: str) -> None:
        """Implements `Disk`."""
        self._faults.reach(Operation.RENAME, old)
        path = self._folder / old
        with _storage_errors("rename", path):
            path.replace(self._folder / new)

    def remove(self, name: str) -> None:
        """Implements `Disk`."""
        self._faults.reach(Operation.REMOVE, name)
        path = self._folder / name
        with _storage_errors("remove", path):
            path.unlink()

    def sync_folder(self) -> None:
        """Implements `Disk`."""
        self._faults.reach(Operation.SYNC_FOLDER, "")
        with _storage_errors("sync", self._folder):
            descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def _open(self, name: str, flags: int) -> DiskFile:
        path = self._folder / name
        with _storage_errors("open", path):
            descriptor = os.open(path, os.O_WRONLY | os.O_CLOEXEC | flags, 0o644)
            os.lseek(descriptor, 0, os.SEEK_END)
        return _FolderFile(path, descriptor, self._faults)
