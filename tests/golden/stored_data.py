"""Data folders of control and of a store, and what must be found in them.

Each folder in `data/folders` was written by the function of the same name here. The folders named `earlier`
have the shapes of earlier versions that are still read: heads of segments and snapshots without a format, an
identity without an address, and snapshots without the fields that were added since.
"""

import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from pewterring.batch.commands import encode_command as encode_batch_command
from pewterring.batch.state import BatchState
from pewterring.consensus.membership import encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership
from pewterring.consensus.persistent import HardState
from pewterring.control.commands import encode_command
from pewterring.control.member_storage import GROUP, open_member_storage
from pewterring.control.placement import FIRST_GROUP
from pewterring.control.state import ControlState
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name
from pewterring.storage.records import encode_record, read_record
from tests.golden import batch_commands, control_commands
from tests.golden.records import MEMBERS, STORES
from tests.golden.rows import DATA
from tests.golden.state_snapshots import NOW_S
from tests.node_settings import addresses, node_settings

FOLDERS = DATA / "folders"
SEGMENT_BYTES = 1500  # small, so that a short log has several segments
STORE_IP, STORE_TAG = "10.0.1.1", "a1"

FIRST_CONTROLS = Membership(voters=MEMBERS)
CONTROLS = Membership(voters=MEMBERS, learners=("10.0.0.4#d4",))
FIRST_STORES = Membership(voters=STORES)
MORE_STORES = Membership(voters=STORES, learners=("10.0.1.4#d4",))
CONTROL_SETTINGS = node_settings(
    "control", "10.0.0.1", seeds=addresses(("10.0.0.1", "10.0.0.2", "10.0.0.3"), 7000), bootstrap=True
)

# An entry of term 1 that is overwritten by one of term 2.
OVERWRITTEN = Entry(index=2, term=1, kind="empty")


def control_entries() -> list[Entry]:
    """The log of control: an empty entry, a change of members, then each command."""
    return _log(CONTROLS, [encode_command(command) for _, command in control_commands.COMMANDS])


def batch_entries() -> list[Entry]:
    """The log of the batch partition: an empty entry, a change of members, then each command."""
    commands = [encode_batch_command(command) for _, command in batch_commands.COMMANDS]
    return _log(MORE_STORES, commands)


def _log(membership: Membership, commands: list[bytes]) -> list[Entry]:
    entries = [
        Entry(index=1, term=1, kind="empty"),
        Entry(index=2, term=2, kind=ENTRY_MEMBERS, data=encode_membership(membership)),
    ]
    for index, data in enumerate(commands, start=3):
        entries.append(Entry(index=index, term=2, kind="command", data=msgspec.Raw(data)))
    return entries


@contextmanager
def opened(folder: Path, group: str) -> Iterator[DiskGroupStorage]:
    """The group's storage, loaded."""
    storage = DiskGroupStorage(FolderDisk(folder), group, SEGMENT_BYTES)
    storage.load()
    try:
        yield storage
    finally:
        storage.close()


def _save_log(storage: DiskGroupStorage, member: str, entries: list[Entry]) -> None:
    """Saves the log with an entry that is overwritten, a vote, and a later term without a vote."""
    storage.save(HardState(1, member), None, [entries[0], OVERWRITTEN])
    storage.save(HardState(2, None), 2, entries[1:3])
    for entry in entries[3:]:
        storage.save(None, None, [entry])
    storage.save(HardState(3, member), None, ())


# Folders of control


def write_control_log(folder: Path) -> None:
    """A first member of control: its identity, the first voters, and a log of several segments."""
    member, storage = open_member_storage(CONTROL_SETTINGS, folder)
    storage.close()
    with opened(folder, GROUP) as storage:
        _save_log(storage, member, control_entries())


def write_control_snapshot(folder: Path) -> None:
    """The same with a snapshot of all but the last two entries, which the log holds."""
    write_control_log(folder)
    entries = control_entries()
    kept = entries[:-2]
    with opened(folder, GROUP) as storage:
        storage.save_snapshot(kept[-1].index, kept[-1].term, CONTROLS, control_state(kept).snapshot())


