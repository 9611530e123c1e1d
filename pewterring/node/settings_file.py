"""Locates the settings file of a process, reads it consistently and detects changes."""

import os
from pathlib import Path
from typing import NamedTuple

from pewterring.node.errors import SettingsError
from pewterring.node.keys import DEFAULT_PATH, SETTINGS_VARIABLE
from pewterring.node.settings import SettingsReport, read_report

READ_ATTEMPTS = 3  # if the file changes during a read


def settings_path(given: str | None = None) -> Path:
    """Returns the given path, else that in `PEWTERRING_CONFIG`, else the default path."""
    return Path(given or os.environ.get(SETTINGS_VARIABLE) or DEFAULT_PATH)


def read_text(path: Path) -> str:
    """Returns the text of the file.

    Raises:
        SettingsError: The file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error


class FileSignature(NamedTuple):
    """Metadata that changes whenever the file is replaced or written."""

    inode: int
    size_bytes: int
    modified_ns: int


def file_signature(path: Path) -> FileSignature | None:
    """Returns the current signature of the file; None if its status cannot be read."""
    try:
        status = path.stat()
    except OSError:
        return None
    return FileSignature(status.st_ino, status.st_size, status.st_mtime_ns)


class SettingsFile:
    """The settings file of one program. Other programs may replace it or write it in place at any time."""

    def __init__(self, path: Path, program: str) -> None:
        self.path = path
        self._program = program
        self._read_signature: FileSignature | None = None  # of the content that was read last
        self._checked_signature: FileSignature | None = None  # at the last check for changes

    def read(self) -> SettingsReport:
        """Reads and parses the file; reads it again if it changed during the read.

        Raises:
            SettingsError: The file cannot be read or used, or changed during every attempt.
        """
        for _ in range(READ_ATTEMPTS):
            before = file_signature(self.path)
            text = read_text(self.path)
            if file_signature(self.path) == before:
                self._read_signature = self._checked_signature = before
                return read_report(text, self._program)
        raise SettingsError(f"{self.path} changes while it is read")

    def has_changed(self) -> bool:
        """Whether two successive checks saw the same unread version; a single one may see a partial write."""
        current = file_signature(self.path)
        is_stable = current == self._checked_signature
        self._checked_signature = current
        return is_stable and current is not None and current != self._read_signature
