"""The tier's deploy file: what its build and its runs call must come from the packages that it lists."""

import re
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent

# Programs by the Debian package that brings them; the shell's own words need none.
PROGRAMS_OF_PACKAGE = {"python3": {"python3", "compileall"}, "python3-pip": {"pip"}}
SHELL_WORDS = {"["}


def deploy_file() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def commands_of_build(build: str) -> set[str]:
    """The first word of each command of the build, and the module where that is an interpreter's."""
    commands = set()
    for command in re.split(r"&&|\|\||[()]", build):
        words = command.split()
        if not words:
            continue
        commands.add(words[0])
        if "-m" in words:
            commands.add(words[words.index("-m") + 1])
    return commands


def test_packages_bring_each_program_that_the_build_calls() -> None:
    deploy = deploy_file()
    brought = set().union(*(PROGRAMS_OF_PACKAGE[package] for package in deploy["packages"]))
    assert commands_of_build(deploy["build"]) - SHELL_WORDS == brought


def test_packages_bring_each_program_that_is_run() -> None:
    deploy = deploy_file()
    programs = {role["run"].split()[0] for role in deploy["roles"].values()}
    assert programs == {"python3"}
    assert "python3" in deploy["packages"]


def test_the_build_writes_below_target_alone_and_reads_pinned_requirements() -> None:
    build = deploy_file()["build"]
    assert "--target target/deps" in build
    requirements = (ROOT / "requirements-tier.txt").read_text().split()
    assert requirements
    assert all("==" in requirement for requirement in requirements)
