"""Applies changed settings to a running process, on a signal or by polling the file."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, fields, replace

from pewterring.node.errors import SettingsError
from pewterring.node.settings import NodeSettings
from pewterring.node.settings_file import SettingsFile

POLL_INTERVAL_S = 1.0  # between checks without a signal; asyncio cannot await a change of a file
# Settings that a running process cannot change: a new value takes effect at its next start.
FIXED_FIELDS = (
    "node_id", "ip", "zone", "region", "front", "ready", "control", "internal_port", "data_dir", "cluster",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class ReloadCallbacks:
    """Callbacks of the program for a changed settings file."""

    apply: Callable[[NodeSettings], None]  # called with new settings that are valid and complete
    on_refused: Callable[[SettingsError], None]  # the file is unusable; the previous settings stay in effect
    on_restart_needed: Callable[[tuple[str, ...]], None]  # names of fields whose change needs a restart


@dataclass(frozen=True, slots=True)
class MergedSettings:
    """New settings with the running values of `FIXED_FIELDS`, and the names of those that differ."""

    settings: NodeSettings
    restart_needed: tuple[str, ...]


def merge(running: NodeSettings, new: NodeSettings) -> MergedSettings:
    """Returns the new settings as far as the running process can apply them without a restart."""
    fixed = [field.name for field in fields(new) if field.name in FIXED_FIELDS]
    unchanged = {
        name: getattr(running, name) for name in fixed if getattr(running, name) != getattr(new, name)
    }
    return MergedSettings(replace(new, **unchanged), tuple(unchanged))


class SettingsReloader:
    """Owns the current settings. `reload` applies a changed file at once, `watch` polls for changes."""

    def __init__(self, file: SettingsFile, settings: NodeSettings, callbacks: ReloadCallbacks) -> None:
        self.settings = settings
        self._file = file
        self._callbacks = callbacks

    def reload(self) -> None:
        """Reads the file and applies its settings if they differ."""
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
        """Reloads the file if it has changed."""
        if self._file.has_changed():
            self.reload()

    async def watch(self) -> None:
        """Polls the file for changes until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.poll()
