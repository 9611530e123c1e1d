"""Errors of the storage package. All are the consensus package's `StorageError`."""

from pewterring.consensus.errors import StorageError, StorageFullError

__all__ = [
    "CorruptLog",
    "CorruptSnapshot",
    "StorageError",
    "StorageFailed",
    "StorageFullError",
    "UnknownFormat",
]


class StorageFailed(StorageError):
    """The disk reported an error other than being full; what was being written is in an unknown state."""


class CorruptLog(StorageError):
    """Records that had been synced are damaged or missing; the log cannot be trusted."""

    def __init__(self, file: str, offset: int) -> None:
        super().__init__(f"{file} is damaged at byte {offset}")
        self.file = file
        self.offset = offset


class CorruptSnapshot(StorageError):
    """The newest snapshot is damaged."""

    def __init__(self, file: str) -> None:
        super().__init__(f"{file} is damaged")
        self.file = file


class UnknownFormat(StorageError):
    """A file was written by a later version of the program; nothing of it is taken."""

    def __init__(self, file: str, found: int, known: int) -> None:
        super().__init__(f"{file} has format {found}; this version of pewterring reads up to {known}")
        self.file = file
