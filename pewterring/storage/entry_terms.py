"""In-memory index of the terms of the log entries, used to check whether the log contains a given entry.

When a snapshot is saved, the log entries after it are kept only if the log contains the last entry that the
snapshot covers (Raft paper, section 7).
"""

from typing import NamedTuple

from pewterring.consensus.messages import Entry


class _TermRun(NamedTuple):
    """A run of consecutive entries of the same term, starting at `first_index`."""

    first_index: int
    term: int


class EntryTerms:
    """The terms of the entries from the last one covered by the snapshot onwards, run-length encoded."""

    def __init__(self, last_index: int, last_term: int) -> None:
        self.reset(last_index, last_term)

    def reset(self, last_index: int, last_term: int) -> None:
        """Forgets all entries except the last one covered by a snapshot."""
        self.last_index = last_index
        self._runs = [_TermRun(last_index, last_term)]

    def append(self, entry: Entry) -> None:
        """Adds the next entry."""
        self.last_index = entry.index
        if entry.term != self._runs[-1].term:
            self._runs.append(_TermRun(entry.index, entry.term))

    def truncate(self, from_index: int) -> None:
        """Forgets the entries from `from_index` onwards."""
        self.last_index = min(self.last_index, from_index - 1)
        while len(self._runs) > 1 and self._runs[-1].first_index > self.last_index:
            self._runs.pop()

    def contains(self, index: int, term: int) -> bool:
        """Returns whether the log contains the entry at `index` with this `term`."""
        if index > self.last_index:
            return False
        return next((run.term for run in reversed(self._runs) if run.first_index <= index), None) == term

    def drop_to(self, index: int) -> None:
        """Forgets the entries before `index`."""
        while len(self._runs) > 1 and self._runs[1].first_index <= index:
            self._runs.pop(0)
