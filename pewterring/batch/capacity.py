"""How many bytes a partition may keep: what disk and memory carry, and what can be copied in time."""

from dataclasses import dataclass

from pewterring.consensus.snapshot_schedule import SNAPSHOT_AFTER_MAX_BYTES, SNAPSHOT_JITTER_FRACTION
from pewterring.storage.group import SEGMENT_BYTES

BYTES_PER_MEGABYTE = 1_000_000
USABLE_DISK_FRACTION = 0.95  # the rest is for file ends and for results of items that run
SNAPSHOTS_ON_DISK = 2  # the one in force and the one that is being written
STATE_MEMORY_FRACTION = 0.3  # the state; a snapshot of it being encoded or sent takes as much again
# The log between two snapshots, with the segment that is being written.
LOG_BYTES = int(SNAPSHOT_AFTER_MAX_BYTES * (1 + SNAPSHOT_JITTER_FRACTION)) + SEGMENT_BYTES
# Of the bound on catching up: a new member must have the state after half of it, and an eighth goes by until
# tables list the new member and its copy begins, and from the last byte to its vote.
COPY_TIME_FRACTION = 0.375


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What a store has by its settings. 0 means not set and bounds nothing, except for the memory."""

    memory_mb: int
    disk_mb: int = 0
    copy_mb_per_s: float = 0.0  # of state, to each of as many new members as losses are borne, all at once
    catch_up_s: float = 0.0  # bound on the time that a new member takes to catch up


def max_state_bytes(limits: StoreLimits) -> int:
    """Bytes of bodies and texts up to which jobs are accepted.

    Symptoms answered: jobs must be kept for their clients however many come, and a member whose disk holds
    neither its log nor the next snapshot can never free space again; a state that takes longer to copy than
    the next loss takes to come is lost with it.
    """
    bounds = [int(STATE_MEMORY_FRACTION * limits.memory_mb * BYTES_PER_MEGABYTE)]
    if limits.disk_mb:
        usable = int(USABLE_DISK_FRACTION * limits.disk_mb * BYTES_PER_MEGABYTE) - LOG_BYTES
        bounds.append(usable // SNAPSHOTS_ON_DISK)
    if limits.copy_mb_per_s:
        copy_s = COPY_TIME_FRACTION * limits.catch_up_s
        bounds.append(int(copy_s * limits.copy_mb_per_s * BYTES_PER_MEGABYTE))
    return max(0, min(bounds))
