"""Which entries count as persisted if snapshots, truncations or compactions happen during a save."""

import msgspec
import pytest

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.log import Log
from pewterring.consensus.messages import Entry, Membership, SnapshotReply
from pewterring.consensus.persistent import HardState
from pewterring.consensus.types import Save, Snapshot
from pewterring.consensus.unpersisted import UnpersistedState

HARD_STATE = HardState(2, "a")
SNAPSHOT = Snapshot(20, 2, Membership(("a", "b", "c")), b"state")


def entries(first: int, last: int, term: int = 2) -> list[Entry]:
    return [Entry(index, term, "command", msgspec.Raw(b'"x"')) for index in range(first, last + 1)]


def begin_save(unpersisted: UnpersistedState) -> Save:
    save = unpersisted.begin_save(HARD_STATE)
    assert save is not None
    return save


class PersistedLog:
    """A log whose entries 1 to 10 are on disk."""

    def __init__(self) -> None:
        self.log = Log(0, 0, entries(1, 10))
        self.unpersisted = UnpersistedState(self.log, HARD_STATE)

    def append(self, last: int, term: int = 2) -> None:
        self.log.append(entries(self.log.last_index + 1, last, term))

    def truncate(self, first: int) -> None:
        self.log.truncate(first)
        self.unpersisted.on_truncated(first)

    def install(self, snapshot: Snapshot, commit: int) -> None:
        self.log.reset(snapshot.index, snapshot.term)
        self.unpersisted.on_snapshot_received(snapshot, commit)


def test_after_a_snapshot_of_unpersisted_entries_only_the_entries_after_it_are_saved() -> None:
    persisted_log = PersistedLog()
    persisted_log.append(15)
    persisted_log.unpersisted.on_compacted(12)
    assert persisted_log.unpersisted.persisted_index == 12
    save = begin_save(persisted_log.unpersisted)
    assert [entry.index for entry in save.entries] == [13, 14, 15]
    assert save.truncate_from is None


def test_an_own_snapshot_of_older_entries_does_not_lower_the_persisted_index() -> None:
    persisted_log = PersistedLog()
    persisted_log.unpersisted.on_compacted(5)
    assert persisted_log.unpersisted.persisted_index == 10
    assert persisted_log.unpersisted.begin_save(HARD_STATE) is None


def test_entries_being_saved_when_a_snapshot_arrives_do_not_count_as_persisted() -> None:
    persisted_log = PersistedLog()
    persisted_log.append(15)
    save = begin_save(persisted_log.unpersisted)
    persisted_log.install(SNAPSHOT, commit=9)
    persisted_log.unpersisted.on_saved(save)
    assert persisted_log.unpersisted.persisted_index == 9
    assert persisted_log.unpersisted.is_installing_snapshot
    second = begin_save(persisted_log.unpersisted)
    assert second.snapshot is SNAPSHOT
    assert second.truncate_from is None
    assert persisted_log.unpersisted.persisted_index == 9
    persisted_log.unpersisted.on_saved(second)
    assert persisted_log.unpersisted.persisted_index == 20
    assert not persisted_log.unpersisted.is_installing_snapshot


def test_a_newer_snapshot_is_saved_after_the_one_that_is_being_saved() -> None:
    persisted_log = PersistedLog()
    persisted_log.install(SNAPSHOT, commit=9)
    first = begin_save(persisted_log.unpersisted)
    newer = Snapshot(30, 2, SNAPSHOT.membership, b"newer")
    persisted_log.install(newer, commit=20)
    assert persisted_log.unpersisted.begin_save(HARD_STATE) is None
    persisted_log.unpersisted.on_saved(first)
    assert persisted_log.unpersisted.persisted_index <= 20
    assert persisted_log.unpersisted.is_installing_snapshot
    second = begin_save(persisted_log.unpersisted)
    assert second.snapshot is newer
    persisted_log.unpersisted.on_saved(second)
    assert persisted_log.unpersisted.persisted_index == 30


def test_an_own_snapshot_completed_after_a_newer_received_one_does_not_count_that_as_persisted() -> None:
    persisted_log = PersistedLog()
    persisted_log.install(SNAPSHOT, commit=9)
    persisted_log.unpersisted.on_compacted(9)  # was being saved when the other snapshot arrived
    persisted_log.log.compact(9, 0)
    assert persisted_log.unpersisted.persisted_index == 9
    assert persisted_log.log.base_index == 20
    save = begin_save(persisted_log.unpersisted)
    assert save.snapshot is SNAPSHOT


def test_entries_truncated_while_they_are_saved_are_truncated_on_disk_too() -> None:
    persisted_log = PersistedLog()
    persisted_log.append(15)
    save = begin_save(persisted_log.unpersisted)
    persisted_log.truncate(12)
    persisted_log.append(13, term=3)
    persisted_log.unpersisted.on_saved(save)
    assert persisted_log.unpersisted.persisted_index == 11
    second = begin_save(persisted_log.unpersisted)
    assert second.truncate_from == 12
    assert [entry.term for entry in second.entries] == [3, 3]


def test_deferred_messages_wait_for_all_state_that_was_unpersisted_at_that_time() -> None:
    persisted_log = PersistedLog()
    persisted_log.append(12)
    first = begin_save(persisted_log.unpersisted)
    persisted_log.install(SNAPSHOT, commit=10)
    reply = SnapshotReply(
        group="g", sender="b", target="a", term=2, last_index=SNAPSHOT.index, received=5, round=1
    )
    persisted_log.unpersisted.defer(reply)
    assert persisted_log.unpersisted.take_deferred_messages() == []
    persisted_log.unpersisted.on_saved(first)
    second = begin_save(persisted_log.unpersisted)
    assert second.snapshot is SNAPSHOT
    assert list(second.messages_after_sync) == [reply]
    assert first.messages_after_sync == ()


def test_a_save_that_is_not_in_progress_is_rejected() -> None:
    persisted_log = PersistedLog()
    persisted_log.append(12)
    save = begin_save(persisted_log.unpersisted)
    persisted_log.unpersisted.on_saved(save)
    with pytest.raises(InvariantError, match="not the one in progress"):
        persisted_log.unpersisted.on_saved(save)
