"""Notifies the owner of a group of each change of its leadership, once for each term that it leads."""

from collections.abc import Callable


class LeadershipNotifier:
    """Remembers the term for which the owner was notified that this member leads."""

    def __init__(self, on_leadership: Callable[[bool], None]) -> None:
        self._on_leadership = on_leadership
        self.term: int | None = None  # None: the owner knows that this member does not lead

    def update(self, term: int | None) -> None:
        """Notifies of what changed; a leadership of another term ends the one before."""
        if term == self.term:
            return
        was_leader = self.term is not None
        self.term = term
        if was_leader:
            self._on_leadership(False)
        if term is not None:
            self._on_leadership(True)
