"""`pewterring cluster`: asks a running tier how it is, and sends it configurations and patches."""

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

TIMEOUT_S = 3.0
NOT_FOUND = 404


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the commands to the parser."""
    commands = add_subcommands(parser)
    about = "configuration, processes, workers and batch partitions, as the control group has them committed"
    status = commands.add_parser("status", help=about, description=about)
    _add_control(status)
    status.add_argument("--json", action="store_true", help="print JSON instead of a table")
    status.set_defaults(run=_status)
    about = "sends a whole configuration, or a patch of named items, on top of the version that is in force"
    configure = commands.add_parser("configure", help=about, description=about)
    configure.add_argument("file", metavar="FILE", help="JSON as operators send it")
    configure.add_argument(
        "--base-version", type=int, required=True, metavar="N", help="the version it builds on; 0: the first"
    )
    _add_control(configure)
    configure.set_defaults(run=_configure)
    about = "has one control machine go on alone after a majority of them has lost its disks"
    recover.configure(commands.add_parser("recover", help=about, description=about))


def _add_control(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--control", required=True, metavar="IP:PORT", help="listen_addrs.control of any control machine"
    )
    parser.add_argument("--timeout-s", type=float, default=TIMEOUT_S, metavar="S", help="seconds to wait")


def _address(given: argparse.Namespace) -> str:
    try:
        return str(parse_address("--control", given.control))
    except SettingsError as error:
        raise UsageError(str(error)) from error


def _configure(given: argparse.Namespace) -> None:
    """Sends an order once: after no clear answer the same command may be given again, to any machine."""
    try:
        body = Path(given.file).read_bytes()
    except OSError as error:
        raise UsageError(f"{given.file}: {error.strerror}") from error
    for problem in document_errors(body):
        raise UsageError(f"{given.file}: {problem}")
    path = UPDATE_PATH if is_patch(orjson.loads(body)) else REPLACE_PATH
    headers = {"Base-Version": str(given.base_version), "Content-Type": "application/json"}
    order = urllib.request.Request(f"http://{_address(given)}{path}", body, headers)
    code, answer = _send(order, given.timeout_s)
    if code != 200:
        raise CommandError(f"{given.control} answered {code}: {answer.decode('utf-8', 'replace')}")
    print("taken")


def _status(given: argparse.Namespace) -> None:
    address = _address(given)
    code, body = _get(address, STATUS_PATH, given.timeout_s)
    if code == NOT_FOUND:  # a control of an earlier version
        print(_configuration_line(address, given.timeout_s))
        return
    if code != 200:
        raise CommandError(f"{address} answered {code}: {body.decode('utf-8', 'replace')}")
    try:
        status = msgspec.json.decode(body, type=TierStatus)
    except msgspec.DecodeError as error:
        raise CommandError(f"{address} answered what is no status: {error}") from error
    print(json.dumps(msgspec.to_builtins(status)) if given.json else "\n".join(table(status)))


def table(status: TierStatus) -> list[str]:
    """The lines that are printed."""
    lines = [f"configuration  version {status.version}" if status.version else "configuration  none yet"]
    programs = Counter(node.program for node in status.nodes)
    counted = ", ".join(f"{count} {name}" for name, count in sorted(programs.items()))
    lines.append(f"processes      {counted or 'none'}")
    for node in sorted(status.nodes, key=lambda node: (node.program, node.node_id)):
        retiring = "  retiring" if node.decommissioning else ""
        lines.append(f"  {node.program:<9}{node.node_id:<28}{node.ip:<16}{node.zone}{retiring}")
    lines.append(f"workers        {len(status.workers)}")
    for worker in sorted(status.workers, key=lambda worker: (worker.service, worker.id)):
        slots = f"{worker.capacity} slots"
        lines.append(f"  {worker.service:<16}{worker.id:<20}{worker.address:<22}{worker.state:<10}{slots}")
    lines.append(f"partitions     {len(status.placements)}")
    lines += [f"  {place.group:<16}first voters {', '.join(place.voters)}" for place in status.placements]
    for retirement in status.decommissionings:
        lines.append(f"retirement     {retirement.node_id}: {'ended' if retirement.ended else 'running'}")
    return lines


def _configuration_line(address: str, timeout_s: float) -> str:
    code, body = _get(address, READ_PATH, timeout_s)
    if code == NOT_FOUND:
        return "configuration  none yet"
    if code != 200:
        raise CommandError(f"{address} answered {code}")
    document: Any = json.loads(body)
    return f"configuration  version {document.get('version')}; this control tells no more"


def _get(address: str, path: str, timeout_s: float) -> tuple[int, bytes]:
    return _send(urllib.request.Request(f"http://{address}{path}"), timeout_s)


def _send(request: urllib.request.Request, timeout_s: float) -> tuple[int, bytes]:
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError as error:
        raise CommandError(f"{request.host} does not answer: {error}") from error
