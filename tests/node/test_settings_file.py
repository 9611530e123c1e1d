"""Where the settings file is, and when it counts as changed."""

from pathlib import Path

import pytest

from pewterring.node.errors import SettingsError
from pewterring.node.keys import DEFAULT_PATH, SETTINGS_VARIABLE
from pewterring.node.settings_file import SettingsFile, settings_path
from tests.node.settings_texts import settings_text


def test_the_given_path_comes_before_the_variable_and_that_before_the_usual_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert settings_path() == Path(DEFAULT_PATH)
    monkeypatch.setenv(SETTINGS_VARIABLE, "/etc/named.conf")
    assert settings_path() == Path("/etc/named.conf")
    assert settings_path("given.conf") == Path("given.conf")


def test_a_change_counts_once_two_checks_found_the_same_state(tmp_path: Path) -> None:
    path = tmp_path / "node.conf"
    path.write_text(settings_text())
    file = SettingsFile(path, "gateway")
    file.read()
    assert not file.has_changed()
    path.write_text(settings_text(zone="another-zone"))
    assert [file.has_changed() for _ in range(2)] == [False, True]
    file.read()
    assert not file.has_changed()


def test_a_file_that_is_not_there_is_named(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"cannot read .*nowhere\.conf"):
        SettingsFile(tmp_path / "nowhere.conf", "gateway").read()
