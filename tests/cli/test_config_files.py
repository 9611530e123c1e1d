"""`pewterring config` on settings files of the tier and on operators' configurations."""

import json
from pathlib import Path
from typing import Any

import pytest

from pewterring.__main__ import main
from tests.configuration.documents import document
from tests.node.settings_texts import settings_text


def write_file(tmp_path: Path, content: str | dict[str, Any]) -> str:
    path = tmp_path / "file"
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return str(path)


def test_both_kinds_are_detected_and_valid(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "check", write_file(tmp_path, settings_text())]) == 0
    assert main(["config", "check", write_file(tmp_path, document())]) == 0
    assert capsys.readouterr().out.count("can be used") == 2


def test_all_problems_of_settings_are_reported_with_the_nearest_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = settings_text(ip=None, heartbeat_ms="soon", data_dirr="/x", quite_another="y")
    assert main(["config", "check", write_file(tmp_path, text)]) == 2
    lines = capsys.readouterr().err.splitlines()
    reported = [line.split(": ", 2)[2] for line in lines]
    assert reported[:2] == ["ip is missing", "heartbeat_ms is not a number: 'soon'"]
    assert reported[2:] == ["data_dirr: not known; did you mean data_dir?"]


def test_settings_are_checked_for_a_program(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = write_file(tmp_path, settings_text())
    assert main(["config", "check", "--program", "gateway", path]) == 0
    assert main(["config", "check", "--program", "store", path]) == 2
    assert "data_dir is missing: store needs it" in capsys.readouterr().err


def test_settings_are_shown_with_their_origin(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "show", "--json", write_file(tmp_path, settings_text())]) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown["heartbeat_ms"] == {"value": 1200.0, "from": "file"}
    assert shown["bounds.grace_s"] == {"value": 8.0, "from": "default"}
    assert shown["seed_nodes"]["value"] == "10.1.0.38:8146,10.2.0.31:8146"


def test_all_errors_of_a_configuration_are_reported_with_their_paths(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    invalid = document()
    invalid["routes"][0]["timeout_ms"] = 0
    invalid["routes"][1]["max_attempts"] = "many"
    del invalid["routes"][1]["path_prefix"]
    invalid["routes"][1]["path_prefx"] = "/x/"
    assert main(["config", "check", write_file(tmp_path, invalid)]) == 2
    reported = capsys.readouterr().err
    for path in ("routes.0.timeout_ms: ", "routes.1.max_attempts: ", "routes.1.path_prefix: "):
        assert path in reported
    assert "routes.1.path_prefx: not known; did you mean path_prefix?" in reported


def test_all_conflicts_between_fields_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    invalid = document()
    invalid["routes"][0]["weighted_backends"] = [{"backend": "nobody", "weight": 0}]
    invalid["routes"][1]["backend"] = "noone"
    invalid["backends"].append(dict(invalid["backends"][0]))
    assert main(["config", "check", write_file(tmp_path, invalid)]) == 2
    reported = capsys.readouterr().err
    for text in (
        "routes.0.weighted_backends.0: unknown service 'nobody'",
        "routes.0.weighted_backends: the weights sum to 0",
        "routes.1.backend: unknown service 'noone'",
        "backends.2.name: 'huvo11a' is there twice",
    ):
        assert text in reported


def test_unknown_fields_that_are_not_misspelled_are_counted(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["config", "check", write_file(tmp_path, document())]) == 0
    assert "1 fields that nothing here knows" in capsys.readouterr().out


def test_a_configuration_is_shown_with_its_origin(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "show", "--json", write_file(tmp_path, document())]) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown["routes.0.timeout_ms"] == {"value": 6000, "from": "file"}
    assert shown["routes.1.timeout_ms"] == {"value": 30000.0, "from": "default"}
    assert shown["backends.0.engine.capacity"] == {"value": 48, "from": "file"}
    assert "backends.1.engine.capacity" not in shown


def test_the_schemas_have_types_units_and_required_keys(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "schema", "--kind", "settings"]) == 0
    settings = json.loads(capsys.readouterr().out)
    assert settings["required"] == ["node_id", "ip", "zone", "ephemeral_ports"]
    assert settings["properties"]["heartbeat_ms"] == {
        "type": "number", "minimum": 0, "description": "period of workers' heartbeats, in milliseconds",
        "default": 1000,
    }  # fmt: skip
    assert main(["config", "schema", "--kind", "configuration"]) == 0
    configuration = json.loads(capsys.readouterr().out)
    route = configuration["properties"]["routes"]["items"]
    assert route["required"] == ["hostname", "path_prefix", "route_type"]
    assert route["properties"]["timeout_ms"]["exclusiveMinimum"] == 0
    assert "streaming" in route["properties"]["route_type"]["enum"]
    assert route["properties"]["weighted_backends"]["items"]["required"] == ["backend"]


@pytest.mark.parametrize("content", ["{", "[]", '{"routes": 5}', "a=\\u1\n"])
def test_invalid_files_are_rejected_without_a_traceback(
    content: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["config", "check", write_file(tmp_path, content)]) == 2
    assert "Traceback" not in capsys.readouterr().err
