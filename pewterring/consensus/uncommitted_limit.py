"""Owns the bound on what a leader has appended and a majority has not committed yet.

What may go wrong without it: while no majority can save, callers time out, but what they proposed stays in
the memory of the leader and of every member that it was sent to.
"""

from collections import deque
from typing import NamedTuple

from pewterring.consensus.errors import TooManyUncommittedError
from pewterring.consensus.log import entry_size
from pewterring.consensus.messages import Entry


class _UncommittedEntry(NamedTuple):
    entry_index: int
    size_bytes: int


class UncommittedLimit:
    """Counts the bytes of the entries that a leader appended in its term, until they are committed."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._entries: deque[_UncommittedEntry] = deque()
        self.size_bytes = 0

    def on_appended(self, entry: Entry) -> None:
        """Counts an entry."""
        size = entry_size(entry)
        self._entries.append(_UncommittedEntry(entry.index, size))
        self.size_bytes += size

    def on_committed(self, index: int) -> None:
        """Counts the entries up to `index` no longer."""
        while self._entries and self._entries[0].entry_index <= index:
            self.size_bytes -= self._entries.popleft().size_bytes

    def check(self, size_bytes: int) -> None:
        """Checks whether an entry of `size_bytes` may be appended; alone, an entry of any size may.

        Raises:
            TooManyUncommittedError: the entry would exceed the limit.
        """
        if self._entries and self.size_bytes + size_bytes > self._limit_bytes:
            raise TooManyUncommittedError(self.size_bytes)
