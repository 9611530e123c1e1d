"""How much a leader has taken that is not committed yet."""

from collections import deque

from pewterring.consensus.errors import TooManyUncommittedError
from pewterring.consensus.log import entry_size
from pewterring.consensus.messages import Entry


class UncommittedLimit:
    """Counts the bytes of the entries that a leader appended in its term, until they are committed.

    Symptom answered: while no majority can save, callers give up, but what they proposed stays in the memory
    of the leader and of those that it was sent to.
    """

    def __init__(self, most_bytes: int) -> None:
        self._most_bytes = most_bytes
        self._entries: deque[tuple[int, int]] = deque()  # index and size
        self.size_bytes = 0

    def appended(self, entry: Entry) -> None:
        """Counts an entry."""
        size = entry_size(entry)
        self._entries.append((entry.index, size))
        self.size_bytes += size

    def committed(self, index: int) -> None:
        """Counts the entries up to `index` no longer."""
        while self._entries and self._entries[0][0] <= index:
            self.size_bytes -= self._entries.popleft()[1]

    def check_room(self, size: int) -> None:
        """Raises `TooManyUncommittedError` where `size` bytes more are too many; alone any entry is taken."""
        if self._entries and self.size_bytes + size > self._most_bytes:
            raise TooManyUncommittedError(self.size_bytes)
