"""`pewterring config` on a gatekeeper's file: unknown keys are reported, effective values are shown."""

from pathlib import Path
from typing import Any

import orjson
import pytest

from pewterring.__main__ import main
from pewterring.cli.config import json_schema

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "config.json"


def write_config(tmp_path: Path, **changes: Any) -> str:
    tree = orjson.loads(EXAMPLE.read_bytes()) | changes
    path = tmp_path / "c.json"
    path.write_bytes(orjson.dumps(tree))
    return str(path)


def test_the_example_is_valid(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "check", str(EXAMPLE)]) == 0
    assert "can be used" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"lisen": "127.0.0.1:1"}, "lisen: not known; did you mean listen?"),
        ({"limits": {"socket": 5}}, "limits.socket: not known; did you mean limits.sockets?"),
        ({"settings": {"me": 0, "fleet_size": 1, "policy_limits": {"max_attemts": 3}}},
         "settings.policy_limits.max_attemts: not known; did you mean policy_limits.max_attempts?"),
        ({"settings": {"me": 0}}, "fleet_size is missing"),
        ({"listen": "nowhere"}, "nowhere"),
    ],
)  # fmt: skip
def test_misspelled_keys_are_reported_with_a_suggestion(
    changes: dict[str, Any], message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["config", "check", write_config(tmp_path, **changes)]) == 2
    assert message in capsys.readouterr().err


def test_settings_of_other_programs_are_not_reported_as_misspelled(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = orjson.loads(EXAMPLE.read_bytes())["settings"] | {"goal": {"whole": 0.6}, "tier": 0}
    assert main(["config", "check", write_config(tmp_path, settings=settings)]) == 0
    assert "no use for" in capsys.readouterr().out


def test_effective_values_are_shown_with_their_origin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("ROUTER_LISTEN", "127.0.0.1:7")
    path = write_config(tmp_path, listen="", limits={})
    assert main(["config", "show", path, "--json"]) == 0
    shown = orjson.loads(capsys.readouterr().out)
    assert shown["listen"] == {"value": "127.0.0.1:7", "from": "ROUTER_LISTEN"}
    assert shown["limits.sockets"] == {"value": 1024, "from": "default"}
    assert shown["settings.profiles.1.effect"] == {"value": "token", "from": "file"}
    assert shown["settings.guarantees.cold"]["value"] == "17 s"
    assert main(["config", "show", path]) == 0
    assert "settings.fleet_size" in capsys.readouterr().out


def test_the_schema_covers_what_the_reader_reads(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "schema"]) == 0
    tree = orjson.loads(capsys.readouterr().out)
    assert tree == json_schema()
    settings = tree["properties"]["settings"]
    assert settings["required"] == ["me", "fleet_size"]
    profile = settings["properties"]["profiles"]["items"]
    assert profile["properties"]["effect"]["enum"] == ["pure", "token", "side_effect"]
    assert {"name", "objective", "deadline", "effect"} <= set(profile["required"])
