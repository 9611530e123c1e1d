"""The persistent name of a member of Raft groups, stored in its data folder.

The name is `IP#tag`. The tag is generated when a data folder is first used, so a member whose disk was
replaced gets a new name, and the votes and acknowledgements given with the former disk do not count for it.
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
TAG_BYTES = 8  # random bytes of a generated tag: enough that no two folders of a cluster get the same
_TAG_PATTERN = re.compile(r"[A-Za-z0-9_-]+")


class _Identity(msgspec.Struct, frozen=True):
    """The content of the identity file."""

    tag: str
    ip: str = ""  # address of the machine that created the file; empty in files of earlier versions


def member_name(data_dir: Path, ip: str, disk: Disk | None = None, tag: str | None = None) -> str:
    """Returns the member's name, `IP#tag`. The tag is generated and synced when the folder is first used.

    Args:
        data_dir: the member's folder; created if it does not exist.
        ip: the address of this machine; if it is empty, the address is not checked and the name is `#tag`.
        disk: used instead of the folder `data_dir` if given.
        tag: used instead of a generated tag, for initial members whose names other members must know in
            advance. Ignored if the folder already has a tag.

    Raises:
        ForeignIdentityError: the folder belongs to another machine. Its votes and acknowledgements were given
            under that machine's name and would count a second time under a new name.
        CorruptIdentityError: the identity file is damaged.
        InvalidNameError: `tag` has characters that are not allowed in a name.
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
    disk.sync_folder()  # the previous process may have ended between the rename and the folder sync
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
