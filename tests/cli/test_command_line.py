"""The command line: help, exit statuses, errors of one line."""

import subprocess
from pathlib import Path

import pytest

from pewterring import __version__
from pewterring.__main__ import main
from pewterring.cli.parser import COMMANDS


@pytest.mark.parametrize("name", [command.name for command in COMMANDS])
def test_each_command_has_help_that_names_the_statuses(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main([name, "--help"]) == 0
    said = capsys.readouterr().out
    assert said.startswith(f"usage: pewterring {name}")
    assert "exit status:" in said


@pytest.mark.parametrize(
    ("given", "said"),
    [
        (["gatewy"], "invalid choice: 'gatewy'"),
        (["gateway", "--setings", "x"], "unrecognized arguments: --setings"),
        (["inspect", "log"], "DATA_DIR"),
        (["inspect", "log", "/no/such/folder"], "no such folder"),
        (["cluster", "status", "--control", "nowhere"], "--control is not an address"),
        (["local", "--network", "10.0.0"], "not a network of loopback addresses"),
        (["config", "check", "--kind", "configuration", "/no/such"], "no such file"),
        (["tally", "/no/such/log"], "no such file or folder"),
    ],
)
def test_wrong_arguments_are_one_line_and_exit_2(
    given: list[str], said: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(given) == 2
    err = capsys.readouterr().err
    assert said in err
    assert err.count("\n") == 1
    assert err.startswith("pewterring: ")


@pytest.mark.parametrize("given", [[], ["config"], ["inspect"], ["lab"]])
def test_a_missing_command_prints_the_help(given: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(given) == 2
    assert "Commands:" in capsys.readouterr().err


@pytest.mark.parametrize("given", [["version"], ["--version"], ["-V"]])
def test_the_version(given: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(given) == 0
    assert capsys.readouterr().out == f"pewterring {__version__}\n"


def test_nobody_answers_is_exit_1(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["cluster", "status", "--control", "127.0.0.1:1"]) == 1
    assert "does not answer" in capsys.readouterr().err


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_offers_commands_and_options(shell: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["completion", shell]) == 0
    script = capsys.readouterr().out
    assert "gateway" in script
    assert "snapshot" in script
    assert "settings" in script


def test_the_bash_script_completes(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["completion", "bash"]) == 0
    script = tmp_path / "completion.bash"
    script.write_text(capsys.readouterr().out)
    asked = 'COMP_WORDS=(pewterring inspect s); COMP_CWORD=2; _PEWTERRING_COMPLETE; echo "${COMPREPLY[@]}"'
    done = subprocess.run(
        ["bash", "-c", f"source {script}; {asked}"], check=True, capture_output=True, text=True
    )
    assert done.stdout.split() == ["snapshot"]
