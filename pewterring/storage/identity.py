"""The name that a member of replicated groups has for as long as its data folder lasts."""

import re
import secrets
from pathlib import Path

import msgspec

from pewterring.storage.disk import Disk, FolderDisk
from pewterring.storage.errors import StorageError
from pewterring.storage.records import encode_record, read_record

IDENTITY_FILE = "identity"
TEMPORARY_FILE = "identity.new"
TAG_BYTES = 8  # of randomness in a drawn tag
_TAG = re.compile(r"[A-Za-z0-9_-]+")


class _Identity(msgspec.Struct, frozen=True):
    """The content of the file."""

    tag: str
    ip: str = ""  # of the machine that the folder was first used by; files of earlier versions have none


def member_name(data_dir: Path, ip: str, disk: Disk | None = None, tag: str | None = None) -> str:
    """The member's name, `IP#tag`. The tag is drawn and synced when the folder is used first.

    `tag` is the one to take instead of drawing, for first members whose names others must know. It does not
    change the tag of a folder that has one. `disk` stands for `data_dir` where it is given. An empty `ip`
    asks for the tag alone.

    Raises `StorageError` for a folder of another machine. Its votes and entries were given under that
    machine's name; under a new one they would count a second time.
    """
    disk = disk or FolderDisk(data_dir)
    if IDENTITY_FILE in disk.names():
        disk.sync_folder()  # the process before may have ended between the rename and that
        identity = _read(disk)
        if ip and identity.ip not in ("", ip):
            raise StorageError(f"{data_dir / IDENTITY_FILE} is of {identity.ip}; the settings say {ip}")
        return f"{ip}#{identity.tag}"
    chosen = tag or secrets.token_hex(TAG_BYTES)
    if _TAG.fullmatch(chosen) is None:
        raise ValueError(f"a tag consists of letters, digits, - and _; {chosen!r} does not")
    _write(disk, _Identity(chosen, ip))
    return f"{ip}#{chosen}"


def _read(disk: Disk) -> _Identity:
    record = read_record(disk.read(IDENTITY_FILE), 0)
    if record is None:
        raise StorageError(f"{IDENTITY_FILE} is damaged")
    try:
        return msgspec.json.decode(record.payload, type=_Identity)
    except msgspec.MsgspecError as error:
        raise StorageError(f"{IDENTITY_FILE} is damaged") from error


def _write(disk: Disk, identity: _Identity) -> None:
    file = disk.create(TEMPORARY_FILE)
    try:
        file.write(encode_record(msgspec.json.encode(identity) + b"\n"))
        file.sync()
    finally:
        file.close()
    disk.rename(TEMPORARY_FILE, IDENTITY_FILE)
    disk.sync_folder()
