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


class Parts:
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


def test_a_snapshot_of_unsaved_entries_saves_just_those() -> None:
    parts = Parts()
    parts.append(15)
    parts.unpersisted.on_compacted(12)
    assert parts.unpersisted.persisted_index == 12
    save = take(parts.unpersisted)
    assert [entry.index for entry in save.entries] == [13, 14, 15]
    assert save.truncate_from is None


def test_an_older_own_snapshot_takes_nothing_back() -> None:
    parts = Parts()
    parts.unpersisted.on_compacted(5)
    assert parts.unpersisted.persisted_index == 10
    assert parts.unpersisted.begin_save(HARD) is None


def test_entries_under_way_when_a_snapshot_comes_do_not_count_for_it() -> None:
    parts = Parts()
    parts.append(15)
    save = take(parts.unpersisted)
    parts.install(SNAPSHOT, commit=9)
    parts.unpersisted.on_saved(save)
    assert parts.unpersisted.persisted_index == 9
    assert parts.unpersisted.is_installing_snapshot
    second = take(parts.unpersisted)
    assert second.snapshot is SNAPSHOT
    assert second.truncate_from is None
    assert parts.unpersisted.persisted_index == 9
    parts.unpersisted.on_saved(second)
    assert parts.unpersisted.persisted_index == 20
    assert not parts.unpersisted.is_installing_snapshot


def test_a_newer_snapshot_waits_for_the_one_that_is_being_saved() -> None:
    parts = Parts()
    parts.install(SNAPSHOT, commit=9)
    first = take(parts.unpersisted)
    newer = Snapshot(30, 2, SNAPSHOT.membership, b"newer")
    parts.install(newer, commit=20)
    assert parts.unpersisted.begin_save(HARD) is None
    parts.unpersisted.on_saved(first)
    assert parts.unpersisted.persisted_index <= 20
    assert parts.unpersisted.is_installing_snapshot
    second = take(parts.unpersisted)
    assert second.snapshot is newer
    parts.unpersisted.on_saved(second)
    assert parts.unpersisted.persisted_index == 30


def test_an_own_snapshot_that_ends_after_a_received_one_claims_nothing_of_it() -> None:
    parts = Parts()
    parts.install(SNAPSHOT, commit=9)
    parts.unpersisted.on_compacted(9)  # was under way when the other came
    parts.log.compact(9, 0)
    assert parts.unpersisted.persisted_index == 9
    assert parts.log.base_index == 20
    save = take(parts.unpersisted)
    assert save.snapshot is SNAPSHOT


def test_entries_dropped_while_they_are_saved_are_dropped_on_disk_too() -> None:
    parts = Parts()
    parts.append(15)
    save = take(parts.unpersisted)
    parts.truncate(12)
    parts.append(13, term=3)
    parts.unpersisted.on_saved(save)
    assert parts.unpersisted.persisted_index == 11
    again = take(parts.unpersisted)
    assert again.truncate_from == 12
    assert [entry.term for entry in again.entries] == [3, 3]


def test_messages_wait_for_all_that_was_unsaved_when_they_were_held() -> None:
    parts = Parts()
    parts.append(12)
    first = take(parts.unpersisted)
    parts.install(SNAPSHOT, commit=10)
    reply = SnapshotReply(
        group="g", sender="b", target="a", term=2, last_index=SNAPSHOT.index, received=5, round=1
    )
    parts.unpersisted.defer(reply)
    assert parts.unpersisted.take_deferred_messages() == []
    parts.unpersisted.on_saved(first)
    second = take(parts.unpersisted)
    assert second.snapshot is SNAPSHOT
    assert list(second.messages_after_sync) == [reply]
    assert first.messages_after_sync == ()


def test_a_save_that_is_not_under_way_is_refused() -> None:
    parts = Parts()
    parts.append(12)
    save = take(parts.unpersisted)
    parts.unpersisted.on_saved(save)
    with pytest.raises(InvariantError, match="under way"):
        parts.unpersisted.on_saved(save)
