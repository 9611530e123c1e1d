"""Errors of the storage package. All are subclasses of the consensus package's `StorageError`.

Only after `StorageFullError` may the call be repeated; after any other error the storage must be loaded
again. Corrupt files (`Corrupt...`), a later file format and a folder of another machine raise the same error
at each load.
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
    """The disk reported an error other than being full; the state of the file being written is unknown."""


class StorageUnusableError(StorageError):
    """The files were not loaded, or an earlier call failed; load them (again). Nothing was written."""

    def __init__(self, files: str) -> None:
        super().__init__(f"{files} cannot be used: not loaded, or an earlier call failed; load again")
        self.files = files


class CorruptFileError(StorageError):
    """Synced data is damaged or missing, and none of it is used. Replace the content of the disk."""

    def __init__(self, file: str, where: str = "") -> None:
        super().__init__(f"{file} is damaged{where}")
        self.file = file


class CorruptLogError(CorruptFileError):
    """The log is damaged or incomplete from byte `offset` of `file` onwards and cannot be trusted."""

    def __init__(self, file: str, offset: int) -> None:
        super().__init__(file, f" at byte {offset}")
        self.offset = offset


class CorruptSnapshotError(CorruptFileError):
    """The newest snapshot is damaged."""


class CorruptIdentityError(CorruptFileError):
    """The identity file is damaged, so it is unknown under which member name the votes were cast."""


class ForeignIdentityError(StorageError):
    """The data folder belongs to another machine; start with this machine's own folder or an empty one."""

    def __init__(self, file: str, found_ip: str, own_ip: str) -> None:
        super().__init__(f"{file} belongs to {found_ip}; the settings say {own_ip}")
        self.file = file


class UnknownFormatError(StorageError):
    """A file was written by a later version of the program and is not read. Start that version instead."""

    def __init__(self, file: str, found: int, known: int) -> None:
        super().__init__(f"{file} has format {found}; this version of pewterring reads up to {known}")
        self.file = file


class LogGapError(StorageError):
    """The index of an entry is not the next index of the log. Nothing of the call was written."""

    def __init__(self, log: str, index: int, expected: int) -> None:
        super().__init__(f"{log}: cannot save entry {index}: the next index is {expected}")
        self.index = index
        self.expected = expected


class InvalidNameError(StorageError, ValueError):
    """A group name or tag has characters that file or member names may not have. Nothing was written."""
