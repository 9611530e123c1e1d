"""The name that a member of replicated groups has for as long as its data folder lasts.

A member is `IP#tag`. The tag is drawn when a data folder is used first, so a member whose disk was replaced
has another name and the votes and entries of its former disk do not count for it.
"""

import re
import secrets
from pathlib import Path

import msgspec

from pewterring.storage.disk import Disk, FolderDisk
from pewterring.storage.durable_files import rename_durably, write_synced
from pewterring.storage.errors import CorruptIdentityError, ForeignIdentityError, InvalidNameError
from pewterring.storage.records import encode_record, read_record

IDENTITY_FILE = "identity"
TEMPORARY_FILE = "identity.new"
TAG_BYTES = 8  # of randomness in a drawn tag: no two folders of a cluster ever draw the same
_TAG_PATTERN = re.compile(r"[A-Za-z0-9_-]+")


class _Identity(msgspec.Struct, frozen=True):
    """The content of the file."""

    tag: str
    ip: str = ""  # of the machine that the folder was first used by; files of earlier versions have none


def member_name(data_dir: Path, ip: str, disk: Disk | None = None, tag: str | None = None) -> str:
    """The member's name, `IP#tag`. The tag is drawn and synced when the folder is used first.

    Args:
        data_dir: the member's folder; made where it is missing.
        ip: of this machine; empty to ask for the tag alone.
        disk: stands for `data_dir` where it is given.
        tag: taken instead of drawing, for first members whose names others must know. It does not change the
            tag of a folder that has one.

    Raises:
        ForeignIdentityError: the folder is of another machine. Its votes and entries were given under that
            machine's name; under a new one they would count a second time.
        CorruptIdentityError: the file is damaged.
        InvalidNameError: `tag` cannot be part of a name.
        StorageFullError: there is no free disk space; the call may be repeated.
        StorageFailedError: the disk failed.
    """
    disk = disk or FolderDisk(data_dir)
    if IDENTITY_FILE in disk.names():
        identity = _read(disk, data_dir / IDENTITY_FILE)
        if ip and identity.ip not in ("", ip):
            raise ForeignIdentityError(str(data_dir / IDENTITY_FILE), identity.ip, ip)
    else:
        identity = _Identity(_valid_tag(tag or secrets.token_hex(TAG_BYTES)), ip)
        _write(disk, identity)
    return f"{ip}#{identity.tag}"


def _valid_tag(tag: str) -> str:
    if _TAG_PATTERN.fullmatch(tag) is None:
        raise InvalidNameError(f"a tag consists of letters, digits, - and _; {tag!r} does not")
    return tag


def _read(disk: Disk, path: Path) -> _Identity:
    disk.sync_folder()  # the process before may have ended between the rename and that
    record = read_record(disk.read(IDENTITY_FILE), 0)
    if record is None:
        raise CorruptIdentityError(str(path))
    try:
        return msgspec.json.decode(record.payload, type=_Identity)
    except msgspec.MsgspecError as error:
        raise CorruptIdentityError(str(path)) from error


def _write(disk: Disk, identity: _Identity) -> None:
    write_synced(disk, TEMPORARY_FILE, [encode_record(msgspec.json.encode(identity) + b"\n")])
    rename_durably(disk, TEMPORARY_FILE, IDENTITY_FILE)
