"""Which term each entry of a log has, in memory: tells whether a snapshot's last entry is in the log.

The rule is that of the Raft paper, section 7: entries after a snapshot stay where the log has its last entry.
"""

from typing import NamedTuple

from pewterring.consensus.messages import Entry


class _TermRun(NamedTuple):
    """Entries of one term that follow each other, from `first_index` on."""

    first_index: int
    term: int


class EntryTerms:
    """The terms from a snapshot's last entry on, as runs."""

    def __init__(self, last_index: int, last_term: int) -> None:
        self.reset(last_index, last_term)

    def reset(self, last_index: int, last_term: int) -> None:
        """Starts again behind a snapshot."""
        self.last_index = last_index
        self._runs = [_TermRun(last_index, last_term)]

    def append(self, entry: Entry) -> None:
        """Adds the next entry."""
        self.last_index = entry.index
        if entry.term != self._runs[-1].term:
            self._runs.append(_TermRun(entry.index, entry.term))

    def truncate(self, from_index: int) -> None:
        """Forgets the entries from `from_index` on."""
        self.last_index = min(self.last_index, from_index - 1)
        while len(self._runs) > 1 and self._runs[-1].first_index > self.last_index:
            self._runs.pop()

    def contains(self, index: int, term: int) -> bool:
        """Whether the log has the entry (`index`, `term`)."""
        if index > self.last_index:
            return False
        return next((run.term for run in reversed(self._runs) if run.first_index <= index), None) == term

    def drop_to(self, index: int) -> None:
        """Forgets what is before `index`."""
        while len(self._runs) > 1 and self._runs[1].first_index <= index:
            self._runs.pop(0)
