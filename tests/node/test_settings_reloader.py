"""Reloading a changed settings file, on a signal or by polling: applied completely or not at all."""

from pathlib import Path

import pytest

from pewterring.node.errors import SettingsError
from pewterring.node.settings import NodeSettings
from pewterring.node.settings_file import SettingsFile
from pewterring.node.settings_reloader import ReloadCallbacks, SettingsReloader
from tests.node.settings_texts import settings_text


class Process:
    """A process with a settings file that records the callbacks of its reloader."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "node.conf"
        self.replace(settings_text())
        file = SettingsFile(self.path, "gateway")
        self.applied: list[NodeSettings] = []
        self.refused: list[SettingsError] = []
        self.restart_needed: list[tuple[str, ...]] = []
        callbacks = ReloadCallbacks(self.applied.append, self.refused.append, self.restart_needed.append)
        self.reloader = SettingsReloader(file, file.read().settings, callbacks)

    def replace(self, text: str) -> None:
        """Replaces the file atomically, by a rename."""
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)

    def poll_twice(self) -> None:
        self.reloader.poll()
        self.reloader.poll()


@pytest.fixture
def process(tmp_path: Path) -> Process:
    return Process(tmp_path)


def test_a_signal_applies_the_new_file_at_once(process: Process) -> None:
    process.replace(settings_text(seed_nodes="10.9.0.1:8146"))
    process.reloader.reload()
    assert [str(seed) for seed in process.applied[0].seeds] == ["10.9.0.1:8146"]
    assert process.reloader.settings == process.applied[0]


def test_polling_applies_a_change_once(process: Process) -> None:
    process.poll_twice()
    assert process.applied == []
    process.replace(settings_text(seed_nodes="10.9.0.1:8146"))
    process.poll_twice()
    assert len(process.applied) == 1
    process.poll_twice()
    assert len(process.applied) == 1


def test_a_partially_written_file_is_not_read(process: Process) -> None:
    process.path.write_text(settings_text(seed_nodes="10.9.0.1:8146")[:80])  # a partial write
    process.reloader.poll()
    assert process.applied == []
    assert process.refused == []
    process.path.write_text(settings_text(seed_nodes="10.9.0.1:8146"))
    process.poll_twice()
    assert len(process.applied) == 1
    assert process.refused == []


def test_an_invalid_file_is_refused_once_and_changes_nothing(process: Process) -> None:
    before = process.reloader.settings
    process.replace(settings_text(seed_nodes="10.9.0.1:8146", heartbeat_ms="soon"))
    process.poll_twice()
    assert process.applied == []
    assert "heartbeat_ms" in str(process.refused[0])
    assert process.reloader.settings == before
    process.poll_twice()
    assert len(process.refused) == 1  # the same version of the file is not refused again


def test_a_file_without_a_key_that_the_program_requires_is_refused(process: Process) -> None:
    process.replace(settings_text(listen_addrs__front=None))
    process.reloader.reload()
    assert process.applied == []
    assert "listen_addrs.front" in str(process.refused[0])


def test_a_deleted_file_changes_nothing_until_it_is_restored(process: Process) -> None:
    process.path.unlink()
    process.poll_twice()
    assert process.refused == []
    process.reloader.reload()
    assert len(process.refused) == 1
    process.replace(settings_text(seed_nodes="10.9.0.1:8146"))
    process.poll_twice()
    assert len(process.applied) == 1


def test_changes_of_fixed_fields_need_a_restart(process: Process) -> None:
    changes = {"seed_nodes": "10.9.0.1:8146", "listen_addrs__front": "10.1.0.35:9999", "cluster_name": "two"}
    process.replace(settings_text(**changes))
    process.reloader.reload()
    assert process.restart_needed == [("front", "cluster")]
    (settings,) = process.applied
    assert settings.cluster == ""
    assert str(settings.front) == "10.1.0.35:8144"
    assert str(settings.seeds[0]) == "10.9.0.1:8146"


def test_a_new_file_with_the_same_content_is_not_applied(process: Process) -> None:
    process.replace(settings_text())
    process.poll_twice()
    assert process.applied == []
    assert process.refused == []
