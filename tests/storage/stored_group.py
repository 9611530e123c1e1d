"""Helpers that load group storage whose segments are small enough to be filled by a few calls."""

from pewterring.storage.disk import Disk
from pewterring.storage.group import DiskGroupStorage
from tests.storage.model import Model

SEGMENT_BYTES = 300  # a few entries, so that the calls of a schedule often start a new segment


def load_storage(disk: Disk) -> DiskGroupStorage:
    """Returns the loaded storage of the group on the disk."""
    storage = DiskGroupStorage(disk, "group", SEGMENT_BYTES)
    storage.load()
    return storage


def load_matches(disk: Disk, model: Model) -> bool:
    """Returns whether a load returns the state of the model."""
    storage = DiskGroupStorage(disk, "group", SEGMENT_BYTES)
    try:
        return model.matches(storage.load())
    finally:
        storage.close()
