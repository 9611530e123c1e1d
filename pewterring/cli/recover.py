"""`pewterring cluster recover`: continues with one control machine after a majority has lost its disks.

It changes the data folder of a stopped process. Without a confirmation, or if the group has or can form a
majority, it changes nothing and prints what it found.
"""

import argparse
import datetime
import http.client
from pathlib import Path

from pewterring.cli.errors import CommandError, UsageError
from pewterring.consensus.errors import RecoveryRefusedError, StorageError
from pewterring.consensus.membership import address_of
from pewterring.consensus.recovery import Survivor, plan_recovery
from pewterring.control.calls import STATUS_PATH
from pewterring.control.recovery import RecoveryRecord, confirmation_of, read_survivor, recover
from pewterring.node.errors import SettingsError
from pewterring.node.settings import NodeSettings, read_report
from pewterring.node.settings_file import read_text
from pewterring.storage.disk import FolderDisk
from pewterring.storage.identity import IDENTITY_FILE, member_name
from pewterring.storage.overlay import OverlayDisk

REQUEST_TIMEOUT_S = 3.0
OK = 200
WARNING = (
    "Data that only the lost machines had is lost. Start them with empty folders only: with their old disks\n"
    "they would form a second group. Nothing has been changed yet; to proceed, repeat the command with"
)


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of `recover` to its parser."""
    parser.add_argument("settings", type=Path, metavar="FILE", help="settings file of this control machine")
    parser.add_argument(
        "--confirm",
        default="",
        metavar="TEXT",
        help="the confirmation that the command prints without this option",
    )
    parser.add_argument(
        "--timeout-s",
        type=float,
        default=REQUEST_TIMEOUT_S,
        metavar="S",
        help="seconds to wait for each machine",
    )
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> None:
    settings = _load_settings(arguments.settings)
    assert settings.data_dir is not None
    try:
        member = _load_member(settings, settings.data_dir)
        survivor = read_survivor(OverlayDisk(settings.data_dir), member)
        plan_recovery(survivor)
        _check_no_majority(settings, survivor, arguments.timeout_s)
        if not arguments.confirm:
            raise UsageError(_findings_message(survivor))
        now = datetime.datetime.now(datetime.UTC)
        record = recover(FolderDisk(settings.data_dir), member, arguments.confirm, now)
    except RecoveryRefusedError as error:
        raise UsageError(str(error)) from error
    except StorageError as error:
        raise CommandError(str(error)) from error
    print(_success_message(record))


def _load_settings(file: Path) -> NodeSettings:
    try:
        return read_report(read_text(file), "control").settings
    except SettingsError as error:
        raise UsageError(f"{file}: {error}") from error


def _load_member(settings: NodeSettings, data_dir: Path) -> str:
    if not data_dir.is_dir():
        raise UsageError(f"{data_dir}: no such folder")
    disk = OverlayDisk(data_dir)
    if IDENTITY_FILE not in disk.names():
        raise UsageError(f"{data_dir}: no member of a control group in it")
    return member_name(data_dir, settings.ip, disk)


def _check_no_majority(settings: NodeSettings, survivor: Survivor, timeout_s: float) -> None:
    """Requests the tier status at the address of this machine, all other voters and all seed nodes.

    Raises:
        UsageError: A process runs at this address, a leader responds, or enough voters run to elect one.
    """
    assert settings.control is not None
    if _fetch_status(settings.control.ip, settings.control.port, timeout_s) is not None:
        raise UsageError(f"a process answers at {settings.control}: stop control here first")
    voters = {address_of(voter) for voter in survivor.other_voters}
    addresses = {seed.ip: seed.port for seed in settings.seeds} | dict.fromkeys(voters, settings.control.port)
    addresses.pop(settings.ip, None)
    statuses = {ip: _fetch_status(ip, port, timeout_s) for ip, port in sorted(addresses.items())}
    leading = [ip for ip, status in statuses.items() if status == OK]
    if leading:
        raise UsageError(f"{leading[0]} has a leader with a majority: start control here as usual")
    running = [ip for ip in sorted(voters) if statuses.get(ip) is not None]
    if len(running) + 1 >= survivor.majority:
        raise UsageError(
            f"{', '.join(running)} of the voters run; with this machine that is a majority: start it as usual"
        )


def _fetch_status(ip: str, port: int, timeout_s: float) -> int | None:
    """Returns the HTTP status of a control machine's response, or None without a response."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        connection.request("GET", STATUS_PATH)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def _findings_message(survivor: Survivor) -> str:
    return (
        f"{survivor.member} has the log up to entry {survivor.last_index} of term {survivor.last_term}.\n"
        f"Voters: {', '.join(survivor.membership.voters)}; too few others respond to form a majority.\n"
        f"{WARNING}\n  --confirm {confirmation_of(survivor)}"
    )


def _success_message(record: RecoveryRecord) -> str:
    return (
        f"{record.member} is the only voter from term {record.term} on. "
        "Start it, then the others with empty folders."
    )
