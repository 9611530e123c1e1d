"""Errors of the storage package. All are the consensus package's `StorageError`, and each names the file.

`StorageFullError` alone may be answered by repeating the call; after any other error the storage is to be
loaded again, and the errors of damage (`Corrupt...`), of a later format and of another machine's folder come
back then.
"""

from pewterring.consensus.errors import StorageError, StorageFullError

__all__ = [
    "CorruptFileError",
    "CorruptIdentityError",
    "CorruptLogError",
    "CorruptSnapshotError",
    "ForeignIdentityError",
    "InvalidNameError",
    "LogGapError",
    "StorageError",
    "StorageFailedError",
    "StorageFullError",
    "StorageUnusableError",
    "UnknownFormatError",
]


class StorageFailedError(StorageError):
    """The disk reported an error other than being full; what was being written is in an unknown state."""


class StorageUnusableError(StorageError):
    """The files were not loaded, or a call failed before; they must be loaded again. Nothing was written."""

    def __init__(self, files: str) -> None:
        super().__init__(f"{files} cannot be used: not loaded, or failed before; load again")
        self.files = files


class CorruptFileError(StorageError):
    """What had been synced is damaged or missing: nothing is read of it. Replace the content of the disk."""

    def __init__(self, file: str, where: str = "") -> None:
        super().__init__(f"{file} is damaged{where}")
        self.file = file


class CorruptLogError(CorruptFileError):
    """Records of the log are damaged or missing from `offset` (bytes) on; the log cannot be trusted."""

    def __init__(self, file: str, offset: int) -> None:
        super().__init__(file, f" at byte {offset}")
        self.offset = offset


class CorruptSnapshotError(CorruptFileError):
    """The newest snapshot is damaged."""


class CorruptIdentityError(CorruptFileError):
    """The file of the member's tag is damaged: under which name its votes were given is not known."""


class ForeignIdentityError(StorageError):
    """The data folder is that of another machine; start with its own folder or with an empty one."""

    def __init__(self, file: str, found_ip: str, own_ip: str) -> None:
        super().__init__(f"{file} is of {found_ip}; the settings say {own_ip}")
        self.file = file


class UnknownFormatError(StorageError):
    """A file was written by a later version of the program; nothing of it is read. Start that version."""

    def __init__(self, file: str, found: int, known: int) -> None:
        super().__init__(f"{file} has format {found}; this version of pewterring reads up to {known}")
        self.file = file


class LogGapError(StorageError):
    """An entry does not follow on the last one of the log; nothing of the call was written."""

    def __init__(self, log: str, index: int, expected: int) -> None:
        super().__init__(f"{log}: entry {index} was to be saved where {expected} is next")
        self.index = index
        self.expected = expected


class InvalidNameError(StorageError, ValueError):
    """A name cannot be part of the name of a file or a member; nothing was written. Choose another."""
