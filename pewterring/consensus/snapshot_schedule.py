"""When a member's next snapshot is due, by the bytes of entries applied since the last one."""

import random

SNAPSHOT_AFTER_BYTES = 4_000_000  # of entries applied since the last snapshot
SNAPSHOT_AFTER_MAX_BYTES = 16_000_000  # the same for large states: bounds the disk, and replay at a start
# Members take their snapshots at different times, so that not all disks are busy at once.
SNAPSHOT_JITTER_FRACTION = 0.25


class SnapshotSchedule:
    """Counts the bytes of applied entries against those after which a snapshot is worth its while.

    A large state waits for as many bytes of entries as its last snapshot had, up to a bound: else most of
    what is written would be snapshots.
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

    def applied(self, size_bytes: int) -> None:
        """Counts an entry that was applied."""
        self._applied_bytes += size_bytes

    def loaded(self, snapshot_bytes: int) -> None:
        """Goes by the size of the snapshot found at the start."""
        self._due_bytes = self._jittered_bytes(snapshot_bytes)

    def restart(self, snapshot_bytes: int) -> None:
        """Counts anew after a snapshot of that size."""
        self._applied_bytes = 0
        self._due_bytes = self._jittered_bytes(snapshot_bytes)

    def _jittered_bytes(self, last_bytes: int) -> int:
        most = max(self._after_bytes, SNAPSHOT_AFTER_MAX_BYTES)
        wanted = min(max(self._after_bytes, last_bytes), most)
        jitter = self._rng.uniform(1 - SNAPSHOT_JITTER_FRACTION, 1 + SNAPSHOT_JITTER_FRACTION)
        return int(wanted * jitter)
