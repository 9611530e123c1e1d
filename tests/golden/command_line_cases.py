"""The command line: names of commands and options, exit statuses, and what commands print from given files.

This is the one place where commands are called, with the files of `surfaces/inputs`.
"""

import argparse
import contextlib
import io
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec

from pewterring.__main__ import main
from pewterring.cli import cluster, errors
from pewterring.cli.parser import COMMANDS, make_parser
from pewterring.consensus.membership import encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership
from pewterring.consensus.persistent import HardState
from pewterring.control.snapshot import Decommissioning
from pewterring.control.status import TierStatus
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name
from tests.golden.golden_files import DIRECTORY, sorted_lines

INPUTS = DIRECTORY / "inputs"
OPTIONS_FILE = "command-line-options.txt"
STATUSES_FILE = "exit-statuses.txt"
INPUTS_PLACEHOLDER = "INPUTS/"  # placeholder in printed text for the folder of the inputs
FOLDER_PLACEHOLDER = "DATA_DIR"  # placeholder in arguments for the data folder of a member
# The command whose output each golden file contains.
OUTPUTS: dict[str, tuple[str, ...]] = {
    "config-check-settings.txt": ("config", "check", "node.conf"),
    "config-check-configuration.txt": ("config", "check", "configuration.json"),
    "config-check-patch.txt": ("config", "check", "patch.json"),
    "config-check-gatekeeper.txt": ("config", "check", "gatekeeper.json"),
    "config-show-settings.json": ("config", "show", "--json", "node.conf"),
    "config-show-settings-defaults.json": ("config", "show", "--json", "least-node.conf"),
    "config-show-configuration.json": ("config", "show", "--json", "configuration.json"),
    "config-show-gatekeeper.json": ("config", "show", "--json", "gatekeeper.json"),
    "tally.json": ("tally", "--json", "tally.log"),
    "inspect-requests.txt": ("inspect", "requests", "requests.log"),
    "inspect-log.json": ("inspect", "log", "--json", FOLDER_PLACEHOLDER),
    "inspect-snapshot.json": ("inspect", "snapshot", "--json", FOLDER_PLACEHOLDER),
    "inspect-members.json": ("inspect", "members", "--json", FOLDER_PLACEHOLDER),
}
SCHEMAS: dict[str, tuple[str, ...]] = {
    "config-schema-settings.json": ("config", "schema", "--kind", "settings"),
    "config-schema-configuration.json": ("config", "schema", "--kind", "configuration"),
    "config-schema-gatekeeper.json": ("config", "schema", "--kind", "gatekeeper"),
}
PROSE = ("title", "description", "$comment")  # keys of a schema whose text is not compared
STATUS_JSON_FILE = "cluster-status.json"
STATUS_TABLE_FILE = "cluster-status.txt"
TIER_STATUS = TierStatus(
    version=9,
    nodes=(
        NodeRecord("edge-a-1", "gateway", "10.1.0.35", "a", "life-1"),
        NodeRecord("store-a-1", "store", "10.1.0.40", "a", "life-2", "10.1.0.40#tag", True),
    ),
    workers=(WorkerRecord("w1", "large", "10.1.0.50:8080", "a", 48, "ready", ("m",)),),
    placements=(PlacementRecord("batch-0", ("10.1.0.40#tag", "10.1.0.41#tag")),),
    decommissionings=(Decommissioning("store-a-1", "10.1.0.40#tag", True),),
)


def make_data_folder(folder: Path) -> None:
    """Makes a member's data folder with a snapshot of two entries and three entries after it."""
    disk = FolderDisk(folder)
    member_name(folder, "10.0.0.1", disk, tag="a")
    first = Membership(("10.0.0.1#a", "10.0.0.2#b"))
    second = Membership(("10.0.0.1#a", "10.0.0.2#b"), ("10.0.0.3#c",))
    commands = [
        Entry(number, 3, "command", msgspec.Raw(b'{"type":"AcceptJob","job":"j%d"}' % number))
        for number in range(1, 5)
    ]
    storage = DiskGroupStorage(disk, "batch-0")
    storage.load()
    storage.initialize(first)
    membership_entry = Entry(5, 3, ENTRY_MEMBERS, encode_membership(second))
    storage.save(HardState(3, "10.0.0.1#a"), None, [*commands, membership_entry])
    storage.save_snapshot(2, 3, first, b'{"jobs":[1,2]}')
    storage.close()


def printed(arguments: tuple[str, ...], folder: Path) -> str:
    """Returns the output of a successful command; names of input files in `arguments` become paths."""
    argv = [
        str(folder)
        if argument == FOLDER_PLACEHOLDER
        else str(INPUTS / argument)
        if (INPUTS / argument).is_file()
        else argument
        for argument in arguments
    ]
    with contextlib.redirect_stdout(io.StringIO()) as stdout:
        status = main(argv)
    assert status == 0, f"{arguments} ended with {status}"
    return stdout.getvalue().replace(f"{INPUTS}/", INPUTS_PLACEHOLDER)


def schema(name: str) -> str:
    """Returns a JSON Schema as `config schema` prints it, without its prose."""
    tree = json.loads(printed(SCHEMAS[name], Path()))
    return json.dumps(_without_prose(tree), indent=2) + "\n"


def _without_prose(value: Any) -> Any:
    if isinstance(value, list):
        return [_without_prose(inner) for inner in value]
    if not isinstance(value, dict):
        return value
    return {
        key: _without_prose(inner)
        for key, inner in value.items()
        if not (key in PROSE and isinstance(inner, str))
    }


def cluster_status(*options: str) -> str:
    """Returns the output of `cluster status` when control responds with `TIER_STATUS`."""
    response = (200, msgspec.json.encode(TIER_STATUS))
    with mock.patch.object(cluster, "_get", return_value=response):
        return printed(("cluster", "status", "--control", "127.0.0.1:1", *options), Path())


def _arguments(parser: argparse.ArgumentParser, path: str) -> Iterator[str]:
    """Yields the options and arguments of a command with their values, then those of its sub-commands."""
    for action in parser._actions:  # noqa: SLF001 - argparse has no public list of actions
        if isinstance(action.choices, dict):
            for name, inner in action.choices.items():
                yield f"{path} {name}"
                yield from _arguments(inner, f"{path} {name}")
            continue
        names = "/".join(sorted(action.option_strings)) or action.metavar or action.dest
        choices = f" one of {json.dumps(sorted(action.choices))}" if action.choices else ""
        values = "flag" if action.nargs == 0 else f"nargs={action.nargs or 1}"
        required = " required" if action.required else ""
        yield f"{path} {names} {values}{choices}{required}"


def options() -> str:
    """Returns all commands with their options."""
    parser = make_parser([command.name for command in COMMANDS])
    return sorted_lines(_arguments(parser, "pewterring"))


def statuses() -> str:
    """Returns the exit statuses with their meanings."""
    statuses_by_meaning = {
        "done": errors.DONE,
        "failed": errors.FAILED,
        "usage error": errors.USAGE_ERROR,
        "rule broken": errors.RULE_BROKEN,
        "interrupted": errors.INTERRUPTED,
    }
    return sorted_lines(f"{status} {meaning}" for meaning, status in statuses_by_meaning.items())
