"""The settings file of a process on its disk: found, read as one state of it, checked for changes."""

import os
from pathlib import Path
from typing import NamedTuple

from pewterring.node.errors import SettingsError
from pewterring.node.keys import DEFAULT_PATH, SETTINGS_VARIABLE
from pewterring.node.settings import SettingsReport, read_report

READ_ATTEMPTS = 3  # while the file changes as it is read


def settings_path(given: str | None = None) -> Path:
    """The file: the one given, else the one that `PEWTERRING_CONFIG` names, else the usual one."""
    return Path(given or os.environ.get(SETTINGS_VARIABLE) or DEFAULT_PATH)


def read_text(path: Path) -> str:
    """The file's text.

    Raises:
        SettingsError: It cannot be read, or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error


class FileSignature(NamedTuple):
    """What tells one state of a file from another."""

    inode: int
    size_bytes: int
    modified_ns: int


def file_signature(path: Path) -> FileSignature | None:
    """The file's present state; None where it cannot be read."""
    try:
        status = path.stat()
    except OSError:
        return None
    return FileSignature(status.st_ino, status.st_size, status.st_mtime_ns)


class SettingsFile:
    """One program's settings file. Another program may replace it, or write it in place, at any time."""

    def __init__(self, path: Path, program: str) -> None:
        self.path = path
        self._program = program
        self._read: FileSignature | None = None  # of the content read last
        self._checked: FileSignature | None = None  # at the last check

    def read(self) -> SettingsReport:
        """Reads the file as one state of it.

        Raises:
            SettingsError: It cannot be read or used, or changes at each attempt.
        """
        for _ in range(READ_ATTEMPTS):
            before = file_signature(self.path)
            text = read_text(self.path)
            if file_signature(self.path) == before:
                self._read = self._checked = before
                return read_report(text, self._program)
        raise SettingsError(f"{self.path} changes while it is read")

    def has_changed(self) -> bool:
        """Whether two checks in a row found the same unread state: one check may find half a file."""
        current = file_signature(self.path)
        is_stable = current == self._checked
        self._checked = current
        return is_stable and current is not None and current != self._read
