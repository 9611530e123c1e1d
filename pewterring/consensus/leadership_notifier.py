"""Notifies the owner of a group when this member begins or ceases to lead, once for each term."""

from collections.abc import Callable


class LeadershipNotifier:
    """Calls `on_leadership` with True when a led term begins, and with False when it ends."""

    def __init__(self, on_leadership: Callable[[bool], None]) -> None:
        self._on_leadership = on_leadership
        self.term: int | None = None  # led term that was announced; None: this member does not lead

    def update(self, term: int | None) -> None:
        """Notifies the owner if the led term changed; None means that this member does not lead.

        A different term first ends the leadership of the previous one.
        """
        if term == self.term:
            return
        was_leader = self.term is not None
        self.term = term
        if was_leader:
            self._on_leadership(False)
        if term is not None:
            self._on_leadership(True)