def write_control_earlier(folder: Path) -> None:
    """The folder with a snapshot as earlier versions wrote it."""
    write_control_snapshot(folder)
    _write_as_earlier(folder, state_field="forgotten")


def control_state(entries: list[Entry]) -> ControlState:
    """The state of control after the entries."""
    state = ControlState()
    for entry in entries:
        if entry.kind == "command":
            state.apply(entry.index, bytes(entry.data))
    return state


# Folders of a store


def write_store_log(folder: Path) -> None:
    """A first member of a batch partition: its identity, the first voters, and a log."""
    member = member_name(folder, STORE_IP, tag=STORE_TAG)
    with opened(folder, FIRST_GROUP) as storage:
        storage.initialize(FIRST_STORES)
        _save_log(storage, member, batch_entries())


def write_store_snapshot(folder: Path) -> None:
    """The same with a snapshot of all but the last entry, which the log holds."""
    write_store_log(folder)
    kept = batch_entries()[:-1]
    with opened(folder, FIRST_GROUP) as storage:
        storage.save_snapshot(kept[-1].index, kept[-1].term, MORE_STORES, batch_state(kept).snapshot())


def write_store_earlier(folder: Path) -> None:
    """The folder with a snapshot as earlier versions wrote it."""
    write_store_snapshot(folder)
    _write_as_earlier(folder, state_field="failed_attempts")


def batch_state(entries: list[Entry]) -> BatchState:
    """The state of the batch partition after the entries."""
    state = BatchState(lambda: NOW_S)
    for entry in entries:
        if entry.kind == "command":
            state.apply(entry.index, bytes(entry.data))
    return state


WRITERS: dict[str, Callable[[Path], None]] = {
    "control-log": write_control_log,
    "control-snapshot": write_control_snapshot,
    "control-earlier": write_control_earlier,
    "store-log": write_store_log,
    "store-snapshot": write_store_snapshot,
    "store-earlier": write_store_earlier,
}

# The folders that the program writes today. Others are only read: after a change of the format on purpose,
# the folders of the format before stay where they are and leave this list.
CURRENT = ("control-log", "control-snapshot", "store-log", "store-snapshot")


def add_folder(name: str) -> bool:
    """Writes a golden folder, unless there is one of that name; says whether it did."""
    if (FOLDERS / name).exists():
        return False
    WRITERS[name](FOLDERS / name)
    return True


def contents(folder: Path) -> dict[str, bytes]:
    """The files of a folder by name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


# Shapes of earlier versions


def _write_as_earlier(folder: Path, state_field: str) -> None:
    """Rewrites the files without the fields that earlier versions did not know."""
    for path in sorted(folder.iterdir()):
        if path.suffix == ".snapshot":
            path.write_bytes(_earlier_snapshot(path.read_bytes(), state_field))
        elif path.name == "identity":
            path.write_bytes(_without_field(path.read_bytes(), "ip"))
        else:
            path.write_bytes(_without_field(path.read_bytes(), "format"))


def _without_field(data: bytes, field: str) -> bytes:
    """The records of a file, each without the field."""
    written, offset = b"", 0
    while (record := read_record(data, offset)) is not None:
        content = msgspec.json.decode(record.payload)
        content.pop(field, None)
        written += encode_record(msgspec.json.encode(content) + b"\n", record.batch, record.is_last)
        offset = record.end
    assert offset == len(data)
    return written


def _earlier_snapshot(data: bytes, state_field: str) -> bytes:
    """A snapshot whose header has no format, and whose state has not the field, at any depth."""
    record = read_record(data, 0)
    assert record is not None
    header = msgspec.json.decode(record.payload)
    del header["format"]
    state = data[record.end :]
    if state:
        content = msgspec.json.decode(state)
        for part in (content, *content.get("jobs", ())):
            part.pop(state_field, None)
        state = msgspec.json.encode(content)
    header["size"], header["checksum"] = len(state), zlib.crc32(state)
    return encode_record(msgspec.json.encode(header) + b"\n") + state
