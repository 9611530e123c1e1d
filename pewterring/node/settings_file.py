"""The settings file of a running process: read whole or not at all, and polled for changes."""

import asyncio
import os
from collections.abc import Callable
from dataclasses import fields, replace
from pathlib import Path

from pewterring.node.settings import NodeSettings, SettingsError, SettingsReport, read_report, read_text

POLL_INTERVAL_S = 1.0  # between checks for a change without a signal
READ_TRIES = 3  # while the file changes as it is read
# What a process was built on: another value counts from its next start.
FIXED_FIELDS = (
    "node_id", "ip", "zone", "region", "front", "ready", "control", "internal_port", "data_dir", "cluster",
)  # fmt: skip

Signature = tuple[int, int, int]  # inode, size, time of the last change in nanoseconds


def signature(path: Path) -> Signature | None:
    """What tells one state of a file from another; None where it cannot be read."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_ino, status.st_size, status.st_mtime_ns


class SettingsFile:
    """Reads one program's settings file."""

    def __init__(self, path: Path, program: str) -> None:
        self.path = path
        self._program = program
        self._taken: Signature | None = None  # of the content read last
        self._seen: Signature | None = None  # at the last check

    def read(self) -> SettingsReport:
        """Reads the file as one state of it. Raises `SettingsError`."""
        for _ in range(READ_TRIES):
            before = signature(self.path)
            text = read_text(self.path)
            if signature(self.path) == before:
                self._taken = self._seen = before
                return read_report(text, self._program)
        raise SettingsError(f"{self.path} changes while it is read")

    def has_changed(self) -> bool:
        """Whether two checks in a row found a state that was not read yet: one check may find half a file."""
        now = signature(self.path)
        settled = now == self._seen
        self._seen = now
        return settled and now is not None and now != self._taken


def merged(running: NodeSettings, new: NodeSettings) -> tuple[NodeSettings, tuple[str, ...]]:
    """The new settings with what only a start can change kept as it is, and the names of such changes."""
    names = [field.name for field in fields(new) if field.name in FIXED_FIELDS]
    held = {name: getattr(running, name) for name in names if getattr(running, name) != getattr(new, name)}
    return replace(new, **held), tuple(held)


class SettingsReloader:
    """Takes changed settings: at once by `reload`, or by `watch` without a signal.

    `apply` gets settings that are valid and complete; `refused` gets the reason where a file cannot be used,
    and the settings before stay in force; `waiting` gets the fields that wait for a new start.
    """

    def __init__(
        self,
        file: SettingsFile,
        settings: NodeSettings,
        apply: Callable[[NodeSettings], None],
        refused: Callable[[SettingsError], None],
        waiting: Callable[[tuple[str, ...]], None],
    ) -> None:
        self.settings = settings
        self._file = file
        self._apply = apply
        self._refused = refused
        self._waiting = waiting

    def reload(self) -> None:
        """Reads the file now."""
        try:
            report = self._file.read()
        except SettingsError as error:
            self._refused(error)
            return
        settings, held = merged(self.settings, report.settings)
        if held:
            self._waiting(held)
        if settings != self.settings:
            self.settings = settings
            self._apply(settings)

    def poll(self) -> None:
        """Reads the file where it has changed."""
        if self._file.has_changed():
            self.reload()

    async def watch(self) -> None:
        """Polls for changes until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.poll()
