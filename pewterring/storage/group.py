"""Durable storage of one member of one Raft group: a log and a snapshot in one folder.

After any crash a load returns everything that was acknowledged: the newest snapshot, the entries after it,
the term and the vote. If a load raises `CorruptLogError`, `CorruptSnapshotError` or `UnknownFormatError`, the
error names the file, and nothing on the disk has been changed.
"""

import re
from collections.abc import Sequence

import msgspec

from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup, PersistentState
from pewterring.storage.disk import Disk
from pewterring.storage.entry_terms import EntryTerms
from pewterring.storage.errors import CorruptLogError, InvalidNameError, LogGapError
from pewterring.storage.fail_stop import FailStop
from pewterring.storage.formats import check_format
from pewterring.storage.group_records import (
    HardStateRecord,
    TruncateRecord,
    decode_group_record,
    encode_changes,
    encode_hard_state,
)
from pewterring.storage.log import Position, SegmentedLog
from pewterring.storage.segment_index import SegmentIndex
from pewterring.storage.snapshots import SnapshotHeader, SnapshotStore

SEGMENT_BYTES = 4_000_000  # about what is left of the log after a snapshot of all entries but the last
_GROUP_NAME_PATTERN = re.compile(r"[A-Za-z0-9_-]+")
_NO_SNAPSHOT = SnapshotHeader(0, 0, Membership(()), 0)


