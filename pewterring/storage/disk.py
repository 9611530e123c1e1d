"""The files of one folder, as far as storage needs them.

Every operation that changes something is announced to a hook before it runs. The operations' numbers,
counted from 1, are the fault points of tests.
"""

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from pathlib import Path
from typing import Protocol

from pewterring.storage.errors import StorageError, StorageFailed, StorageFullError

FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


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
    """One open file. Errors are `StorageFullError` or `StorageFailed`."""

    def write(self, data: bytes) -> None:
        """Appends. After an error any part of `data` may be in the file."""

    def truncate(self, size: int) -> None:
        """Cuts the file to `size` bytes; the next write goes there."""

    def sync(self) -> None:
        """Returns when the content outlasts a loss of power."""

    def close(self) -> None:
        """Closes the file without a sync."""


class Disk(Protocol):
    """One folder of files. Errors are `StorageFullError` or `StorageFailed`."""

    def names(self) -> list[str]:
        """The names of all files, in no order."""

    def read(self, name: str) -> bytes:
        """The whole content."""

    def size(self, name: str) -> int:
        """The length in bytes."""

    def create(self, name: str) -> DiskFile:
        """Makes an empty file, in place of one of that name."""

    def open(self, name: str) -> DiskFile:
        """Opens a file that is there; writes go to its end."""

    def rename(self, old: str, new: str) -> None:
        """Renames, in place of a file of the new name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Returns when all names made, changed or removed outlast a loss of power."""


@contextmanager
def _storage_errors(action: str, name: str) -> Iterator[None]:
    """Turns errors of the operating system into those of this package."""
    try:
        yield
    except OSError as error:
        kind: type[StorageError] = StorageFullError if error.errno in FULL_ERRORS else StorageFailed
        raise kind(f"cannot {action} {name}: {error}") from error


class _FaultPoints:
    """Counts operations and announces them."""

    def __init__(self, hook: FaultHook | None) -> None:
        self._hook = hook
        self._number = 0

    def reach(self, operation: Operation, name: str) -> None:
        self._number += 1
        if self._hook is not None:
            self._hook(self._number, operation, name)


class _FolderFile:
    """A file open for appending."""

    def __init__(self, name: str, descriptor: int, faults: _FaultPoints) -> None:
        self._name = name
        self._descriptor = descriptor
        self._faults = faults

    def write(self, data: bytes) -> None:
        self._faults.reach(Operation.WRITE, self._name)
        rest = memoryview(data)
        with _storage_errors("write", self._name):
            while rest:
                rest = rest[os.write(self._descriptor, rest) :]

    def truncate(self, size: int) -> None:
        self._faults.reach(Operation.TRUNCATE, self._name)
        with _storage_errors("truncate", self._name):
            os.ftruncate(self._descriptor, size)
            os.lseek(self._descriptor, size, os.SEEK_SET)

    def sync(self) -> None:
        self._faults.reach(Operation.SYNC, self._name)
        with _storage_errors("sync", self._name):
            os.fdatasync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class FolderDisk:
    """A `Disk` on a folder of the file system; the folder is made where it is missing."""

    def __init__(self, folder: Path, on_operation: FaultHook | None = None) -> None:
        self._folder = folder
        self._faults = _FaultPoints(on_operation)
        with _storage_errors("make", str(folder)):
            folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Part of `Disk`."""
        with _storage_errors("list", str(self._folder)):
            return os.listdir(self._folder)

    def read(self, name: str) -> bytes:
        """Part of `Disk`."""
        with _storage_errors("read", name):
            return (self._folder / name).read_bytes()

    def size(self, name: str) -> int:
        """Part of `Disk`."""
        with _storage_errors("look at", name):
            return os.stat(self._folder / name).st_size

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
        with _storage_errors("rename", old):
            os.replace(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Part of `Disk`."""
        self._faults.reach(Operation.REMOVE, name)
        with _storage_errors("remove", name):
            os.remove(self._folder / name)

    def sync_folder(self) -> None:
        """Part of `Disk`."""
        self._faults.reach(Operation.SYNC_FOLDER, "")
        with _storage_errors("sync", str(self._folder)):
            descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def _open(self, name: str, flags: int) -> DiskFile:
        with _storage_errors("open", name):
            descriptor = os.open(self._folder / name, os.O_WRONLY | os.O_CLOEXEC | flags, 0o644)
            os.lseek(descriptor, 0, os.SEEK_END)
        return _FolderFile(name, descriptor, self._faults)
