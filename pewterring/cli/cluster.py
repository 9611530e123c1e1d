"""`pewterring cluster`: shows the status of a running tier, and sends it configurations and patches."""

import argparse
import json
import urllib.error
import urllib.request
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import orjson

from pewterring.cli import recover
from pewterring.cli.errors import CommandError, UsageError
from pewterring.cli.parser import add_subcommands
from pewterring.configuration.patch import is_patch
from pewterring.configuration.validation import document_errors
from pewterring.control.calls import READ_PATH, REPLACE_PATH, STATUS_PATH, UPDATE_PATH
from pewterring.control.status import TierStatus
from pewterring.node.address import parse_address
from pewterring.node.errors import SettingsError

REQUEST_TIMEOUT_S = 3.0
NOT_FOUND = 404


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the sub-commands of `cluster` to its parser."""
    commands = add_subcommands(parser)
    about = "show the committed configuration, processes, workers and batch partitions"
    status = commands.add_parser("status", help=about, description=about)
    _add_control(status)
    status.add_argument("--json", action="store_true", help="print JSON instead of a table")
    status.set_defaults(run=_status)
    about = "send a complete configuration, or a patch of named items, based on the current version"
    configure = commands.add_parser("configure", help=about, description=about)
    configure.add_argument("file", metavar="FILE", help="JSON file with the configuration or patch")
    configure.add_argument(
        "--base-version",
        type=int,
        required=True,
        metavar="N",
        help="the version it is based on; 0 if there is none yet",
    )
    _add_control(configure)
    configure.set_defaults(run=_configure)
    about = "continue with one control machine after a majority of them has lost its disks"
    recover.configure(commands.add_parser("recover", help=about, description=about))


def _add_control(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--control", required=True, metavar="IP:PORT", help="listen_addrs.control of any control machine"
    )
    parser.add_argument(
        "--timeout-s", type=float, default=REQUEST_TIMEOUT_S, metavar="S", help="seconds to wait"
    )


def _control_address(arguments: argparse.Namespace) -> str:
    try:
        return str(parse_address("--control", arguments.control))
    except SettingsError as error:
        raise UsageError(str(error)) from error


def _configure(arguments: argparse.Namespace) -> None:
    """Sends the file once. After an unclear response the command may be repeated, on any control machine."""
    try:
        body = Path(arguments.file).read_bytes()
    except OSError as error:
        raise UsageError(f"{arguments.file}: {error.strerror}") from error
    for problem in document_errors(body):
        raise UsageError(f"{arguments.file}: {problem}")
    path = UPDATE_PATH if is_patch(orjson.loads(body)) else REPLACE_PATH
    headers = {"Base-Version": str(arguments.base_version), "Content-Type": "application/json"}
    request = urllib.request.Request(f"http://{_control_address(arguments)}{path}", body, headers)
    code, response = _send(request, arguments.timeout_s)
    if code != 200:
        raise CommandError(
            f"{arguments.control} responded with status {code}: {response.decode('utf-8', 'replace')}"
        )
    print("taken")


def _status(arguments: argparse.Namespace) -> None:
    address = _control_address(arguments)
    code, body = _get(address, STATUS_PATH, arguments.timeout_s)
    if code == NOT_FOUND:  # this control machine runs an earlier version
        print(_configuration_summary(address, arguments.timeout_s))
        return
    if code != 200:
        raise CommandError(f"{address} responded with status {code}: {body.decode('utf-8', 'replace')}")
    try:
        status = msgspec.json.decode(body, type=TierStatus)
    except msgspec.DecodeError as error:
        raise CommandError(f"{address} sent an invalid status: {error}") from error
    print(json.dumps(msgspec.to_builtins(status)) if arguments.json else "\n".join(status_lines(status)))


def status_lines(status: TierStatus) -> list[str]:
    """Returns the status as lines of text."""
    lines = [f"configuration  version {status.version}" if status.version else "configuration  none yet"]
    programs = Counter(node.program for node in status.nodes)
    counts_text = ", ".join(f"{count} {name}" for name, count in sorted(programs.items()))
    lines.append(f"processes      {counts_text or 'none'}")
    for node in sorted(status.nodes, key=lambda node: (node.program, node.node_id)):
        retiring = "  retiring" if node.decommissioning else ""
        lines.append(f"  {node.program:<9}{node.node_id:<28}{node.ip:<16}{node.zone}{retiring}")
    lines.append(f"workers        {len(status.workers)}")
    for worker in sorted(status.workers, key=lambda worker: (worker.service, worker.id)):
        slots = f"{worker.capacity} slots"
        lines.append(f"  {worker.service:<16}{worker.id:<20}{worker.address:<22}{worker.state:<10}{slots}")
    lines.append(f"partitions     {len(status.placements)}")
    lines += [
        f"  {placement.group:<16}first voters {', '.join(placement.voters)}"
        for placement in status.placements
    ]
    for retirement in status.decommissionings:
        lines.append(f"retirement     {retirement.node_id}: {'ended' if retirement.ended else 'running'}")
    return lines


def _configuration_summary(address: str, timeout_s: float) -> str:
    code, body = _get(address, READ_PATH, timeout_s)
    if code == NOT_FOUND:
        return "configuration  none yet"
    if code != 200:
        raise CommandError(f"{address} responded with status {code}")
    document: Any = json.loads(body)
    return f"configuration  version {document.get('version')}; this control machine reports nothing else"


def _get(address: str, path: str, timeout_s: float) -> tuple[int, bytes]:
    return _send(urllib.request.Request(f"http://{address}{path}"), timeout_s)


def _send(request: urllib.request.Request, timeout_s: float) -> tuple[int, bytes]:
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError as error:
        raise CommandError(f"{request.host} does not answer: {error}") from error
