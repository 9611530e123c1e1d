"""The files of one folder, as far as storage needs them, and the operating system's errors as this package's.

A full disk is `StorageFullError`: the same call may succeed later. Any other error is `StorageFailedError`,
after which the content of the file is not known. Both name the file with its folder.

Every operation that changes something is announced to a hook before it runs. The operations' numbers, counted
from 1, are the fault points of tests.
"""

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from pathlib import Path
from typing import Protocol

from pewterring.storage.errors import StorageError, StorageFailedError, StorageFullError

FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})  # each ends once somebody frees disk space


class Operation(StrEnum):
    """What can be interrupted."""

    CREATE = "create"
    WRITE = "write"
    TRUNCATE = "truncate"
    SYNC = "sync"
    RENAME = "rename"
    REMOVE = "remove"
    SYNC_FOLDER = "sync folder"


FaultHook = Callable[[int, Operation, str], None]


class DiskFile(Protocol):
    """One open file. Each method but `close` may raise `StorageFullError` or `StorageFailedError`."""

    def write(self, data: bytes) -> None:
        """Appends. After an error any beginning of `data` may be in the file."""

    def truncate(self, size: int) -> None:
        """Truncates the file to `size` bytes; the next write goes there."""

    def sync(self) -> None:
        """Returns when the content outlasts a loss of power; the name needs `Disk.sync_folder`."""

    def close(self) -> None:
        """Closes the file without a sync."""


class Disk(Protocol):
    """One folder of files. Each method may raise `StorageFullError` or `StorageFailedError`."""

    def names(self) -> list[str]:
        """The names of all files, in no order."""

    def read(self, name: str) -> bytes:
        """The complete content."""

    def size(self, name: str) -> int:
        """The length in bytes."""

    def create(self, name: str) -> DiskFile:
        """Makes an empty file, in place of an earlier one of that name."""

    def open(self, name: str) -> DiskFile:
        """Opens a file that exists; writes go to its end."""

    def rename(self, old: str, new: str) -> None:
        """Renames, in place of a file of the new name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Returns when all names made, changed or removed outlast a loss of power."""


@contextmanager
def _storage_errors(action: str, path: Path) -> Iterator[None]:
    """Turns errors of the operating system into those of this package."""
    try:
        yield
    except OSError as error:
        kind: type[StorageError] = StorageFullError if error.errno in FULL_ERRORS else StorageFailedError
        raise kind(f"cannot {action} {path}: {error.strerror or error}") from error


class _FaultPoints:
    """Counts operations and announces them to the hook, if there is one."""

    def __init__(self, hook: FaultHook | None) -> None:
        self._hook = hook
        self._number = 0

    def reach(self, operation: Operation, name: str) -> None:
        self._number += 1
        if self._hook is not None:
            self._hook(self._number, operation, name)


class _FolderFile:
    """A file open for appending; owns its descriptor until `close`."""

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
    """A `Disk` on a folder of the file system; the folder is made where it is missing.

    Raises:
        StorageError: the folder cannot be made.
    """

    def __init__(self, folder: Path, on_operation: FaultHook | None = None) -> None:
        self._folder = folder
        self._faults = _FaultPoints(on_operation)
        with _storage_errors("make", folder):
            folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Part of `Disk`."""
        with _storage_errors("list", self._folder):
            return [path.name for path in self._folder.iterdir()]

    def read(self, name: str) -> bytes:
        """Part of `Disk`."""
        path = self._folder / name
        with _storage_errors("read", path):
            return path.read_bytes()

    def size(self, name: str) -> int:
        """Part of `Disk`."""
        path = self._folder / name
        with _storage_errors("read the size of", path):
            return path.stat().st_size

    def create(self, name: str) -> DiskFile:
        """Part of `Disk`."""
        self._faults.reach(Operation.CREATE, name)
        return self._open(name, os.O_CREAT | os.O_TRUNC)

    def open(self, name: str) -> DiskFile:
        """Part of `Disk`."""
        return self._open(name, 0)

    def rename(self, old: str, new: str) -> None:
        """Part of `Disk`."""
        self._faults.reach(Operation.RENAME, old)
        path = self._folder / old
        with _storage_errors("rename", path):
            path.replace(self._folder / new)

    def remove(self, name: str) -> None:
        """Part of `Disk`."""
        self._faults.reach(Operation.REMOVE, name)
        path = self._folder / name
        with _storage_errors("remove", path):
            path.unlink()

    def sync_folder(self) -> None:
        """Part of `Disk`."""
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
