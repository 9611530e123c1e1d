"""The name of a member lasts as long as its data folder."""

import contextlib
import random
from pathlib import Path

import pytest

from pewterring.storage.disk import FolderDisk, Operation
from pewterring.storage.errors import StorageError, StorageFailed, StorageFullError
from pewterring.storage.identity import member_name
from pewterring.storage.records import encode_record
from tests.storage.simulated_disk import PowerLoss, SimulatedDisk

FOLDER = Path("unused")
IP = "10.0.0.1"


def test_a_tag_is_drawn_once_a_folder(tmp_path: Path) -> None:
    name = member_name(tmp_path / "one", IP)
    assert name.startswith("10.0.0.1#")
    assert member_name(tmp_path / "one", IP) == name
    assert member_name(tmp_path / "other", IP) != name


def test_a_given_tag_is_taken_by_a_new_folder_only() -> None:
    disk = SimulatedDisk()
    assert member_name(FOLDER, IP, disk, tag="first") == "10.0.0.1#first"
    assert member_name(FOLDER, IP, disk, tag="second") == "10.0.0.1#first"
    assert member_name(FOLDER, IP, disk) == "10.0.0.1#first"


def test_a_name_that_was_told_outlasts_a_loss_of_power() -> None:
    for seed in range(100):
        rng = random.Random(seed)
        disk = SimulatedDisk()
        disk.lose_power_at(rng.randrange(1, 6))
        with contextlib.suppress(PowerLoss):
            member_name(FOLDER, IP, disk)
        if rng.random() < 0.5:
            disk.kill()
        else:
            disk.lose_power(rng)
        told = member_name(FOLDER, IP, disk)
        disk.lose_power(rng)
        assert member_name(FOLDER, IP, disk) == told


def test_a_name_that_found_no_room_is_drawn_once_there_is_some() -> None:
    for room in range(60):
        disk = SimulatedDisk(capacity=room)
        with contextlib.suppress(StorageFullError):
            member_name(FOLDER, IP, disk)
        disk.capacity = None
        told = member_name(FOLDER, IP, disk)
        disk.lose_power(random.Random(room))
        assert member_name(FOLDER, IP, disk) == told


def test_a_damaged_tag_is_reported() -> None:
    disk = SimulatedDisk()
    member_name(FOLDER, IP, disk)
    disk.damage("identity", b"")
    with pytest.raises(StorageError):
        member_name(FOLDER, IP, disk)


def test_a_folder_of_another_machine_is_refused_and_stays_as_it_is() -> None:
    disk = SimulatedDisk()
    name = member_name(FOLDER, IP, disk)
    before = disk.read("identity")
    with pytest.raises(
        StorageError, match=r"unused/identity is of 10\.0\.0\.1; the settings say 10\.0\.0\.2"
    ):
        member_name(FOLDER, "10.0.0.2", disk, tag="seed")
    assert disk.names() == ["identity"]
    assert disk.read("identity") == before
    assert member_name(FOLDER, IP, disk) == name


def test_a_folder_of_an_earlier_version_is_taken() -> None:
    disk = SimulatedDisk()
    file = disk.create("identity")
    file.write(encode_record(b'{"tag":"first"}\n'))
    file.sync()
    file.close()
    assert member_name(FOLDER, IP, disk) == "10.0.0.1#first"


def test_a_tag_must_fit_into_a_name() -> None:
    with pytest.raises(ValueError, match="tag"):
        member_name(FOLDER, IP, SimulatedDisk(), tag="a#b")


def test_files_of_a_folder(tmp_path: Path) -> None:
    seen: list[tuple[int, Operation]] = []
    disk = FolderDisk(tmp_path, lambda number, operation, name: seen.append((number, operation)))
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
    with pytest.raises(StorageFailed):
        disk.read("b")
