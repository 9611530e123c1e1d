"""Location of the settings file, and detection of its changes."""

from pathlib import Path

import pytest

from pewterring.node.errors import SettingsError
from pewterring.node.keys import DEFAULT_PATH, SETTINGS_VARIABLE
from pewterring.node.settings_file import SettingsFile, settings_path
from tests.node.settings_texts import settings_text


def test_a_given_path_overrides_the_variable_which_overrides_the_default(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert settings_path() == Path(DEFAULT_PATH)
    monkeypatch.setenv(SETTINGS_VARIABLE, "/etc/named.conf")
    assert settings_path() == Path("/etc/named.conf")
    assert settings_path("given.conf") == Path("given.conf")


def test_a_change_is_reported_after_two_checks_saw_the_same_state(tmp_path: Path) -> None:
    path = tmp_path / "node.conf"
    path.write_text(settings_text())
    file = SettingsFile(path, "gateway")
    file.read()
    assert not file.has_changed()
    path.write_text(settings_text(zone="another-zone"))
    assert [file.has_changed() for _ in range(2)] == [False, True]
    file.read()
    assert not file.has_changed()


def test_the_error_for_a_missing_file_names_its_path(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"cannot read .*nowhere\.conf"):
        SettingsFile(tmp_path / "nowhere.conf", "gateway").read()
