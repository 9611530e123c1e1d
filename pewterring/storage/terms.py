"""Which term each entry of a log has."""

from pewterring.consensus.messages import Entry


class Terms:
    """The terms from a snapshot's last entry on, kept as runs: (first index, term)."""

    def __init__(self, last_index: int, last_term: int) -> None:
        self.reset(last_index, last_term)

    def reset(self, last_index: int, last_term: int) -> None:
        """Starts again behind a snapshot."""
        self.last_index = last_index
        self._runs = [(last_index, last_term)]

    def append(self, entry: Entry) -> None:
        """Adds the next entry."""
        self.last_index = entry.index
        if entry.term != self._runs[-1][1]:
            self._runs.append((entry.index, entry.term))

    def truncate(self, from_index: int) -> None:
        """Forgets the entries from `from_index` on."""
        self.last_index = min(self.last_index, from_index - 1)
        while len(self._runs) > 1 and self._runs[-1][0] > self.last_index:
            self._runs.pop()

    def holds(self, index: int, term: int) -> bool:
        """Whether the log has the entry (`index`, `term`)."""
        if index > self.last_index:
            return False
        return next((t for first, t in reversed(self._runs) if first <= index), None) == term

    def drop_to(self, index: int) -> None:
        """Forgets what is before `index`."""
        while len(self._runs) > 1 and self._runs[1][0] <= index:
            self._runs.pop(0)
