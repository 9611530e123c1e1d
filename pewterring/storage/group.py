"""Storage of one member of one replicated group: a log beside a snapshot, in one folder."""

import re
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import msgspec

from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup, PersistentState
from pewterring.storage.disk import Disk
from pewterring.storage.errors import CorruptLog, StorageError, StorageFullError
from pewterring.storage.formats import FORMAT, check_format
from pewterring.storage.log import Position, SegmentedLog
from pewterring.storage.snapshots import SnapshotHeader, SnapshotStore
from pewterring.storage.terms import Terms

SEGMENT_BYTES = 4_000_000  # what a snapshot leaves of the log, if only the last of its entries came after it
_GROUP_NAME = re.compile(r"[A-Za-z0-9_-]+")


class _HardStateRecord(msgspec.Struct, frozen=True, tag="state"):
    """Each segment starts with one, so that its format is known before the rest is read."""

    term: int
    vote: str | None
    format: int = FORMAT


class _TruncateRecord(msgspec.Struct, frozen=True, tag="truncate"):
    from_index: int


class _EntryRecord(msgspec.Struct, frozen=True, tag="entry"):
    entry: Entry


_Record = _HardStateRecord | _TruncateRecord | _EntryRecord
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(_Record)


def _encode(record: _Record) -> bytes:
    return _ENCODER.encode(record) + b"\n"


