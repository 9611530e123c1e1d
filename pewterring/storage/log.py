"""A segmented, append-only log of checksummed records.

Segments are files numbered without gaps. Only the last one is written to, and each batch of records is
synced before the next one is written. So damage that a crash can leave is confined to the last batch of the
last segment: that batch is cut off when the log is opened, and any other damage raises `CorruptLog`.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from pewterring.storage.disk import Disk, DiskFile
from pewterring.storage.errors import CorruptLog, StorageError, StorageFailed, StorageFullError
from pewterring.storage.records import Record, encode_batch, has_later_batch, read_record

FIRST_SEGMENT = 1
SEGMENT_SUFFIX = ".log"


@dataclass(frozen=True, slots=True)
class Position:
    """Where a record starts."""

    segment: int
    file: str
    offset: int


def _read_batch(data: bytes, offset: int, batch: int) -> list[tuple[int, Record]] | None:
    """The records of one batch and where they start, or None where it is not whole."""
    records: list[tuple[int, Record]] = []
    while True:
        record = read_record(data, offset)
        if record is None or record.batch != batch:
            return None
        records.append((offset, record))
        if record.is_last:
            return records
        offset = record.end


class SegmentedLog:
    """The log of payloads whose files' names start with `prefix`.

    It must be read once by `open` before it is written. When a call raises `StorageFullError`, nothing of it
    counts and the log is still usable; after another error it refuses all further writes.
    """

    def __init__(self, disk: Disk, prefix: str) -> None:
        self._disk = disk
        self._prefix = prefix + "."
        self._sizes: dict[int, int] = {}  # valid bytes by segment
        self._file: DiskFile | None = None
        self._batch = 0  # the last whole one of the last segment
        self._has_rest = False  # of a failed write, behind the valid bytes
        self._failed = False

    @property
    def last_segment(self) -> int:
        """The number of the segment that is written to."""
        return max(self._sizes)

    @property
    def last_segment_bytes(self) -> int:
        """The size of the segment that is written to."""
        return self._sizes[self.last_segment]

    @property
    def size_bytes(self) -> int:
        """The size of all segments."""
        return sum(self._sizes.values())

    # Opening

    def open(self, first_segment: int | None) -> Iterator[tuple[Position, bytes]]:
        """Yields all records from `first_segment` on; the log can be written once they have been read.

        Earlier segments are removed then. None says that the log may be new and then starts with segment 1.
        """
        self._release()
        self._sizes = {}
        self._has_rest = self._failed = False
        numbers = self._present_segments(first_segment or FIRST_SEGMENT)
        if first_segment is None and not numbers:
            self._start_segment(FIRST_SEGMENT, ())
            return
        if not numbers:
            raise CorruptLog(self._name(first_segment or FIRST_SEGMENT), 0)
        for number in numbers:
            yield from self._read_segment(number, is_last=number == numbers[-1])
        self._remove_present_before(numbers[0])
        self._file = self._disk.open(self._name(numbers[-1]))
        if self._disk.size(self._name(numbers[-1])) > self._sizes[numbers[-1]]:
            self._file.truncate(self._sizes[numbers[-1]])
        self._file.sync()  # the process before may have ended between a write and its sync

    def _present_segments(self, first: int) -> list[int]:
        """The numbers from `first` on, without a gap."""
        present = [number for number in sorted(self._numbers()) if number >= first]
        if not present and first == FIRST_SEGMENT:
            return []
        last = present[-1] if present else first
        for number in range(first, last + 1):
            if number not in present:
                raise CorruptLog(self._name(number), 0)
        return present

    def _remove_present_before(self, first: int) -> None:
        """Removes files of segments that a loss of power brought back, or that were still to be removed."""
        for number in sorted(self._numbers()):
            if number < first:
                self._disk.remove(self._name(number))

    def _numbers(self) -> Iterator[int]:
        for name in self._disk.names():
            if name.startswith(self._prefix) and name.endswith(SEGMENT_SUFFIX):
                digits = name[len(self._prefix) : -len(SEGMENT_SUFFIX)]
                if digits.isdecimal():
                    yield int(digits)

    def _read_segment(self, number: int, is_last: bool) -> Iterator[tuple[Position, bytes]]:
        file = self._name(number)
        data = self._disk.read(file)
        end = batch = 0  # of the last whole batch
        while (records := _read_batch(data, end, batch + 1)) is not None:
            for offset, record in records:
                yield Position(number, file, offset), record.payload
                end = record.end
            batch += 1
        if end < len(data) and (not is_last or has_later_batch(data, end, batch + 1)):
            raise CorruptLog(file, end)
        self._sizes[number] = end
        self._batch = batch

    # Writing

    def append(self, payloads: Sequence[bytes]) -> None:
        """Writes and syncs records to the last segment."""
        self._check_usable()
        assert self._file is not None
        self._cut_rest()
        data = encode_batch(payloads, self._batch + 1)
        self._has_rest = True
        self._write(self._file, data)
        self._has_rest = False
        self._batch += 1
        self._sizes[self.last_segment] += len(data)

    def roll(self, payloads: Sequence[bytes]) -> None:
        """Starts a new segment with these records, written and synced."""
        self._check_usable()
        self._cut_rest()
        self._start_segment(self.last_segment + 1, payloads)

    def remove_before(self, segment: int) -> None:
        """Removes all segments before `segment`. Whoever calls has made sure that they are not needed."""
        self._check_usable()
        for number in sorted(self._sizes):
            if number < segment:
                self._guard_remove(self._name(number))
                del self._sizes[number]

    def close(self) -> None:
        """Closes the files; the log must be opened before it is used again."""
        self._failed = True
        self._release()

    def _start_segment(self, number: int, payloads: Sequence[bytes]) -> None:
        name = self._name(number)
        data = encode_batch(payloads, 1) if payloads else b""
        try:
            file = self._disk.create(name)
            self._write(file, data)
            self._disk.sync_folder()
        except StorageFullError:
            self._forget_file(name)
            raise
        except StorageError:
            self._failed = True
            raise
        self._release()
        self._file = file
        self._sizes[number] = len(data)
        self._batch = 1 if payloads else 0

    def _forget_file(self, name: str) -> None:
        """Removes the file of a segment that could not be started; it must not come back later."""
        self._failed = True
        if name in self._disk.names():
            self._disk.remove(name)
        self._disk.sync_folder()
        self._failed = False

    def _cut_rest(self) -> None:
        """Removes the rest of a failed write, synced, before anything else is written."""
        if not self._has_rest:
            return
        assert self._file is not None
        try:
            self._file.truncate(self.last_segment_bytes)
            self._file.sync()
        except StorageError:
            self._failed = True
            raise
        self._has_rest = False

    def _write(self, file: DiskFile, data: bytes) -> None:
        try:
            file.write(data)
            file.sync()
        except StorageFullError:
            raise
        except StorageError:
            self._failed = True
            raise

    def _guard_remove(self, name: str) -> None:
        try:
            self._disk.remove(name)
        except StorageError:
            self._failed = True
            raise

    def _check_usable(self) -> None:
        if self._failed:
            raise StorageFailed(f"the log {self._prefix}* failed before")

    def _release(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None

    def _name(self, number: int) -> str:
        return f"{self._prefix}{number:08d}{SEGMENT_SUFFIX}"
