"""The in-memory log of one member: the entries after a base entry, of which only index and term are kept.

A gap, a decreasing term, or a change to entries that a snapshot covers would make members apply different
commands. Each raises `InvariantError`, and the member stops.
"""

from collections.abc import Iterable, Sequence

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.messages import Entry

ENTRY_OVERHEAD_BYTES = 64  # approximate size of an entry in a message without its data


def entry_size(entry: Entry) -> int:
    """Approximate size of an entry in a message, in bytes."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


class Log:
    """The entries from `base_index` + 1 on, without gaps. Terms never decrease from one entry to the next."""

    def __init__(self, base_index: int, base_term: int, entries: Iterable[Entry] = ()) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def size_bytes(self) -> int:
        """Approximate size of the entries, in bytes."""
        return self.bytes_after(self.base_index)

    def bytes_after(self, index: int) -> int:
        """Approximate size of the entries after `index`, in bytes."""
        start = max(0, index - self.base_index)
        return sum(entry_size(entry) for entry in self._entries[start:])

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None if the entry is compacted or does not exist yet."""
        offset = index - self.base_index
        if offset == 0:
            return self.base_term
        if offset < 0 or offset > len(self._entries):
            return None
        return self._entries[offset - 1].term

    def is_no_newer_than(self, last_index: int, last_term: int) -> bool:
        """Whether a log whose last entry has this index and term is at least as up to date as this log.

        See section 5.4.1 of the Raft paper.
        """
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def between(self, first: int, last: int) -> Sequence[Entry]:
        """The entries from `first` to `last`, both included.

        Raises:
            InvariantError: entry `first` has been compacted.
        """
        return self._entries[self._offset(first) : last - self.base_index]

    def _offset(self, index: int) -> int:
        offset = index - self.base_index - 1
        if offset < 0:
            raise InvariantError(f"entry {index} is compacted; the log starts at {self.base_index + 1}")
        return offset

    def batch(self, first: int, limit_bytes: int) -> tuple[tuple[Entry, ...], int]:
        """Entries from `first` on, at least one and at most about `limit_bytes`, and their size in bytes.

        Raises:
            InvariantError: entry `first` has been compacted.
        """
        start = self._offset(first)
        end = start
        size_bytes = 0
        while end < len(self._entries):
            next_size = entry_size(self._entries[end])
            if end > start and size_bytes + next_size > limit_bytes:
                break
            size_bytes += next_size
            end += 1
        return tuple(self._entries[start:end]), size_bytes

    def append(self, entries: Iterable[Entry]) -> None:
        """Appends entries.

        Raises:
            InvariantError: an entry leaves a gap, or its term is lower than that of the previous entry.
        """
        for entry in entries:
            if entry.index != self.last_index + 1 or entry.term < self.last_term:
                raise InvariantError(
                    f"entry {entry.index} of term {entry.term} cannot follow "
                    f"entry {self.last_index} of term {self.last_term}"
                )
            self._entries.append(entry)

    def truncate(self, first_dropped: int) -> None:
        """Deletes the entries from `first_dropped` on.

        Raises:
            InvariantError: a snapshot covers entry `first_dropped`.
        """
        if first_dropped <= self.base_index:
            raise InvariantError(f"entry {first_dropped} is covered by a snapshot and cannot be deleted")
        del self._entries[first_dropped - self.base_index - 1 :]

    def reset(self, index: int, term: int) -> None:
        """Replaces all entries by a base: the last entry of a snapshot, with its `index` and `term`."""
        self._entries = []
        self.base_index = index
        self.base_term = term

    def compact(self, index: int, retained_bytes: int) -> None:
        """Drops entries up to `index`, except for the latest of them, up to `retained_bytes` in size."""
        dropped_count = min(index - self.base_index, len(self._entries))
        retained_size = 0
        while dropped_count > 0:
            retained_size += entry_size(self._entries[dropped_count - 1])
            if retained_size > retained_bytes:
                break
            dropped_count -= 1
        if dropped_count > 0:
            self.base_term = self._entries[dropped_count - 1].term
            self.base_index += dropped_count
            del self._entries[:dropped_count]

    def term_start(self, index: int) -> int:
        """The first of the entries in memory that have the same term as entry `index`, without the base."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index