class DiskGroupStorage:
    """Implements `GroupStorage` on a disk. The name of each file starts with the name of the group.

    All calls block, and only one thread may call at a time; `load` must be called first. A call that raises
    `StorageFullError` may be repeated; after any other error the storage must be loaded again.

    Raises:
        InvalidNameError: the group's name has characters that are not allowed in file names.
    """

    def __init__(self, disk: Disk, group: str, segment_bytes: int = SEGMENT_BYTES) -> None:
        if _GROUP_NAME_PATTERN.fullmatch(group) is None:
            raise InvalidNameError(f"a group name consists of letters, digits, - and _; {group!r} does not")
        self._group = group
        self._log = SegmentedLog(disk, group)
        self._snapshots = SnapshotStore(disk, group)
        self._segment_bytes = segment_bytes
        self._hard_state = HardState()
        self._snapshot_index = 0
        self._has_snapshot = False
        self._terms = EntryTerms(0, 0)
        self._segments = SegmentIndex()
        self._fail_stop = FailStop(f"storage of group {group}")

    @property
    def size_bytes(self) -> int:
        """Total size of the log and the newest snapshot in bytes."""
        return self._log.size_bytes + self._snapshots.size_bytes

    # Reading

    def load(self) -> LoadedGroup:
        """Implements `GroupStorage`.

        Raises:
            CorruptLogError: the log is damaged, and not only by an interrupted last write.
            CorruptSnapshotError: the newest snapshot is damaged.
            UnknownFormatError: a file was written by a later version of the program.
            StorageError: the disk is full or failed.
        """
        self._fail_stop.stop()
        snapshot = self._snapshots.load()
        header = snapshot.header if snapshot else _NO_SNAPSHOT
        self._reset_before_replay(header, has_snapshot=snapshot is not None)
        entries = self._replay(header.first_segment if snapshot else None)
        self._snapshots.remove_leftovers()
        for entry in entries:
            self._terms.append(entry)
        if (
            not self._log.last_segment_bytes
        ):  # the segment is new, or a crash came before its first records were synced
            self._log.append(self._segment_head())
        self._fail_stop.reset()
        state = self._persistent_state(header, entries)
        if snapshot is None or not header.index:
            return LoadedGroup(state)
        return LoadedGroup(state, snapshot.data, snapshot.file)

    def _reset_before_replay(self, header: SnapshotHeader, has_snapshot: bool) -> None:
        self._has_snapshot = has_snapshot
        self._snapshot_index = header.index
        self._terms.reset(header.index, header.term)
        self._hard_state = HardState()
        self._segments.clear()

    def _persistent_state(self, header: SnapshotHeader, entries: list[Entry]) -> PersistentState:
        return PersistentState(
            term=self._hard_state.term,
            vote=self._hard_state.vote,
            snapshot_index=header.index,
            snapshot_term=header.term,
            snapshot_membership=header.membership,
            entries=entries,
        )

    def _replay(self, first_segment: int | None) -> list[Entry]:
        """Reads the log and returns the entries after the snapshot."""
        entries: list[Entry] = []
        for position, payload in self._log.open(first_segment):
            self._replay_record(position, payload, entries)
        return entries

    def _replay_record(self, position: Position, payload: bytes, entries: list[Entry]) -> None:
        try:
            record = decode_group_record(payload)
        except msgspec.MsgspecError as error:
            raise CorruptLogError(position.file, position.offset) from error
        if isinstance(record, HardStateRecord):
            check_format(position.file, record.format)
            self._hard_state = HardState(record.term, record.vote)
        elif isinstance(record, TruncateRecord):
            del entries[max(0, record.from_index - self._snapshot_index - 1) :]
        else:
            index = record.entry.index
            self._segments.add(position.segment, index)
            if index <= self._snapshot_index:
                return
            if index != self._snapshot_index + len(entries) + 1:
                raise CorruptLogError(position.file, position.offset)
            entries.append(record.entry)

    # Writing

    def initialize(self, membership: Membership) -> None:
        """Saves the initial voters of a new group as an empty snapshot at index 0.

        Does nothing if the group already has a snapshot.

        Raises:
            StorageFullError: nothing was saved; the call may be repeated.
            StorageError: the storage must be loaded again.
        """
        self._fail_stop.check()
        if not self._has_snapshot:
            self._write_snapshot(SnapshotHeader(0, 0, membership, self._log.first_segment), b"")

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        """Implements `GroupStorage`.

        Raises:
            LogGapError: the indices of `entries` do not continue the log; nothing was saved.
            StorageFullError: nothing was saved; the call may be repeated.
            StorageError: the storage must be loaded again.
        """
        self._fail_stop.check()
        entries = [entry for entry in entries if entry.index > self._snapshot_index]
        truncate_from = self._effective_truncation(truncate_from, entries)
        self._check_contiguous(truncate_from, entries)
        payloads = encode_changes(hard_state, truncate_from, entries)
        if not payloads:
            return
        self._append(payloads)
        self._update_after_save(hard_state, truncate_from, entries)

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        """Implements `GroupStorage`. A snapshot that is not newer than the saved one is ignored.

        Raises:
            StorageFullError: the previous snapshot and the log are still valid; the call may be repeated.
            StorageError: the storage must be loaded again.
        """
        self._fail_stop.check()
        if self._has_snapshot and index <= self._snapshot_index:
            return
        log_contains_last_covered_entry = self._terms.contains(index, term)
        self._ensure_fresh_segment()
        first_segment = (
            self._first_needed_segment(index) if log_contains_last_covered_entry else self._log.last_segment
        )
        self._write_snapshot(SnapshotHeader(index, term, membership, first_segment), data)
        self._snapshot_index = index
        if log_contains_last_covered_entry:
            self._terms.drop_to(index)
        else:
            self._terms.reset(index, term)
        self._remove_superseded(first_segment)

    def close(self) -> None:
        """Closes the files."""
        self._fail_stop.stop()
        self._log.close()

    def _append(self, payloads: list[bytes]) -> None:
        with self._fail_stop.stopping_unless_full:
            if self._log.last_segment_bytes >= self._segment_bytes:
                self._log.roll(self._segment_head())
            self._log.append(payloads)

    def _ensure_fresh_segment(self) -> None:
        """Starts a new segment, unless nothing has been written to the last one since it was started.

        Otherwise each failed attempt to save a snapshot on a full disk would add one more segment.
        """
        if self._log.is_last_segment_fresh:
            return
        with self._fail_stop.stopping_unless_full:
            self._log.roll(self._segment_head())

    def _write_snapshot(self, header: SnapshotHeader, data: bytes) -> None:
        with self._fail_stop.stopping_unless_full:
            self._snapshots.write(header, data)
        self._has_snapshot = True

    def _remove_superseded(self, first_segment: int) -> None:
        with self._fail_stop.stopping_unless_full:
            self._snapshots.remove_older()
            self._log.remove_before(first_segment)
        self._segments.drop_before(first_segment)

    def _segment_head(self) -> list[bytes]:
        """Returns the first records of a segment: the hard state, so that earlier segments can be removed."""
        return [encode_hard_state(self._hard_state)]

    def _first_needed_segment(self, index: int) -> int:
        """Returns the first segment that has entries after `index`."""
        return self._segments.first_segment_after(index) or self._log.last_segment

    def _effective_truncation(self, truncate_from: int | None, entries: Sequence[Entry]) -> int | None:
        """Returns the first index that the call truncates or overwrites; None if it does neither."""
        starts = [] if truncate_from is None else [truncate_from]
        starts.extend(entry.index for entry in entries[:1])
        start = max(min(starts, default=self._terms.last_index + 1), self._snapshot_index + 1)
        return start if start <= self._terms.last_index else None

    def _check_contiguous(self, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        expected = truncate_from if truncate_from is not None else self._terms.last_index + 1
        for entry in entries:
            if entry.index != expected:
                raise LogGapError(f"log of group {self._group}", entry.index, expected)
            expected += 1

    def _update_after_save(
        self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]
    ) -> None:
        """Updates the in-memory state after a save has been written to disk."""
        if hard_state is not None:
            self._hard_state = hard_state
        if truncate_from is not None:
            self._terms.truncate(truncate_from)
        for entry in entries:
            self._terms.append(entry)
        if entries:
            self._segments.add(self._log.last_segment, entries[-1].index)
