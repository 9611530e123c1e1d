"""Names of commands and options, exit statuses, and the output of commands that other programs may read."""

from pathlib import Path

import pytest

from pewterring.__main__ import main
from tests.golden import command_line_cases as cases
from tests.golden.golden_files import read_text


def test_commands_and_options_are_the_golden_ones() -> None:
    assert cases.options() == read_text(cases.OPTIONS_FILE)


def test_exit_statuses_are_the_golden_ones() -> None:
    assert cases.statuses() == read_text(cases.STATUSES_FILE)


@pytest.mark.parametrize("name", cases.OUTPUTS)
def test_a_command_prints_the_golden_text(name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for variable in (
        "PEWTERRING_CONFIG",
        "ROUTER_CONFIG",
        "ROUTER_LISTEN",
        "ROUTER_DISCOVERY",
        "ROUTER_NAME",
    ):
        monkeypatch.delenv(variable, raising=False)
    cases.make_data_folder(tmp_path)
    assert cases.printed(cases.OUTPUTS[name], tmp_path) == read_text(name)


@pytest.mark.parametrize("name", cases.SCHEMAS)
def test_a_schema_has_the_golden_keys_and_types(name: str) -> None:
    assert cases.schema(name) == read_text(name)


def test_cluster_status_prints_the_golden_json() -> None:
    assert cases.cluster_status("--json") == read_text(cases.STATUS_JSON_FILE)


def test_cluster_status_prints_the_golden_table() -> None:
    assert cases.cluster_status() == read_text(cases.STATUS_TABLE_FILE)


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (["version"], 0),
        (["--help"], 0),
        (["cluster", "status", "--control", "127.0.0.1:1"], 1),
        (["tally", "no-such-file"], 2),
        (["tally", str(cases.INPUTS / "node.conf")], 1),
        (["config"], 2),
        (["no-such-command"], 2),
        (["gateway", "--settings", "no-such-file"], 2),
        (["config", "check", "--program", "store", str(cases.INPUTS / "least-node.conf")], 2),
        (["config", "check", "--program", "control", str(cases.INPUTS / "node.conf")], 0),
    ],
    ids=lambda value: value if isinstance(value, int) else "-".join(value).replace(str(cases.INPUTS), ""),
)
def test_a_command_ends_with_the_status(arguments: list[str], status: int) -> None:
    assert main(arguments) == status
