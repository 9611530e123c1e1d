"""What counts as saved while snapshots, truncations and compactions meet a save under way."""

import msgspec
import pytest

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.log import Log
from pewterring.consensus.messages import Entry, Membership, SnapshotReply
from pewterring.consensus.persistent import HardState
from pewterring.consensus.types import Save, Snapshot
from pewterring.consensus.unpersisted import UnpersistedState

HARD = HardState(2, "a")
SNAPSHOT = Snapshot(20, 2, Membership(("a", "b", "c")), b"state")


def entries(first: int, last: int, term: int = 2) -> list[Entry]:
    return [Entry(index, term, "command", msgspec.Raw(b'"x"')) for index in range(first, last + 1)]


def take(unpersisted: UnpersistedState) -> Save:
    save = unpersisted.begin_save(HARD)
    assert save is not None
    return save


class LogOnDisk:
    """A log with entries up to 10 on disk."""

    def __init__(self) -> None:
        self.log = Log(0, 0, entries(1, 10))
        self.unpersisted = UnpersistedState(self.log, HARD)

    def append(self, last: int, term: int = 2) -> None:
        self.log.append(entries(self.log.last_index + 1, last, term))

    def truncate(self, first: int) -> None:
        self.log.truncate(first)
        self.unpersisted.on_truncated(first)

    def install(self, snapshot: Snapshot, commit: int) -> None:
        self.log.reset(snapshot.index, snapshot.term)
        self.unpersisted.on_snapshot_received(snapshot, commit)


def test_after_a_snapshot_of_unpersisted_entries_only_those_behind_it_are_saved() -> None:
    on_disk = LogOnDisk()
    on_disk.append(15)
    on_disk.unpersisted.on_compacted(12)
    assert on_disk.unpersisted.persisted_index == 12
    save = take(on_disk.unpersisted)
    assert [entry.index for entry in save.entries] == [13, 14, 15]
    assert save.truncate_from is None


def test_an_older_own_snapshot_takes_nothing_back() -> None:
    on_disk = LogOnDisk()
    on_disk.unpersisted.on_compacted(5)
    assert on_disk.unpersisted.persisted_index == 10
    assert on_disk.unpersisted.begin_save(HARD) is None


def test_entries_under_way_when_a_snapshot_comes_do_not_count_for_it() -> None:
    on_disk = LogOnDisk()
    on_disk.append(15)
    save = take(on_disk.unpersisted)
    on_disk.install(SNAPSHOT, commit=9)
    on_disk.unpersisted.on_saved(save)
    assert on_disk.unpersisted.persisted_index == 9
    assert on_disk.unpersisted.is_installing_snapshot
    second = take(on_disk.unpersisted)
    assert second.snapshot is SNAPSHOT
    assert second.truncate_from is None
    assert on_disk.unpersisted.persisted_index == 9
    on_disk.unpersisted.on_saved(second)
    assert on_disk.unpersisted.persisted_index == 20
    assert not on_disk.unpersisted.is_installing_snapshot


def test_a_newer_snapshot_waits_for_the_one_that_is_being_saved() -> None:
    on_disk = LogOnDisk()
    on_disk.install(SNAPSHOT, commit=9)
    first = take(on_disk.unpersisted)
    newer = Snapshot(30, 2, SNAPSHOT.membership, b"newer")
    on_disk.install(newer, commit=20)
    assert on_disk.unpersisted.begin_save(HARD) is None
    on_disk.unpersisted.on_saved(first)
    assert on_disk.unpersisted.persisted_index <= 20
    assert on_disk.unpersisted.is_installing_snapshot
    second = take(on_disk.unpersisted)
    assert second.snapshot is newer
    on_disk.unpersisted.on_saved(second)
    assert on_disk.unpersisted.persisted_index == 30


def test_an_own_snapshot_that_ends_after_a_received_one_claims_nothing_of_it() -> None:
    on_disk = LogOnDisk()
    on_disk.install(SNAPSHOT, commit=9)
    on_disk.unpersisted.on_compacted(9)  # was under way when the other came
    on_disk.log.compact(9, 0)
    assert on_disk.unpersisted.persisted_index == 9
    assert on_disk.log.base_index == 20
    save = take(on_disk.unpersisted)
    assert save.snapshot is SNAPSHOT


def test_entries_dropped_while_they_are_saved_are_dropped_on_disk_too() -> None:
    on_disk = LogOnDisk()
    on_disk.append(15)
    save = take(on_disk.unpersisted)
    on_disk.truncate(12)
    on_disk.append(13, term=3)
    on_disk.unpersisted.on_saved(save)
    assert on_disk.unpersisted.persisted_index == 11
    again = take(on_disk.unpersisted)
    assert again.truncate_from == 12
    assert [entry.term for entry in again.entries] == [3, 3]


def test_messages_wait_for_all_that_was_unpersisted_when_they_were_deferred() -> None:
    on_disk = LogOnDisk()
    on_disk.append(12)
    first = take(on_disk.unpersisted)
    on_disk.install(SNAPSHOT, commit=10)
    reply = SnapshotReply(
        group="g", sender="b", target="a", term=2, last_index=SNAPSHOT.index, received=5, round=1
    )
    on_disk.unpersisted.defer(reply)
    assert on_disk.unpersisted.take_deferred_messages() == []
    on_disk.unpersisted.on_saved(first)
    second = take(on_disk.unpersisted)
    assert second.snapshot is SNAPSHOT
    assert list(second.messages_after_sync) == [reply]
    assert first.messages_after_sync == ()


def test_a_save_that_is_not_in_progress_is_rejected() -> None:
    on_disk = LogOnDisk()
    on_disk.append(12)
    save = take(on_disk.unpersisted)
    on_disk.unpersisted.on_saved(save)
    with pytest.raises(InvariantError, match="not the one in progress"):
        on_disk.unpersisted.on_saved(save)
