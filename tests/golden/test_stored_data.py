"""Golden data folders: earlier ones are still readable, and current ones are written byte for byte."""

import shutil
from collections.abc import Sequence
from pathlib import Path

import msgspec
import pytest

from pewterring.batch.state import BatchState, Job
from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import LoadedGroup, PersistentState
from pewterring.control.commands import OutcomeUnknown, PutConfiguration, encode_command
from pewterring.control.member_storage import GROUP, open_member_storage
from pewterring.control.placement import FIRST_GROUP
from pewterring.control.snapshot import Decommissioning
from pewterring.control.state import ControlState
from pewterring.distribution.messages import RegistrationState
from pewterring.storage.identity import member_name
from pewterring.storage.records import read_record
from tests.golden import state_snapshots
from tests.golden.batch_commands import ITEMS, RESULTS
from tests.golden.records import (
    DOCUMENT_DIGEST,
    GATEWAY_NODE,
    MEMBERS,
    PATCH_DIGEST,
    PATCHED,
    PLACEMENT,
    STORE_NODE,
    STORES,
    WORKER,
    digests,
    raw,
)
from tests.golden.rows import Row, check_complete, check_decoding, check_encoding, ids, tag_of
from tests.golden.state_snapshots import NOW_S
from tests.golden.stored_data import (
    CHANGED_CONTROL_MEMBERSHIP,
    CHANGED_STORE_MEMBERSHIP,
    CONTROL_SETTINGS,
    CURRENT,
    FOLDERS,
    INITIAL_CONTROL_MEMBERSHIP,
    INITIAL_STORE_MEMBERSHIP,
    STORE_IP,
    WRITERS,
    batch_entries,
    contents,
    control_entries,
    loaded_storage,
)
from tests.golden.tagged_types import STORAGE, tagged_types

# The index of the snapshot in each folder, 0 if there is none.
CONTROL_FOLDERS = {"control-log": 0, "control-snapshot": 15, "control-earlier": 15}
STORE_FOLDERS = {"store-log": 0, "store-snapshot": 8, "store-earlier": 8}


def copy_of(name: str, tmp_path: Path) -> Path:
    """Returns a copy of a golden folder that the test may change."""
    return Path(shutil.copytree(FOLDERS / name, tmp_path / name))


def check_loaded(
    loaded: LoadedGroup, first: Membership, changed: Membership, entries: Sequence[Entry]
) -> None:
    """Checks that the group has its term, vote and members, and all entries after its snapshot."""
    index = loaded.state.snapshot_index
    assert (loaded.snapshot is None) == (index == 0)
    assert loaded.state == PersistentState(
        term=3,
        vote=first.voters[0],
        snapshot_index=index,
        snapshot_term=2 if index else 0,
        snapshot_membership=changed if index else first,
        entries=list(entries[index:]),
    )


def apply_all(state: ControlState | BatchState, loaded: LoadedGroup) -> None:
    """Recovers the state as a member does: restores the snapshot, then applies the commands after it."""
    if loaded.snapshot is not None:
        state.restore(loaded.snapshot)
    for entry in loaded.state.entries:
        if entry.kind == "command":
            state.apply(entry.index, bytes(entry.data))


@pytest.mark.parametrize("name", CURRENT)
def test_the_same_operations_write_the_same_bytes(name: str, tmp_path: Path) -> None:
    WRITERS[name](tmp_path)
    assert contents(tmp_path) == contents(FOLDERS / name)


def test_each_folder_is_known() -> None:
    assert sorted(path.name for path in FOLDERS.iterdir()) == sorted(WRITERS)


@pytest.mark.parametrize(("name", "index"), CONTROL_FOLDERS.items())
def test_the_log_of_control(name: str, index: int, tmp_path: Path) -> None:
    with loaded_storage(copy_of(name, tmp_path), GROUP) as storage:
        loaded = storage.load()
    assert loaded.state.snapshot_index == index
    check_loaded(loaded, INITIAL_CONTROL_MEMBERSHIP, CHANGED_CONTROL_MEMBERSHIP, control_entries())
    assert contents(tmp_path / name) == contents(FOLDERS / name)


