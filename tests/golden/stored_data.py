"""Golden data folders of control members and batch stores, and the logs and states expected in them.

Each folder in `data/folders` was written by the function that `WRITERS` lists for it. The folders named
`*-earlier` have formats of earlier versions that must still be readable: segment and snapshot headers without
a format number, an identity without an address, and snapshots without fields that were added later.
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
SEGMENT_BYTES = 1500  # small enough to split a short log into several segments
STORE_IP, STORE_TAG = "10.0.1.1", "a1"

INITIAL_CONTROL_MEMBERSHIP = Membership(voters=MEMBERS)
CHANGED_CONTROL_MEMBERSHIP = Membership(voters=MEMBERS, learners=("10.0.0.4#d4",))
INITIAL_STORE_MEMBERSHIP = Membership(voters=STORES)
CHANGED_STORE_MEMBERSHIP = Membership(voters=STORES, learners=("10.0.1.4#d4",))
CONTROL_SETTINGS = node_settings(
    "control", "10.0.0.1", seeds=addresses(("10.0.0.1", "10.0.0.2", "10.0.0.3"), 7000), bootstrap=True
)

# An entry of term 1 that is later overwritten by an entry of term 2.
OVERWRITTEN = Entry(index=2, term=1, kind="empty")


def control_entries() -> list[Entry]:
    """Returns the log of control: an empty entry, a membership change, then one entry for each command."""
    return _log(
        CHANGED_CONTROL_MEMBERSHIP, [encode_command(command) for _, command in control_commands.COMMANDS]
    )


def batch_entries() -> list[Entry]:
    """Returns the log of the batch partition, with the same kinds of entries as `control_entries`."""
    commands = [encode_batch_command(command) for _, command in batch_commands.COMMANDS]
    return _log(CHANGED_STORE_MEMBERSHIP, commands)


def _log(membership: Membership, commands: list[bytes]) -> list[Entry]:
    entries = [
        Entry(index=1, term=1, kind="empty"),
        Entry(index=2, term=2, kind=ENTRY_MEMBERS, data=encode_membership(membership)),
    ]
    for index, data in enumerate(commands, start=3):
        entries.append(Entry(index=index, term=2, kind="command", data=msgspec.Raw(data)))
    return entries


@contextmanager
def loaded_storage(folder: Path, group: str) -> Iterator[DiskGroupStorage]:
    """Provides the loaded storage of a group and closes it at the end."""
    storage = DiskGroupStorage(FolderDisk(folder), group, SEGMENT_BYTES)
    storage.load()
    try:
        yield storage
    finally:
        storage.close()


def _save_log(storage: DiskGroupStorage, member: str, entries: list[Entry]) -> None:
    """Saves the log with an overwritten entry, a term with a vote, a term without one, and a final vote."""
    storage.save(HardState(1, member), None, [entries[0], OVERWRITTEN])
    storage.save(HardState(2, None), 2, entries[1:3])
    for entry in entries[3:]:
        storage.save(None, None, [entry])
    storage.save(HardState(3, member), None, ())


# Data folders of control members


def write_control_log(folder: Path) -> None:
    """Writes the folder of an initial control member: identity, initial voters and a multi-segment log."""
    member, storage = open_member_storage(CONTROL_SETTINGS, folder)
    storage.close()
    with loaded_storage(folder, GROUP) as storage:
        _save_log(storage, member, control_entries())


def write_control_snapshot(folder: Path) -> None:
    """Writes the same folder with a snapshot of all entries except the last two, which remain in the log."""
    write_control_log(folder)
    entries = control_entries()
    covered_entries = entries[:-2]
    with loaded_storage(folder, GROUP) as storage:
        storage.save_snapshot(
            covered_entries[-1].index,
            covered_entries[-1].term,
            CHANGED_CONTROL_MEMBERSHIP,
            control_state(covered_entries).snapshot(),
        )


def write_control_earlier(folder: Path) -> None:
    """Writes the folder with a snapshot in the format of earlier versions."""
    write_control_snapshot(folder)
    _write_as_earlier(folder, state_field="forgotten")


def control_state(entries: list[Entry]) -> ControlState:
    """Returns the control state after applying the entries."""
    state = ControlState()
    for entry in entries:
        if entry.kind == "command":
            state.apply(entry.index, bytes(entry.data))
    return state


# Data folders of batch stores


def write_store_log(folder: Path) -> None:
    """Writes the folder of an initial member of a batch partition: identity, initial voters and a log."""
    member = member_name(folder, STORE_IP, tag=STORE_TAG)
    with loaded_storage(folder, FIRST_GROUP) as storage:
        storage.initialize(INITIAL_STORE_MEMBERSHIP)
        _save_log(storage, member, batch_entries())


def write_store_snapshot(folder: Path) -> None:
    """Writes the same folder with a snapshot of all entries except the last, which remains in the log."""
    write_store_log(folder)
    covered_entries = batch_entries()[:-1]
    with loaded_storage(folder, FIRST_GROUP) as storage:
        storage.save_snapshot(
            covered_entries[-1].index,
            covered_entries[-1].term,
            CHANGED_STORE_MEMBERSHIP,
            batch_state(covered_entries).snapshot(),
        )


def write_store_earlier(folder: Path) -> None:
    """Writes the folder with a snapshot in the format of earlier versions."""
    write_store_snapshot(folder)
    _write_as_earlier(folder, state_field="failed_attempts")


def batch_state(entries: list[Entry]) -> BatchState:
    """Returns the state of the batch partition after applying the entries."""
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

# Folders in the current format. The others are only read: after an intended change of the format, folders in
# the previous format are kept and removed from this list.
CURRENT = ("control-log", "control-snapshot", "store-log", "store-snapshot")


def add_folder(name: str) -> bool:
    """Writes a golden folder unless it exists; returns whether it was written."""
    if (FOLDERS / name).exists():
        return False
    WRITERS[name](FOLDERS / name)
    return True


def contents(folder: Path) -> dict[str, bytes]:
    """Returns the content of each file in a folder by file name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


# Formats of earlier versions


def _write_as_earlier(folder: Path, state_field: str) -> None:
    """Rewrites the files without the fields that earlier versions did not have."""
    for path in sorted(folder.iterdir()):
        if path.suffix == ".snapshot":
            path.write_bytes(_earlier_snapshot(path.read_bytes(), state_field))
        elif path.name == "identity":
            path.write_bytes(_without_field(path.read_bytes(), "ip"))
        else:
            path.write_bytes(_without_field(path.read_bytes(), "format"))


def _without_field(data: bytes, field: str) -> bytes:
    """Returns the content of a file with `field` removed from each record."""
    written, offset = b"", 0
    while (record := read_record(data, offset)) is not None:
        content = msgspec.json.decode(record.payload)
        content.pop(field, None)
        written += encode_record(msgspec.json.encode(content) + b"\n", record.batch, record.is_last)
        offset = record.end
    assert offset == len(data)
    return written


def _earlier_snapshot(data: bytes, state_field: str) -> bytes:
    """Returns a snapshot file without the header's format and without `state_field` in state and jobs."""
    record = read_record(data, 0)
    assert record is not None
    header = msgspec.json.decode(record.payload)
    del header["format"]
    state = data[record.end :]
    if state:
        content = msgspec.json.decode(state)
        for content_object in (content, *content.get("jobs", ())):
            content_object.pop(state_field, None)
        state = msgspec.json.encode(content)
    header["size"], header["checksum"] = len(state), zlib.crc32(state)
    return encode_record(msgspec.json.encode(header) + b"\n") + state
