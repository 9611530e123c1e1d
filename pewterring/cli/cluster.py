"""`pewterring cluster`: asks a running tier how it is."""

import argparse
import json
import urllib.error
import urllib.request
from collections import Counter
from typing import Any

import msgspec

from pewterring.cli.errors import CommandError, UsageError
from pewterring.cli.parser import add_subcommands
from pewterring.control.calls import READ_PATH, STATUS_PATH
from pewterring.control.status import TierStatus
from pewterring.node.settings import SettingsError, parse_address

TIMEOUT_S = 3.0
NOT_FOUND = 404


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the commands to the parser."""
    commands = add_subcommands(parser)
    about = "configuration, processes, workers and batch partitions, as the control group has them committed"
    status = commands.add_parser("status", help=about, description=about)
    status.add_argument(
        "--control", required=True, metavar="IP:PORT", help="listen_addrs.control of any control machine"
    )
    status.add_argument("--timeout-s", type=float, default=TIMEOUT_S, metavar="S", help="seconds to wait")
    status.add_argument("--json", action="store_true", help="print JSON instead of a table")
    status.set_defaults(run=_status)


def _status(given: argparse.Namespace) -> None:
    try:
        address = str(parse_address("--control", given.control))
    except SettingsError as error:
        raise UsageError(str(error)) from error
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
        retiring = "  retiring" if node.retiring else ""
        lines.append(f"  {node.program:<9}{node.node_id:<28}{node.ip:<16}{node.zone}{retiring}")
    lines.append(f"workers        {len(status.workers)}")
    for worker in sorted(status.workers, key=lambda worker: (worker.service, worker.id)):
        slots = f"{worker.capacity} slots"
        lines.append(f"  {worker.service:<16}{worker.id:<20}{worker.address:<22}{worker.state:<10}{slots}")
    lines.append(f"partitions     {len(status.placements)}")
    lines += [f"  {place.group:<16}first voters {', '.join(place.voters)}" for place in status.placements]
    for retirement in status.retirements:
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
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=timeout_s) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError as error:
        raise CommandError(f"{address} does not answer: {error}") from error
