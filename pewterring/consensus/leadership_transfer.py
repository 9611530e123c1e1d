"""A leader's planned hand-over of the leadership, so that a stop costs no election time-out.

The leader takes no more commands, waits until all that it has is committed, and tells the voter that holds
all of it to stand for election at once. From then on it claims no lease in this term, since the others may
vote while they still hear it.
"""

from collections.abc import Iterable
from math import inf

from pewterring.consensus.types import RaftTiming


class LeadershipTransfer:
    """Whether a leader hands over, and to whom it has said so. It belongs to one term of leadership."""

    def __init__(self, timing: RaftTiming) -> None:
        self._timing = timing
        self._ends_at = inf
        self._told: str | None = None
        self.has_notified = False  # in this term, whoever it was

    @property
    def is_active(self) -> bool:
        """Whether the leader is handing over."""
        return self._ends_at < inf

    def begin(self, now: float) -> None:
        """Begins, or goes on."""
        if not self.is_active:
            self._ends_at = now + self._timing.election_min_s

    def is_over(self, now: float) -> bool:
        """Whether no successor came in time: the leader steps down all the same."""
        return now >= self._ends_at

    def choose(self, complete: Iterable[str]) -> str | None:
        """The next of the voters that hold everything to be told; None while one was told and may stand."""
        if not self.is_active or self._told is not None:
            return None
        successor = next(iter(complete), None)
        if successor is not None:
            self._told = successor
            self.has_notified = True
        return successor

    def notify_again(self) -> None:
        """Lets the successor be told once more: what was sent may be lost."""
        self._told = None
