"""The storage under test on a disk, with segments so small that a few calls fill them."""

from pewterring.storage.disk import Disk
from pewterring.storage.group import DiskGroupStorage
from tests.storage.model import Model

SEGMENT_BYTES = 300  # a few entries: calls of a schedule often start a segment


def opened(disk: Disk) -> DiskGroupStorage:
    """The storage of the disk, loaded."""
    storage = DiskGroupStorage(disk, "group", SEGMENT_BYTES)
    storage.load()
    return storage


def loads_as(disk: Disk, model: Model) -> bool:
    """Whether a load returns what the model says."""
    storage = DiskGroupStorage(disk, "group", SEGMENT_BYTES)
    try:
        return model.matches(storage.load())
    finally:
        storage.close()
