"""Mutation tests: the power loss checks of `test_group` must detect each single broken storage rule."""

from collections.abc import Callable

import pytest

from pewterring.consensus.messages import Membership
from pewterring.storage.errors import StorageError
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.group_records import EntryRecord, HardStateRecord, decode_group_record
from pewterring.storage.log import Position, SegmentedLog
from pewterring.storage.snapshots import SnapshotStore
from tests.storage import test_group

Breakage = Callable[[pytest.MonkeyPatch], None]
SEEDS = 12


def replay_without_snapshot_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replays the log without checking that its first entry follows the snapshot."""

    def replay(self: DiskGroupStorage, position: Position, payload: bytes, entries: list[object]) -> None:
        record = decode_group_record(payload)
        if isinstance(record, HardStateRecord):
            self._hard_state = type(self._hard_state)(record.term, record.vote)
        elif isinstance(record, EntryRecord):
            self._segments.add(position.segment, record.entry.index)
            entries.append(record.entry)
        else:
            del entries[max(0, record.from_index - self._snapshot_index - 1) :]

    monkeypatch.setattr(DiskGroupStorage, "_replay_record", replay)


def segments_removed_too_far(monkeypatch: pytest.MonkeyPatch) -> None:
    """A snapshot removes all segments except the newest, including those with entries after the snapshot."""
    monkeypatch.setattr(
        DiskGroupStorage, "_first_needed_segment", lambda self, _index: self._log.last_segment
    )


def older_snapshot_over_newer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Loads the oldest instead of the newest snapshot in the folder."""
    files = SnapshotStore.files
    monkeypatch.setattr(SnapshotStore, "files", lambda self: files(self)[::-1])


def log_removed_before_snapshot(monkeypatch: pytest.MonkeyPatch) -> None:
    """Removes log segments before the snapshot that replaces them has been written."""
    save = DiskGroupStorage.save_snapshot

    def save_snapshot(
        self: DiskGroupStorage, index: int, term: int, membership: Membership, data: bytes
    ) -> None:
        if index > self._snapshot_index or not self._has_snapshot:
            self._log.roll(self._segment_head())
            self._log.remove_before(self._log.last_segment)
        save(self, index, term, membership, data)

    monkeypatch.setattr(DiskGroupStorage, "save_snapshot", save_snapshot)


def vote_left_in_removed_segment(monkeypatch: pytest.MonkeyPatch) -> None:
    """Starts new segments without a record of the term and the vote."""

    def roll(self: SegmentedLog, _payloads: list[bytes]) -> None:
        self._fail_stop.check()
        self._start_segment(self.last_segment + 1, ())

    monkeypatch.setattr(SegmentedLog, "roll", roll)


@pytest.mark.parametrize(
    "breakage",
    [
        replay_without_snapshot_check,
        segments_removed_too_far,
        older_snapshot_over_newer,
        log_removed_before_snapshot,
        vote_left_in_removed_segment,
    ],
)
def test_broken_rule_is_caught(breakage: Breakage, monkeypatch: pytest.MonkeyPatch) -> None:
    breakage(monkeypatch)
    with pytest.raises((AssertionError, StorageError)):
        test_group.check_power_losses(range(SEEDS))
