"""The command line: help, exit statuses, one-line errors."""

import subprocess
from pathlib import Path

import pytest

from pewterring import __version__
from pewterring.__main__ import main
from pewterring.cli.parser import COMMANDS


@pytest.mark.parametrize("name", [command.name for command in COMMANDS])
def test_each_command_has_help_that_names_the_statuses(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main([name, "--help"]) == 0
    help_text = capsys.readouterr().out
    assert help_text.startswith(f"usage: pewterring {name}")
    assert "exit status:" in help_text


@pytest.mark.parametrize(
    ("arguments", "message"),
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
def test_wrong_arguments_print_one_line_and_exit_with_2(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == 2
    stderr = capsys.readouterr().err
    assert message in stderr
    assert stderr.count("\n") == 1
    assert stderr.startswith("pewterring: ")


@pytest.mark.parametrize("arguments", [[], ["config"], ["inspect"], ["lab"]])
def test_a_missing_command_prints_the_help(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(arguments) == 2
    assert "Commands:" in capsys.readouterr().err


@pytest.mark.parametrize("arguments", [["version"], ["--version"], ["-V"]])
def test_the_version_is_printed(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(arguments) == 0
    assert capsys.readouterr().out == f"pewterring {__version__}\n"


def test_no_response_exits_with_1(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["cluster", "status", "--control", "127.0.0.1:1"]) == 1
    assert "does not answer" in capsys.readouterr().err


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_offers_commands_and_options(shell: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["completion", shell]) == 0
    script = capsys.readouterr().out
    assert "gateway" in script
    assert "snapshot" in script
    assert "settings" in script


def test_the_bash_script_completes_a_command(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["completion", "bash"]) == 0
    script = tmp_path / "completion.bash"
    script.write_text(capsys.readouterr().out)
    completion_script = (
        'COMP_WORDS=(pewterring inspect s); COMP_CWORD=2; _PEWTERRING_COMPLETE; echo "${COMPREPLY[@]}"'
    )
    completed = subprocess.run(
        ["bash", "-c", f"source {script}; {completion_script}"], check=True, capture_output=True, text=True
    )
    assert completed.stdout.split() == ["snapshot"]
