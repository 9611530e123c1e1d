"""`FolderDisk`: its file operations, the calls of its hook, and its errors."""

import errno
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from pewterring.storage.disk import FolderDisk, Operation
from pewterring.storage.errors import StorageError, StorageFailedError, StorageFullError

DiskCall = Callable[[FolderDisk], object]


def test_operations_change_the_files_and_are_reported_to_the_hook(tmp_path: Path) -> None:
    operations: list[tuple[int, Operation]] = []
    disk = FolderDisk(tmp_path, lambda number, operation, _name: operations.append((number, operation)))
    file = disk.create("a")
    file.write(b"12345")
    file.truncate(3)
    file.write(b"x")
    file.sync()
    file.close()
    reopened = disk.open("a")
    reopened.write(b"y")
    reopened.close()
    disk.rename("a", "b")
    assert disk.names() == ["b"]
    assert (disk.read("b"), disk.size("b")) == (b"123xy", 5)
    disk.remove("b")
    disk.sync_folder()
    assert [number for number, _ in operations] == list(range(1, 10))
    assert [operation for _, operation in operations] == [
        Operation.CREATE,
        Operation.WRITE,
        Operation.TRUNCATE,
        Operation.WRITE,
        Operation.SYNC,
        Operation.WRITE,
        Operation.RENAME,
        Operation.REMOVE,
        Operation.SYNC_FOLDER,
    ]
    with pytest.raises(StorageFailedError):
        disk.read("b")


@pytest.mark.parametrize(
    "call",
    [
        lambda disk: disk.read("absent"),
        lambda disk: disk.size("absent"),
        lambda disk: disk.open("absent"),
        lambda disk: disk.rename("absent", "new"),
        lambda disk: disk.remove("absent"),
    ],
    ids=["read", "size", "open", "rename", "remove"],
)
def test_an_error_names_the_file_and_its_folder(call: DiskCall, tmp_path: Path) -> None:
    with pytest.raises(StorageFailedError, match="No such file or directory") as raised:
        call(FolderDisk(tmp_path))
    assert str(tmp_path / "absent") in str(raised.value)


def test_an_error_names_a_folder_that_cannot_be_created(tmp_path: Path) -> None:
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(StorageFailedError, match="cannot make") as raised:
        FolderDisk(tmp_path / "file")
    assert str(tmp_path / "file") in str(raised.value)


@pytest.mark.parametrize(
    ("error_number", "error_type"),
    [
        (errno.ENOSPC, StorageFullError),
        (errno.EDQUOT, StorageFullError),
        (errno.EFBIG, StorageFullError),
        (errno.EIO, StorageFailedError),
        (errno.EROFS, StorageFailedError),
    ],
)
def test_a_failed_write_distinguishes_a_full_disk_from_other_errors(
    error_number: int, error_type: type[StorageError], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def write(_descriptor: int, _data: bytes) -> int:
        raise OSError(error_number, os.strerror(error_number))

    file = FolderDisk(tmp_path).create("a")
    monkeypatch.setattr(os, "write", write)
    with pytest.raises(StorageError, match=os.strerror(error_number)) as raised:
        file.write(b"x")
    monkeypatch.undo()
    assert type(raised.value) is error_type
    assert str(tmp_path / "a") in str(raised.value)
    file.close()
