"""A snapshot is due after as many bytes of entries as the last one had, within bounds and with jitter."""

import random

import pytest

from pewterring.consensus.snapshot_schedule import (
    SNAPSHOT_AFTER_MAX_BYTES,
    SNAPSHOT_JITTER_FRACTION,
    SnapshotSchedule,
)

AFTER_BYTES = 1_000_000


def apply_until_due(schedule: SnapshotSchedule) -> int:
    """Applies entries until a snapshot is due; returns their size in bytes."""
    applied_bytes = 0
    while not schedule.is_due:
        schedule.on_entry_applied(1000)
        applied_bytes += 1000
    return applied_bytes


@pytest.mark.parametrize(
    ("last_bytes", "expected_bytes"),
    [
        (0, AFTER_BYTES),
        (AFTER_BYTES // 2, AFTER_BYTES),
        (5 * AFTER_BYTES, 5 * AFTER_BYTES),
        (100 * AFTER_BYTES, SNAPSHOT_AFTER_MAX_BYTES),
    ],
)
def test_a_snapshot_is_due_after_about_the_size_of_the_last_one(last_bytes: int, expected_bytes: int) -> None:
    for seed in range(20):
        schedule = SnapshotSchedule(AFTER_BYTES, random.Random(seed))
        schedule.on_snapshot_loaded(last_bytes)
        first_applied_bytes = apply_until_due(schedule)
        schedule.restart(last_bytes)
        assert not schedule.is_due
        for applied_bytes in (first_applied_bytes, apply_until_due(schedule)):
            assert abs(applied_bytes - expected_bytes) <= SNAPSHOT_JITTER_FRACTION * expected_bytes + 1000


def test_members_take_their_snapshots_at_different_times() -> None:
    due_bytes = {apply_until_due(SnapshotSchedule(AFTER_BYTES, random.Random(seed))) for seed in range(20)}
    assert len(due_bytes) > 10
