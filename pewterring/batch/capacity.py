"""How much a store's partition may hold before its disk or its memory cannot carry it."""

from pewterring.consensus.group import SNAPSHOT_AFTER_MOST_BYTES, SNAPSHOT_SPREAD
from pewterring.storage.group import SEGMENT_BYTES

BYTES_A_MEGABYTE = 1_000_000
USABLE_DISK_PART = 0.95  # the rest is for file ends and for results of items that run
SNAPSHOTS_ON_DISK = 2  # the one in force and the one that is being written
MEMORY_PART = 0.3  # the state; a snapshot of it being encoded or sent takes as much again
# The log between two snapshots, with the segment that is being written.
LOG_BYTES = int(SNAPSHOT_AFTER_MOST_BYTES * (1 + SNAPSHOT_SPREAD)) + SEGMENT_BYTES


def most_state_bytes(disk_mb: int, memory_mb: int) -> int:
    """Bytes of bodies and texts up to which jobs are taken. A `disk_mb` of 0 sets no bound.

    Symptom answered: jobs must be kept for their clients however many come, and a member whose disk holds
    neither its log nor the next snapshot can never make room again.
    """
    by_memory = int(MEMORY_PART * memory_mb * BYTES_A_MEGABYTE)
    if not disk_mb:
        return by_memory
    usable = int(USABLE_DISK_PART * disk_mb * BYTES_A_MEGABYTE) - LOG_BYTES
    return max(0, min(by_memory, usable // SNAPSHOTS_ON_DISK))
