"""A folder of the file system as storage sees it, and its errors."""

import errno
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from pewterring.storage.disk import FolderDisk, Operation
from pewterring.storage.errors import StorageError, StorageFailedError, StorageFullError

Use = Callable[[FolderDisk], object]


def test_the_files_of_a_folder_and_the_operations_on_them(tmp_path: Path) -> None:
    seen: list[tuple[int, Operation]] = []
    disk = FolderDisk(tmp_path, lambda number, operation, _name: seen.append((number, operation)))
    file = disk.create("a")
    file.write(b"12345")
    file.truncate(3)
    file.write(b"x")
    file.sync()
    file.close()
    again = disk.open("a")
    again.write(b"y")
    again.close()
    disk.rename("a", "b")
    assert disk.names() == ["b"]
    assert (disk.read("b"), disk.size("b")) == (b"123xy", 5)
    disk.remove("b")
    disk.sync_folder()
    assert [number for number, _ in seen] == list(range(1, 10))
    assert [operation for _, operation in seen] == [
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
    "use",
    [
        lambda disk: disk.read("absent"),
        lambda disk: disk.size("absent"),
        lambda disk: disk.open("absent"),
        lambda disk: disk.rename("absent", "new"),
        lambda disk: disk.remove("absent"),
    ],
    ids=["read", "size", "open", "rename", "remove"],
)
def test_an_error_names_the_file_and_its_folder(use: Use, tmp_path: Path) -> None:
    with pytest.raises(StorageFailedError, match="No such file or directory") as raised:
        use(FolderDisk(tmp_path))
    assert str(tmp_path / "absent") in str(raised.value)


def test_a_folder_that_cannot_be_made_is_named(tmp_path: Path) -> None:
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(StorageFailedError, match="cannot make") as raised:
        FolderDisk(tmp_path / "file")
    assert str(tmp_path / "file") in str(raised.value)


@pytest.mark.parametrize(
    ("number", "kind"),
    [
        (errno.ENOSPC, StorageFullError),
        (errno.EDQUOT, StorageFullError),
        (errno.EFBIG, StorageFullError),
        (errno.EIO, StorageFailedError),
        (errno.EROFS, StorageFailedError),
    ],
)
def test_a_failed_write_tells_a_full_disk_from_a_broken_one(
    number: int, kind: type[StorageError], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def write(_descriptor: int, _data: bytes) -> int:
        raise OSError(number, os.strerror(number))

    file = FolderDisk(tmp_path).create("a")
    monkeypatch.setattr(os, "write", write)
    with pytest.raises(StorageError, match=os.strerror(number)) as raised:
        file.write(b"x")
    monkeypatch.undo()
    assert type(raised.value) is kind
    assert str(tmp_path / "a") in str(raised.value)
    file.close()
