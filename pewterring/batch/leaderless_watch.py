"""Notices that a partition's group has known no leader for long, so that the log says what it waits for."""

LEADERLESS_WARNING_S = 3.0  # several elections fit into it
REPEAT_S = 10.0  # between two warnings about the same absence of a leader


class LeaderlessWatch:
    """Measures how long one group has had no leader. Times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._warned_at: float | None = None

    def overdue_s(self, now: float, has_leader: bool) -> float | None:
        """Returns for how many seconds there has been no leader if a warning is due now, else None."""
        if has_leader:
            self._since = self._warned_at = None
            return None
        if self._since is None:
            self._since = now
        leaderless_s = now - self._since
        was_warned = self._warned_at is not None and now - self._warned_at < REPEAT_S
        if leaderless_s < LEADERLESS_WARNING_S or was_warned:
            return None
        self._warned_at = now
        return leaderless_s
