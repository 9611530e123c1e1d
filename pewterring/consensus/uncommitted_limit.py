"""The limit on the size of a leader's uncommitted entries.

Without it, while no majority can save entries, callers time out but their commands stay in the memory of the
leader and of every member that received them.
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
    """Limits the total size of the entries that a leader appended in its term and that are not committed."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._entries: deque[_UncommittedEntry] = deque()
        self.size_bytes = 0

    def on_appended(self, entry: Entry) -> None:
        """Adds an appended entry to the total size."""
        size = entry_size(entry)
        self._entries.append(_UncommittedEntry(entry.index, size))
        self.size_bytes += size

    def on_committed(self, index: int) -> None:
        """Removes the entries up to `index`, which are committed, from the total size."""
        while self._entries and self._entries[0].entry_index <= index:
            self.size_bytes -= self._entries.popleft().size_bytes

    def check(self, size_bytes: int) -> None:
        """Checks whether an entry of `size_bytes` may be appended; if all others are committed, any size may.

        Raises:
            TooManyUncommittedError: the entry would exceed the limit.
        """
        if self._entries and self.size_bytes + size_bytes > self._limit_bytes:
            raise TooManyUncommittedError(self.size_bytes)