@pytest.mark.parametrize(("name", "index"), STORE_FOLDERS.items())
def test_the_log_of_a_store(name: str, index: int, tmp_path: Path) -> None:
    with loaded_storage(copy_of(name, tmp_path), FIRST_GROUP) as storage:
        loaded = storage.load()
    assert loaded.state.snapshot_index == index
    check_loaded(loaded, INITIAL_STORE_MEMBERSHIP, CHANGED_STORE_MEMBERSHIP, batch_entries())
    assert contents(tmp_path / name) == contents(FOLDERS / name)


@pytest.mark.parametrize("name", CONTROL_FOLDERS)
def test_the_state_of_control(name: str, tmp_path: Path) -> None:
    member, storage = open_member_storage(CONTROL_SETTINGS, copy_of(name, tmp_path))
    assert member == MEMBERS[0]
    state = ControlState()
    apply_all(state, storage.load())
    storage.close()
    assert (state.version, bytes(state.document)) == (8, PATCHED)
    assert state.has_accepted(7, DOCUMENT_DIGEST)
    assert state.has_accepted(8, PATCH_DIGEST)
    assert not state.has_accepted(9, DOCUMENT_DIGEST)
    assert state.workers == {"w-1": msgspec.structs.replace(WORKER, state=RegistrationState.UNRESPONSIVE)}
    assert list(state.departed) == ["w-2", "w-8"]
    assert state.nodes == {"store-1": STORE_NODE, "gateway-1": GATEWAY_NODE}
    assert state.stores == {"store-1": STORE_NODE}
    assert state.placements == {"batch-0": PLACEMENT}
    assert state.decommissionings == {
        "store-1": Decommissioning(node_id="store-1", member=STORES[0], ended=True),
        "store-2": Decommissioning(node_id="store-2", member=STORES[1]),
    }


@pytest.mark.parametrize("name", STORE_FOLDERS)
def test_the_state_of_a_batch_partition(name: str, tmp_path: Path) -> None:
    folder = copy_of(name, tmp_path)
    assert member_name(folder, STORE_IP) == STORES[0]
    state = BatchState(lambda: NOW_S)
    with loaded_storage(folder, FIRST_GROUP) as storage:
        apply_all(state, storage.load())
    failed_attempts = {} if name == "store-earlier" else {"b": 2}
    route = ("chat.example", "/batch/")
    assert list(state.jobs()) == [
        Job("job-1", route, NOW_S - 1.5, 3, {"b": ITEMS[1]}, list(RESULTS), False, failed_attempts),
        Job("job-2", route, NOW_S, 1, {}, [], True, {}),
    ]
    assert state.waiting_tokens(route) == ITEMS[1].tokens


def test_the_logs_hold_each_kind_of_record() -> None:
    found = {
        tag for name in ("control-log", "store-log") for path in _segments(name) for tag in _record_tags(path)
    }
    assert found == {tag_of(kind) for kind in tagged_types() if kind.__module__ == STORAGE}


def _segments(name: str) -> list[Path]:
    return sorted((FOLDERS / name).glob("*.log"))


def _record_tags(path: Path) -> list[str]:
    """Returns the type tags of the records of a segment in file order."""
    data, offset, tags = path.read_bytes(), 0, []
    while (record := read_record(data, offset)) is not None:
        tags.append(msgspec.json.decode(record.payload)["type"])
        offset = record.end
    return tags


def test_digests_of_configurations() -> None:
    assert digests() == (DOCUMENT_DIGEST, PATCH_DIGEST)


@pytest.mark.parametrize("row", state_snapshots.FAMILY.rows, ids=ids(state_snapshots.FAMILY.rows))
def test_the_bytes_written_of_a_state(row: Row) -> None:
    check_encoding(state_snapshots.FAMILY, row)


@pytest.mark.parametrize("row", state_snapshots.FAMILY.rows, ids=ids(state_snapshots.FAMILY.rows))
def test_the_bytes_read_of_a_state(row: Row) -> None:
    check_decoding(state_snapshots.FAMILY, row)


def test_states_have_all_fields() -> None:
    check_complete(state_snapshots.FAMILY)


def test_a_state_remembers_which_versions_it_forgot() -> None:
    state = state_snapshots.restored_control(state_snapshots.CONTROL)
    forgotten = PutConfiguration(
        base=0,
        version=state_snapshots.CONTROL.newest_forgotten_version,
        digest="unknown",
        document=raw(b"{}"),
    )
    assert state.apply(1, encode_command(forgotten)) == OutcomeUnknown()
