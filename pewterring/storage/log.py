"""A segmented, append-only log of checksummed records.

Segments are files with consecutive numbers. Only the last one is written to, and each batch of records is
synced before the next one is written. A crash can therefore damage only the last batch of the last segment.
That batch is removed when the log is opened; any other damage raises `CorruptLogError`.
"""

from collections.abc import Iterator, Sequence
from contextlib import ExitStack
from dataclasses import dataclass

from pewterring.storage.disk import Disk, DiskFile
from pewterring.storage.errors import CorruptLogError, StorageFullError
from pewterring.storage.fail_stop import FailStop
from pewterring.storage.records import Record, encode_batch, has_later_batch, read_record

FIRST_SEGMENT = 1
SEGMENT_SUFFIX = ".log"


@dataclass(frozen=True, slots=True)
class Position:
    """The location of a record in the log; `offset` is in bytes from the start of the file."""

    segment: int
    file: str
    offset: int


def _read_batch(data: bytes, offset: int, batch: int) -> list[tuple[int, Record]] | None:
    """Returns the records of one batch with their offsets, or None if the batch is incomplete."""
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
    """A log of payloads in files named `prefix.NUMBER.log`; owns the open file of the last segment.

    All records must be read once by `open` before the log is written. A call that raises `StorageFullError`
    has no effect, and the log remains usable; after any other error all further writes raise
    `StorageUnusableError`.
    """

    def __init__(self, disk: Disk, prefix: str) -> None:
        self._disk = disk
        self._prefix = prefix + "."
        self._sizes: dict[int, int] = {}  # number of valid bytes of each segment
        self._last_file: DiskFile | None = None
        self._last_batch = 0  # number of the last complete batch in the last segment
        self._fail_stop = FailStop(f"log {self._prefix}*{SEGMENT_SUFFIX}")

    @property
    def first_segment(self) -> int:
        """The number of the oldest segment."""
        return min(self._sizes)

    @property
    def last_segment(self) -> int:
        """The number of the segment that is being written."""
        return max(self._sizes)

    @property
    def last_segment_bytes(self) -> int:
        """The size in bytes of the segment that is being written."""
        return self._sizes[self.last_segment]

    @property
    def is_last_segment_fresh(self) -> bool:
        """Whether the last segment contains no records except those it was started with."""
        return self._last_batch <= 1

    @property
    def size_bytes(self) -> int:
        """The total size of all segments in bytes."""
        return sum(self._sizes.values())

    # Opening

    def open(self, first_segment: int | None) -> Iterator[tuple[Position, bytes]]:
        """Yields all records from `first_segment` onwards; the log can be written once all have been read.

        Earlier segments are then removed. With None the log starts at segment 1, which is created if there
        are no segments.

        Raises:
            CorruptLogError: a segment is missing, or is damaged and not only by an interrupted last write.
            StorageError: the disk is full or failed.
        """
        self.close()
        self._sizes = {}
        numbers = self._contiguous_segments(first_segment)
        for number in numbers:
            yield from self._read_segment(number, is_last=number == numbers[-1])
        if numbers:
            self._remove_stale_segments(numbers[0])
            self._open_last_segment()
        else:
            self._start_segment(FIRST_SEGMENT, ())
        self._fail_stop.reset()

    def _contiguous_segments(self, first_segment: int | None) -> list[int]:
        """Returns the segment numbers in order, after checking for gaps; an empty list if the log is new."""
        first = first_segment or FIRST_SEGMENT
        present = sorted(number for number in self._segment_numbers() if number >= first)
        if first_segment is None and not present:
            return []
        for number in range(first, max(present, default=first) + 1):
            if number not in present:
                raise CorruptLogError(self._segment_file(number), 0)
        return present

    def _open_last_segment(self) -> None:
        """Opens the last segment for writing and truncates it after its last complete batch."""
        file = self._segment_file(self.last_segment)
        self._last_file = self._disk.open(file)
        if self._disk.size(file) > self.last_segment_bytes:
            self._last_file.truncate(self.last_segment_bytes)
        self._last_file.sync()  # the previous process may have ended between a write and its sync

    def _remove_stale_segments(self, first: int) -> None:
        """Removes segments that reappeared after a power loss or whose removal was interrupted by a crash."""
        for number in sorted(self._segment_numbers()):
            if number < first:
                self._disk.remove(self._segment_file(number))

    def _segment_numbers(self) -> Iterator[int]:
        for name in self._disk.names():
            if name.startswith(self._prefix) and name.endswith(SEGMENT_SUFFIX):
                digits = name[len(self._prefix) : -len(SEGMENT_SUFFIX)]
                if digits.isdecimal():
                    yield int(digits)

    def _read_segment(self, number: int, is_last: bool) -> Iterator[tuple[Position, bytes]]:
        file = self._segment_file(number)
        data = self._disk.read(file)
        end = batch = 0  # end offset and number of the last complete batch
        while (records := _read_batch(data, end, batch + 1)) is not None:
            for offset, record in records:
                yield Position(number, file, offset), record.payload
                end = record.end
            batch += 1
        if end < len(data) and (not is_last or has_later_batch(data, end, batch + 1)):
            raise CorruptLogError(file, end)
        self._sizes[number] = end
        self._last_batch = batch

    # Writing

    def append(self, payloads: Sequence[bytes]) -> None:
        """Appends records to the last segment as one batch and syncs it.

        Raises:
            StorageFullError: nothing was appended; the call may be repeated.
            StorageError: the log must be opened again.
        """
        self._fail_stop.check()
        data = encode_batch(payloads, self._last_batch + 1)
        try:
            with self._fail_stop.stopping_unless_full:
                self._writable_file.write(data)
                self._writable_file.sync()
        except StorageFullError:
            self._truncate_failed_write()
            raise
        self._last_batch += 1
        self._sizes[self.last_segment] += len(data)

    def roll(self, payloads: Sequence[bytes]) -> None:
        """Starts a new segment with these records and syncs it. Raises the same errors as `append`."""
        self._fail_stop.check()
        self._start_segment(self.last_segment + 1, payloads)

    def remove_before(self, segment: int) -> None:
        """Removes all segments before `segment`; the caller must make sure that they are not needed.

        Raises:
            StorageError: the log must be opened again; it is unknown which segments remain.
        """
        self._fail_stop.check()
        for number in sorted(self._sizes):
            if number < segment:
                with self._fail_stop.stopping_on_error:
                    self._disk.remove(self._segment_file(number))
                del self._sizes[number]

    def close(self) -> None:
        """Closes the last segment; the log must be opened again before it is used."""
        self._fail_stop.stop()
        self._close_last_file()

    @property
    def _writable_file(self) -> DiskFile:
        assert self._last_file is not None, "a file is open whenever `FailStop.check` passes"
        return self._last_file

    def _start_segment(self, number: int, payloads: Sequence[bytes]) -> None:
        data = encode_batch(payloads, 1) if payloads else b""
        try:
            file = self._create_synced(self._segment_file(number), data)
        except StorageFullError:
            self._remove_failed_segment(self._segment_file(number))
            raise
        self._close_last_file()
        self._last_file = file
        self._sizes[number] = len(data)
        self._last_batch = 1 if payloads else 0

    def _create_synced(self, name: str, data: bytes) -> DiskFile:
        """Creates a segment file whose content and name are durable, and returns it open for writing."""
        with ExitStack() as on_error, self._fail_stop.stopping_unless_full:
            file = self._disk.create(name)
            on_error.callback(file.close)
            file.write(data)
            file.sync()
            self._disk.sync_folder()
            on_error.pop_all()
        return file

    def _remove_failed_segment(self, name: str) -> None:
        """Removes a segment that could not be started, and syncs the folder so that it cannot reappear."""
        with self._fail_stop.stopping_on_error:
            if name in self._disk.names():
                self._disk.remove(name)
            self._disk.sync_folder()

    def _truncate_failed_write(self) -> None:
        """Removes the remains of a failed write and syncs, so that they take no space on a full disk."""
        with self._fail_stop.stopping_on_error:
            self._writable_file.truncate(self.last_segment_bytes)
            self._writable_file.sync()

    def _close_last_file(self) -> None:
        if self._last_file is not None:
            self._last_file.close()
            self._last_file = None

    def _segment_file(self, number: int) -> str:
        return f"{self._prefix}{number:08d}{SEGMENT_SUFFIX}"
