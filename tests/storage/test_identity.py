"""A member keeps its name as long as its data folder exists."""

import contextlib
import random
from pathlib import Path

import pytest

from pewterring.storage.errors import CorruptIdentityError, StorageError, StorageFullError
from pewterring.storage.identity import member_name
from pewterring.storage.records import encode_record
from tests.storage.simulated_disk import PowerLossError, SimulatedDisk

FOLDER = Path("unused")
IP = "10.0.0.1"


def test_each_folder_has_one_generated_tag(tmp_path: Path) -> None:
    name = member_name(tmp_path / "one", IP)
    assert name.startswith("10.0.0.1#")
    assert member_name(tmp_path / "one", IP) == name
    assert member_name(tmp_path / "other", IP) != name


def test_a_given_tag_is_used_for_new_folders_only() -> None:
    disk = SimulatedDisk()
    assert member_name(FOLDER, IP, disk, tag="first") == "10.0.0.1#first"
    assert member_name(FOLDER, IP, disk, tag="second") == "10.0.0.1#first"
    assert member_name(FOLDER, IP, disk) == "10.0.0.1#first"


def test_a_returned_name_survives_a_power_loss() -> None:
    for seed in range(100):
        rng = random.Random(seed)
        disk = SimulatedDisk()
        disk.lose_power_at(rng.randrange(1, 6))
        with contextlib.suppress(PowerLossError):
            member_name(FOLDER, IP, disk)
        if rng.random() < 0.5:
            disk.kill()
        else:
            disk.lose_power(rng)
        returned = member_name(FOLDER, IP, disk)
        disk.lose_power(rng)
        assert member_name(FOLDER, IP, disk) == returned


def test_a_name_is_generated_after_a_full_disk_has_free_space_again() -> None:
    for free_bytes in range(60):
        disk = SimulatedDisk(capacity_bytes=free_bytes)
        with contextlib.suppress(StorageFullError):
            member_name(FOLDER, IP, disk)
        disk.capacity = None
        returned = member_name(FOLDER, IP, disk)
        disk.lose_power(random.Random(free_bytes))
        assert member_name(FOLDER, IP, disk) == returned


def test_a_damaged_identity_is_reported() -> None:
    disk = SimulatedDisk()
    member_name(FOLDER, IP, disk)
    disk.damage("identity", b"")
    with pytest.raises(CorruptIdentityError, match="unused/identity is damaged"):
        member_name(FOLDER, IP, disk)


def test_a_folder_of_another_machine_is_rejected_and_left_unchanged() -> None:
    disk = SimulatedDisk()
    name = member_name(FOLDER, IP, disk)
    before = disk.read("identity")
    with pytest.raises(
        StorageError, match=r"unused/identity belongs to 10\.0\.0\.1; the settings say 10\.0\.0\.2"
    ):
        member_name(FOLDER, "10.0.0.2", disk, tag="seed")
    assert disk.names() == ["identity"]
    assert disk.read("identity") == before
    assert member_name(FOLDER, IP, disk) == name


def test_an_identity_file_without_an_address_is_accepted() -> None:
    disk = SimulatedDisk()
    file = disk.create("identity")
    file.write(encode_record(b'{"tag":"first"}\n'))
    file.sync()
    file.close()
    assert member_name(FOLDER, IP, disk) == "10.0.0.1#first"


def test_a_tag_with_other_characters_is_rejected() -> None:
    with pytest.raises(ValueError, match="tag"):
        member_name(FOLDER, IP, SimulatedDisk(), tag="a#b")
