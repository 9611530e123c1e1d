"""A segmented, append-only log of checksummed records.

Segments are files numbered without gaps. Only the last one is written to, and each batch of records is synced
before the next one is written. So damage that a crash can leave is confined to the last batch of the last
segment: that batch is truncated when the log is opened, and any other damage raises `CorruptLogError`.
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
    """Where a record starts; `offset` in bytes."""

    segment: int
    file: str
    offset: int


def _read_batch(data: bytes, offset: int, batch: int) -> list[tuple[int, Record]] | None:
    """The records of one batch and their offsets, or None where the batch is not complete."""
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
    """The log of payloads whose files' names start with `prefix`; owns the open file of the last segment.

    It must be read once by `open` before it is written. When a call raises `StorageFullError`, nothing of it
    counts and the log is still usable; after another error all further writes raise `StorageUnusableError`.
    """

    def __init__(self, disk: Disk, prefix: str) -> None:
        self._disk = disk
        self._prefix = prefix + "."
        self._sizes: dict[int, int] = {}  # valid bytes by segment
        self._last_file: DiskFile | None = None
        self._last_batch = 0  # the last complete one of the last segment
        self._fail_stop = FailStop(f"log {self._prefix}*{SEGMENT_SUFFIX}")

    @property
    def last_segment(self) -> int:
        """The number of the segment that is written to."""
        return max(self._sizes)

    @property
    def last_segment_bytes(self) -> int:
        """The size of the segment that is written to."""
        return self._sizes[self.last_segment]

    @property
    def is_last_segment_fresh(self) -> bool:
        """Whether the segment that is written to has only the records that it was started with."""
        return self._last_batch <= 1

    @property
    def size_bytes(self) -> int:
        """The size of all segments."""
        return sum(self._sizes.values())

    # Opening

    def open(self, first_segment: int | None) -> Iterator[tuple[Position, bytes]]:
        """Yields all records from `first_segment` on; the log can be written once they have been read.

        Earlier segments are removed then. None says that the log may be new and then starts with segment 1.

        Raises:
            CorruptLogError: a segment is missing, or damaged other than by an interrupted last write.
            StorageError: the disk is full or failed.
        """
        self.close()
        self._sizes = {}
        numbers = self._present_segments(first_segment)
        for number in numbers:
            yield from self._read_segment(number, is_last=number == numbers[-1])
        if numbers:
            self._remove_present_before(numbers[0])
            self._open_last_segment()
        else:
            self._start_segment(FIRST_SEGMENT, ())
        self._fail_stop.reset()

    def _present_segments(self, first_segment: int | None) -> list[int]:
        """The numbers from the first segment on, without a gap; none where the log is new."""
        first = first_segment or FIRST_SEGMENT
        present = sorted(number for number in self._numbers() if number >= first)
        if first_segment is None and not present:
            return []
        for number in range(first, max(present, default=first) + 1):
            if number not in present:
                raise CorruptLogError(self._segment_file(number), 0)
        return present

    def _open_last_segment(self) -> None:
        """Opens it for writing, without what an interrupted write left behind its last complete batch."""
        file = self._segment_file(self.last_segment)
        self._last_file = self._disk.open(file)
        if self._disk.size(file) > self.last_segment_bytes:
            self._last_file.truncate(self.last_segment_bytes)
        self._last_file.sync()  # the process before may have ended between a write and its sync

    def _remove_present_before(self, first: int) -> None:
        """Removes files of segments that a loss of power brought back, or that were still to be removed."""
        for number in sorted(self._numbers()):
            if number < first:
                self._disk.remove(self._segment_file(number))

    def _numbers(self) -> Iterator[int]:
        for name in self._disk.names():
            if name.startswith(self._prefix) and name.endswith(SEGMENT_SUFFIX):
                digits = name[len(self._prefix) : -len(SEGMENT_SUFFIX)]
                if digits.isdecimal():
                    yield int(digits)

    def _read_segment(self, number: int, is_last: bool) -> Iterator[tuple[Position, bytes]]:
        file = self._segment_file(number)
        data = self._disk.read(file)
        end = batch = 0  # of the last complete batch
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
        """Writes and syncs records to the last segment.

        Raises:
            StorageFullError: nothing of it counts; the call may be repeated.
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
        """Starts a new segment with these records, written and synced; raises as `append` does."""
        self._fail_stop.check()
        self._start_segment(self.last_segment + 1, payloads)

    def remove_before(self, segment: int) -> None:
        """Removes all segments before `segment`. Whoever calls has made sure that they are not needed.

        Raises:
            StorageError: the log must be opened again; which segments are left is not known.
        """
        self._fail_stop.check()
        for number in sorted(self._sizes):
            if number < segment:
                with self._fail_stop.stopping_on_error:
                    self._disk.remove(self._segment_file(number))
                del self._sizes[number]

    def close(self) -> None:
        """Closes the file; the log must be opened before it is used again."""
        self._fail_stop.stop()
        self._close_last_file()

    @property
    def _writable_file(self) -> DiskFile:
        assert self._last_file is not None, "there is one whenever `FailStop.check` passes"
        return self._last_file

    def _start_segment(self, number: int, payloads: Sequence[bytes]) -> None:
        data = encode_batch(payloads, 1) if payloads else b""
        try:
            file = self._create_synced(self._segment_file(number), data)
        except StorageFullError:
            self._remove_unstarted(self._segment_file(number))
            raise
        self._close_last_file()
        self._last_file = file
        self._sizes[number] = len(data)
        self._last_batch = 1 if payloads else 0

    def _create_synced(self, name: str, data: bytes) -> DiskFile:
        """The open file of a new segment; its content and its name outlast a loss of power."""
        with ExitStack() as on_error, self._fail_stop.stopping_unless_full:
            file = self._disk.create(name)
            on_error.callback(file.close)
            file.write(data)
            file.sync()
            self._disk.sync_folder()
            on_error.pop_all()
        return file

    def _remove_unstarted(self, name: str) -> None:
        """Removes the file of a segment that could not be started, durably: it must not come back later."""
        with self._fail_stop.stopping_on_error:
            if name in self._disk.names():
                self._disk.remove(name)
            self._disk.sync_folder()

    def _truncate_failed_write(self) -> None:
        """Removes what is left of a failed write, synced: it takes no space while others wait for some."""
        with self._fail_stop.stopping_on_error:
            self._writable_file.truncate(self.last_segment_bytes)
            self._writable_file.sync()

    def _close_last_file(self) -> None:
        if self._last_file is not None:
            self._last_file.close()
            self._last_file = None

    def _segment_file(self, number: int) -> str:
        return f"{self._prefix}{number:08d}{SEGMENT_SUFFIX}"
