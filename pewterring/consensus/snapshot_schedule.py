"""Decides when a member takes its next snapshot, by the bytes of entries applied since the last one."""

import random

SNAPSHOT_AFTER_BYTES = 4_000_000  # bytes of entries applied since the last snapshot
SNAPSHOT_AFTER_MAX_BYTES = 16_000_000  # upper bound for large states: limits disk usage and replay
# Random variation of the threshold, so that the members take their snapshots at different times and their
# disks are not all busy at once.
SNAPSHOT_JITTER_FRACTION = 0.25


class SnapshotSchedule:
    """Counts the bytes of applied entries until the next snapshot is due.

    A large state is due after as many bytes of entries as its last snapshot had, up to
    `SNAPSHOT_AFTER_MAX_BYTES`. Otherwise most of the bytes written to disk would be snapshots.
    """

    def __init__(self, after_bytes: int, rng: random.Random) -> None:
        self._after_bytes = after_bytes
        self._rng = rng
        self._applied_bytes = 0
        self._due_bytes = self._jittered_bytes(0)

    @property
    def is_due(self) -> bool:
        """Whether enough entries have been applied since the last snapshot."""
        return self._applied_bytes >= self._due_bytes

    def on_entry_applied(self, size_bytes: int) -> None:
        """Counts the bytes of an applied entry."""
        self._applied_bytes += size_bytes

    def on_snapshot_loaded(self, snapshot_bytes: int) -> None:
        """Adapts to the size of the snapshot that was loaded at the start."""
        self._due_bytes = self._jittered_bytes(snapshot_bytes)

    def restart(self, snapshot_bytes: int) -> None:
        """Begins to count again after a snapshot of `snapshot_bytes`."""
        self._applied_bytes = 0
        self._due_bytes = self._jittered_bytes(snapshot_bytes)

    def _jittered_bytes(self, last_bytes: int) -> int:
        max_bytes = max(self._after_bytes, SNAPSHOT_AFTER_MAX_BYTES)
        threshold_bytes = min(max(self._after_bytes, last_bytes), max_bytes)
        jitter = self._rng.uniform(1 - SNAPSHOT_JITTER_FRACTION, 1 + SNAPSHOT_JITTER_FRACTION)
        return int(threshold_bytes * jitter)
