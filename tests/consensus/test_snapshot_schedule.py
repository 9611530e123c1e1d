"""A snapshot is due after as many bytes as the last one had, within bounds, at each member's own time."""

import random

import pytest

from pewterring.consensus.snapshot_schedule import (
    SNAPSHOT_AFTER_MAX_BYTES,
    SNAPSHOT_JITTER_FRACTION,
    SnapshotSchedule,
)

AFTER_BYTES = 1_000_000


def due_after(schedule: SnapshotSchedule) -> int:
    """Applies entries until a snapshot is due; returns their bytes."""
    applied = 0
    while not schedule.is_due:
        schedule.on_entry_applied(1000)
        applied += 1000
    return applied


@pytest.mark.parametrize(
    ("last_bytes", "wanted"),
    [
        (0, AFTER_BYTES),
        (AFTER_BYTES // 2, AFTER_BYTES),
        (5 * AFTER_BYTES, 5 * AFTER_BYTES),
        (100 * AFTER_BYTES, SNAPSHOT_AFTER_MAX_BYTES),
    ],
)
def test_a_snapshot_is_due_after_about_the_bytes_of_the_last_one(last_bytes: int, wanted: int) -> None:
    for seed in range(20):
        schedule = SnapshotSchedule(AFTER_BYTES, random.Random(seed))
        schedule.on_snapshot_loaded(last_bytes)
        first = due_after(schedule)
        schedule.restart(last_bytes)
        assert not schedule.is_due
        for applied in (first, due_after(schedule)):
            assert abs(applied - wanted) <= SNAPSHOT_JITTER_FRACTION * wanted + 1000


def test_members_take_their_snapshots_at_different_times() -> None:
    due = {due_after(SnapshotSchedule(AFTER_BYTES, random.Random(seed))) for seed in range(20)}
    assert len(due) > 10
