"""The first voters of the group, and the member name of a machine that lost its disk."""

from pathlib import Path

import pytest

from pewterring.control.member_storage import FIRST_TAG, open_member_storage
from pewterring.storage.errors import StorageError
from tests.node_settings import addresses, node_settings

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def voters_of(folder: Path, ip: str, bootstrap: bool) -> tuple[str, tuple[str, ...]]:
    """Opens the storage; returns the member's name and the stored voters."""
    settings = node_settings("control", ip, seeds=addresses(SEEDS, 1), bootstrap=bootstrap, data_dir=folder)
    member, storage = open_member_storage(settings, folder)
    return member, storage.load().state.snapshot_membership.voters


def test_the_seeds_are_the_first_voters(tmp_path: Path) -> None:
    for ip in SEEDS:
        folder = tmp_path / ip
        folder.mkdir()
        expected = (f"{ip}#{FIRST_TAG}", tuple(f"{seed}#{FIRST_TAG}" for seed in SEEDS))
        assert voters_of(folder, ip, bootstrap=True) == expected
        assert voters_of(folder, ip, bootstrap=False) == expected, "the next start reads the same"


@pytest.mark.parametrize(("ip", "bootstrap"), [(SEEDS[0], False), ("10.0.0.9", True)])
def test_any_other_machine_starts_without_voters_and_with_a_random_tag(
    tmp_path: Path, ip: str, bootstrap: bool
) -> None:
    member, voters = voters_of(tmp_path, ip, bootstrap)
    assert member.startswith(f"{ip}#")
    assert member != f"{ip}#{FIRST_TAG}"
    assert voters == ()


def test_a_folder_of_another_machine_is_rejected(tmp_path: Path) -> None:
    voters_of(tmp_path, SEEDS[0], bootstrap=True)
    with pytest.raises(StorageError, match=SEEDS[0]):
        voters_of(tmp_path, SEEDS[1], bootstrap=True)
