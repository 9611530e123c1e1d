"""A leader's planned transfer of its leadership, so that a stop costs no election time-out.

The leader takes no more commands, waits until all that it has is committed, and notifies a voter that has all
of it to stand for election at once (`TimeoutNow`; Raft thesis, 3.10). From then on it claims no lease in this
term, since the others may vote while they still hear it.
"""

from collections.abc import Iterable
from math import inf

from pewterring.consensus.types import RaftTiming


class LeadershipTransfer:
    """Whether a leader transfers its leadership, and to whom. It belongs to one term of leadership."""

    def __init__(self, timing: RaftTiming) -> None:
        self._timing = timing
        self._ends_at = inf
        self._successor: str | None = None  # was notified and may stand
        self.has_notified = False  # in this term, whoever it was

    @property
    def is_active(self) -> bool:
        """Whether the leader transfers its leadership."""
        return self._ends_at < inf

    def begin(self, now: float) -> None:
        """Begins, or goes on."""
        if not self.is_active:
            self._ends_at = now + self._timing.election_min_s

    def is_over(self, now: float) -> bool:
        """Whether no successor came in time: the leader steps down all the same."""
        return now >= self._ends_at

    def choose(self, complete: Iterable[str]) -> str | None:
        """Returns the next of the voters that have everything to notify; None while another may stand."""
        if not self.is_active or self._successor is not None:
            return None
        successor = next(iter(complete), None)
        if successor is not None:
            self._successor = successor
            self.has_notified = True
        return successor

    def notify_again(self) -> None:
        """Lets a successor be notified once more: what was sent may be lost."""
        self._successor = None