class DiskGroupStorage:
    """Implements `GroupStorage` on a disk. Files' names start with the name of the group.

    All calls block and must come from one thread at a time; `load` comes first. A call that raises
    `StorageFullError` may be repeated; after any other error the storage must be loaded again.
    """

    def __init__(self, disk: Disk, group: str, segment_bytes: int = SEGMENT_BYTES) -> None:
        if _GROUP_NAME.fullmatch(group) is None:
            raise ValueError(f"a group's name is part of names of files; {group!r} cannot be")
        self._log = SegmentedLog(disk, group)
        self._snapshots = SnapshotStore(disk, group)
        self._segment_bytes = segment_bytes
        self._hard_state = HardState()
        self._snapshot_index = 0
        self._has_snapshot = False
        self._terms = Terms(0, 0)
        self._last_indexes: dict[int, int] = {}  # by segment: the highest index in it
        self._failed = True  # until it is loaded

    @property
    def size_bytes(self) -> int:
        """Bytes of the log and the newest snapshot."""
        return self._log.size_bytes + self._snapshots.size_bytes

    # Reading

    def load(self) -> LoadedGroup:
        """Part of `GroupStorage`."""
        self._failed = True
        snapshot = self._snapshots.load()
        header = snapshot.header if snapshot else SnapshotHeader(0, 0, Membership(()), 0)
        self._has_snapshot = snapshot is not None
        self._snapshot_index = header.index
        self._terms.reset(header.index, header.term)
        self._hard_state = HardState()
        self._last_indexes = {}
        entries = self._replay(header.first_segment if snapshot else None)
        self._snapshots.remove_leftovers()
        for entry in entries:
            self._terms.append(entry)
        if not self._log.last_segment_bytes:  # new, or a crash came before its first records were synced
            self._log.append(self._segment_head())
        self._failed = False
        state = PersistentState(
            term=self._hard_state.term,
            vote=self._hard_state.vote,
            snapshot_index=header.index,
            snapshot_term=header.term,
            snapshot_membership=header.membership,
            entries=entries,
        )
        if snapshot is None or not header.index:
            return LoadedGroup(state)
        return LoadedGroup(state, snapshot.data, snapshot.file)

    def _replay(self, first_segment: int | None) -> list[Entry]:
        """Reads the log; returns the entries after the snapshot."""
        entries: list[Entry] = []
        for position, payload in self._log.open(first_segment):
            self._replay_record(position, payload, entries)
        return entries

    def _replay_record(self, position: Position, payload: bytes, entries: list[Entry]) -> None:
        try:
            record = _DECODER.decode(payload)
        except msgspec.MsgspecError as error:
            raise CorruptLog(position.file, position.offset) from error
        if isinstance(record, _HardStateRecord):
            check_format(position.file, record.format)
            self._hard_state = HardState(record.term, record.vote)
        elif isinstance(record, _TruncateRecord):
            del entries[max(0, record.from_index - self._snapshot_index - 1) :]
        else:
            self._note_index(position.segment, record.entry.index)
            if record.entry.index <= self._snapshot_index:
                return
            if record.entry.index != self._snapshot_index + len(entries) + 1:
                raise CorruptLog(position.file, position.offset)
            entries.append(record.entry)

    # Writing

    def initialize(self, membership: Membership) -> None:
        """Keeps the first voters of a new group, as a snapshot at index 0 without data."""
        self._check_loaded()
        if not self._has_snapshot:
            self._write_snapshot(SnapshotHeader(0, 0, membership, self._log.last_segment), b"")

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        """Part of `GroupStorage`."""
        self._check_loaded()
        entries = [entry for entry in entries if entry.index > self._snapshot_index]
        truncate_from = self._effective_truncation(truncate_from, entries)
        self._check_no_gap(truncate_from, entries)
        payloads: list[bytes] = []
        if hard_state is not None:
            payloads.append(_encode(_HardStateRecord(hard_state.term, hard_state.vote)))
        if truncate_from is not None:
            payloads.append(_encode(_TruncateRecord(truncate_from)))
        payloads.extend(_encode(_EntryRecord(entry)) for entry in entries)
        if not payloads:
            return
        self._append(payloads)
        self._note_saved(hard_state, truncate_from, entries)

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        """Part of `GroupStorage`. A snapshot no newer than the last one is ignored."""
        self._check_loaded()
        if self._has_snapshot and index <= self._snapshot_index:
            return
        keeps_entries = self._terms.holds(index, term)
        with self._failing_unless_full():
            self._log.roll(self._segment_head())
        first = self._first_needed(index) if keeps_entries else self._log.last_segment
        self._write_snapshot(SnapshotHeader(index, term, membership, first), data)
        self._snapshot_index = index
        if keeps_entries:
            self._terms.drop_to(index)
        else:
            self._terms.reset(index, term)
        self._remove_needless(first)

    def close(self) -> None:
        """Closes the files."""
        self._failed = True
        self._log.close()

    def _append(self, payloads: list[bytes]) -> None:
        with self._failing_unless_full():
            if self._log.last_segment_bytes >= self._segment_bytes:
                self._log.roll(self._segment_head())
            self._log.append(payloads)

    def _write_snapshot(self, header: SnapshotHeader, data: bytes) -> None:
        with self._failing_unless_full():
            self._snapshots.write(header, data)
        self._has_snapshot = True

    def _remove_needless(self, first_segment: int) -> None:
        with self._failing_unless_full():
            self._snapshots.remove_older()
            self._log.remove_before(first_segment)
        self._last_indexes = {s: index for s, index in self._last_indexes.items() if s >= first_segment}

    def _segment_head(self) -> list[bytes]:
        """A segment starts with the hard state, so that earlier ones can be removed."""
        return [_encode(_HardStateRecord(self._hard_state.term, self._hard_state.vote))]

    def _first_needed(self, index: int) -> int:
        """The first segment that has entries after `index`."""
        needed = (segment for segment, last in self._last_indexes.items() if last > index)
        return min(needed, default=self._log.last_segment)

    def _effective_truncation(self, truncate_from: int | None, entries: Sequence[Entry]) -> int | None:
        """Where to truncate, entries that would overwrite others included; None where there is nothing."""
        starts = [] if truncate_from is None else [truncate_from]
        starts.extend(entry.index for entry in entries[:1])
        start = max(min(starts, default=self._terms.last_index + 1), self._snapshot_index + 1)
        return start if start <= self._terms.last_index else None

    def _check_no_gap(self, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        expected = truncate_from if truncate_from is not None else self._terms.last_index + 1
        for entry in entries:
            if entry.index != expected:
                raise StorageError(f"entry {entry.index} was to be saved where {expected} is next")
            expected += 1

    def _note_saved(
        self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]
    ) -> None:
        if hard_state is not None:
            self._hard_state = hard_state
        if truncate_from is not None:
            self._terms.truncate(truncate_from)
        for entry in entries:
            self._terms.append(entry)
        if entries:
            self._note_index(self._log.last_segment, entries[-1].index)

    def _note_index(self, segment: int, index: int) -> None:
        self._last_indexes[segment] = max(index, self._last_indexes.get(segment, 0))

    @contextmanager
    def _failing_unless_full(self) -> Iterator[None]:
        """After an error of the disk, what is in the files is not known; after `StorageFullError` it is."""
        try:
            yield
        except StorageFullError:
            raise
        except StorageError:
            self._failed = True
            raise

    def _check_loaded(self) -> None:
        if self._failed:
            raise StorageError("the storage is not loaded, or failed before")
