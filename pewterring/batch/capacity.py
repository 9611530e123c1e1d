"""Limits the bytes of a partition's state to what fits disk and memory and can be copied in time."""

from dataclasses import dataclass

from pewterring.consensus.snapshot_schedule import SNAPSHOT_AFTER_MAX_BYTES, SNAPSHOT_JITTER_FRACTION
from pewterring.storage.group import SEGMENT_BYTES

BYTES_PER_MEGABYTE = 1_000_000
USABLE_DISK_FRACTION = 0.95  # the rest is for unused ends of files and for results of running items
SNAPSHOTS_ON_DISK = 2  # the current snapshot and the one being written
STATE_MEMORY_FRACTION = 0.3  # share for the state; encoding or sending a snapshot takes as much again
# The log written between two snapshots, and the segment being written.
LOG_BYTES = int(SNAPSHOT_AFTER_MAX_BYTES * (1 + SNAPSHOT_JITTER_FRACTION)) + SEGMENT_BYTES
# Share of the bound on catching up in which the state must be copied. A new member must have the state after
# half of the bound, and an eighth passes before the copy starts (the tables must list the new member first)
# and between the last byte and the member's first vote.
COPY_TIME_FRACTION = 0.375


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """The resources of a store by its settings. 0 means not set and sets no limit, except for memory."""

    memory_mb: int
    disk_mb: int = 0
    # The rate at which state is copied to each new member while as many members as may fail are replaced at
    # once.
    copy_mb_per_s: float = 0.0
    catch_up_s: float = 0.0  # bound on the time in which a new member catches up


def max_state_bytes(limits: StoreLimits) -> int:
    """Up to how many bytes of item bodies and result texts a partition accepts jobs.

    Accepted jobs must be kept for their clients, so a partition without this limit grows with each job. A
    member whose disk has no space for its log or the next snapshot can never free space again, and a state
    that takes longer to copy than it takes until the next member is lost, is lost with that member.
    """
    bounds = [int(STATE_MEMORY_FRACTION * limits.memory_mb * BYTES_PER_MEGABYTE)]
    if limits.disk_mb:
        usable_bytes = int(USABLE_DISK_FRACTION * limits.disk_mb * BYTES_PER_MEGABYTE) - LOG_BYTES
        bounds.append(usable_bytes // SNAPSHOTS_ON_DISK)
    if limits.copy_mb_per_s:
        copy_s = COPY_TIME_FRACTION * limits.catch_up_s
        bounds.append(int(copy_s * limits.copy_mb_per_s * BYTES_PER_MEGABYTE))
    return max(0, min(bounds))
