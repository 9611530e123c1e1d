"""Puts changed settings in force while the process runs, on a signal or without."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, fields, replace

from pewterring.node.errors import SettingsError
from pewterring.node.settings import NodeSettings
from pewterring.node.settings_file import SettingsFile

POLL_INTERVAL_S = 1.0  # between checks for a change without a signal; a file's change is no event to await
# What a process was built on: another value counts from its next start.
FIXED_FIELDS = (
    "node_id", "ip", "zone", "region", "front", "ready", "control", "internal_port", "data_dir", "cluster",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class ReloadCallbacks:
    """What the program does about a changed file."""

    apply: Callable[[NodeSettings], None]  # settings that are valid and complete come into force
    on_refused: Callable[[SettingsError], None]  # the file cannot be used; the settings before stay in force
    on_restart_needed: Callable[[tuple[str, ...]], None]  # fields whose change waits for the next start


@dataclass(frozen=True, slots=True)
class MergedSettings:
    """New settings with what only a start can change as it was, and the names of such changes."""

    settings: NodeSettings
    restart_needed: tuple[str, ...]


def merge(running: NodeSettings, new: NodeSettings) -> MergedSettings:
    """The new settings as far as the running process can take them."""
    fixed = [field.name for field in fields(new) if field.name in FIXED_FIELDS]
    unchanged = {
        name: getattr(running, name) for name in fixed if getattr(running, name) != getattr(new, name)
    }
    return MergedSettings(replace(new, **unchanged), tuple(unchanged))


class SettingsReloader:
    """Owns the settings in force. Changes come by `reload`, or by `watch` without a signal."""

    def __init__(self, file: SettingsFile, settings: NodeSettings, callbacks: ReloadCallbacks) -> None:
        self.settings = settings
        self._file = file
        self._callbacks = callbacks

    def reload(self) -> None:
        """Reads the file now."""
        try:
            report = self._file.read()
        except SettingsError as error:
            self._callbacks.on_refused(error)
            return
        merged = merge(self.settings, report.settings)
        if merged.restart_needed:
            self._callbacks.on_restart_needed(merged.restart_needed)
        if merged.settings != self.settings:
            self.settings = merged.settings
            self._callbacks.apply(merged.settings)

    def poll(self) -> None:
        """Reads the file where it has changed."""
        if self._file.has_changed():
            self.reload()

    async def watch(self) -> None:
        """Polls for changes until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.poll()
