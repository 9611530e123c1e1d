"""Planned transfer of the leadership, so that stopping a leader does not cost an election time-out.

The leader rejects further commands, waits until its whole log is committed, and then sends `TimeoutNow` to a
voter that has the complete log, which starts an election at once (Raft thesis, 3.10). From then on the leader
claims no lease in this term, because the other voters may vote although they still receive its heartbeats.
"""

from collections.abc import Iterable
from math import inf

from pewterring.consensus.types import RaftTiming


class LeadershipTransfer:
    """The state of a leadership transfer in one led term: whether it is active, and its successor."""

    def __init__(self, timing: RaftTiming) -> None:
        self._timing = timing
        self._ends_at = inf
        self._successor: str | None = None  # voter that was sent `TimeoutNow` and may start an election
        self.has_notified = False  # whether any successor was sent `TimeoutNow` in this term

    @property
    def is_active(self) -> bool:
        """Whether a transfer has begun."""
        return self._ends_at < inf

    def begin(self, now: float) -> None:
        """Begins the transfer; does nothing if one is active."""
        if not self.is_active:
            self._ends_at = now + self._timing.election_min_s

    def has_timed_out(self, now: float) -> bool:
        """Whether the transfer has timed out: the leader steps down without an elected successor."""
        return now >= self._ends_at

    def choose_successor(self, complete: Iterable[str]) -> str | None:
        """Returns the voter to send `TimeoutNow` to: the first of `complete`, those with the complete log.

        Returns None if no transfer is active, if there is no such voter, or if a voter was chosen already.
        """
        if not self.is_active or self._successor is not None:
            return None
        successor = next(iter(complete), None)
        if successor is not None:
            self._successor = successor
            self.has_notified = True
        return successor

    def allow_another_notice(self) -> None:
        """Allows another `TimeoutNow`, because the previous one may be lost."""
        self._successor = None
