"""Named schedules, each with the breakage that it must catch.

Each schedule creates the situation that one guard of the real code is there for.
"""

from tests.simulation.breakages import (
    Breakage,
    acknowledged_before_persisted,
    base_not_checked,
    commit_before_majority,
    decommissioning_ended_early,
    departed_forgotten,
    departure_ignored,
    digest_forgotten,
    ends_without_departure,
    job_accepted_early,
    learner_counted,
    lease_not_checked,
    limits_of_queued_jobs_kept,
    old_tag_votes,
    partition_needs_snapshot,
    patch_base_not_checked,
    patch_known_by_its_result,
    promotion_without_catch_up,
    read_without_barrier,
    request_id_reused,
    snapshot_over_newer,
    unknown_outcome_refused,
    vote_not_synced,
)
from tests.simulation.losses import CATCH_UP_S
from tests.simulation.schedule import Fault, Kind, Point, Role, Schedule, Target, draw

LEADER, OLDEST, LOST, FOLLOWER = Target.LEADER, Target.OLDEST, Target.LOST, Target.FOLLOWER
PLANNED_AT_S, DEPARTURE_TIMEOUT_S = 6.0, 4.0  # a process that departs waits for half of its grace period
STOPPED_AT_S = PLANNED_AT_S + CATCH_UP_S


def repeated(*faults: Fault, times: int = 3, interval_s: float = 5.6) -> tuple[Fault, ...]:
    """Repeats the faults, each time `interval_s` later."""
    return tuple(
        Fault(
            fault.at_s + turn * interval_s,
            fault.kind,
            fault.target,
            fault.point,
            fault.duration_s,
            fault.role,
        )
        for turn in range(times)
        for fault in faults
    )


def replacement_at_full_tolerance(seed: int, tolerated: int, role: Role, ended_at: float) -> Schedule:
    """Removes a machine by plan; at that instant as many of the oldest disks as tolerated are lost."""
    wipe = Fault(ended_at - 0.5, Kind.WIPE, OLDEST, Point.REPLACED, 0.6, role)
    faults = (Fault(PLANNED_AT_S, Kind.PLANNED, OLDEST, role=role), *(wipe,) * tolerated)
    return Schedule(seed, tolerated, faults, stores=role is Role.STORE)


FROZEN_LEADER = repeated(Fault(6.0, Kind.PARTITION_FREEZE, LEADER, Point.NOW, 0.7))
PARTITIONED_LEADER = repeated(Fault(6.0, Kind.PARTITION, LEADER, Point.NOW, 2.0))
PARTITIONED_STORE_LEADER = repeated(Fault(6.0, Kind.PARTITION, LEADER, Point.JOB_ACKED, 2.0, Role.STORE))
STALLED_STORES = repeated(Fault(3.5, Kind.STALLED_DISK, FOLLOWER, Point.NOW, 4.0, Role.STORE), interval_s=9.0)
POWER_AT_ACK = repeated(Fault(6.0, Kind.POWER_ALL, point=Point.ORDER_ACKED), times=8, interval_s=1.5)
REPLACED_STORES = (
    Fault(6.0, Kind.WIPE, OLDEST, duration_s=0.3, role=Role.STORE),
    Fault(12.0, Kind.WIPE, OLDEST, duration_s=0.3, role=Role.STORE),
    Fault(18.0, Kind.WIPE_AND_POWER, role=Role.STORE),
)
LATE_KILLS = (Fault(16.0, Kind.KILL_ALL), Fault(18.0, Kind.KILL_ALL))

NAMED: dict[str, tuple[Breakage, Schedule]] = {
    "lease not checked after a freeze": (lease_not_checked, Schedule(1, 1, FROZEN_LEADER)),
    "lease not checked while cut off": (lease_not_checked, Schedule(1, 1, PARTITIONED_LEADER)),
    "read answered out of own state": (read_without_barrier, Schedule(1, 1, PARTITIONED_LEADER)),
    "promotion without catch-up": (
        promotion_without_catch_up,
        Schedule(1, 1, (Fault(8.0, Kind.WIPE, OLDEST), Fault(13.0, Kind.WIPE, OLDEST))),
    ),
    "learner counted": (
        learner_counted,
        Schedule(
            2,
            1,
            repeated(
                Fault(5.5, Kind.PLANNED, FOLLOWER), Fault(7.0, Kind.PARTITION_VOTERS, LEADER, duration_s=2.5)
            ),
        ),
    ),
    "departure ignored": (
        departure_ignored,
        replacement_at_full_tolerance(1, 1, Role.CONTROL, STOPPED_AT_S + DEPARTURE_TIMEOUT_S),
    ),
    "a process ends without its departure": (
        ends_without_departure,
        replacement_at_full_tolerance(1, 1, Role.CONTROL, STOPPED_AT_S),
    ),
    "a store ends without its departure": (
        ends_without_departure,
        replacement_at_full_tolerance(1, 1, Role.STORE, STOPPED_AT_S),
    ),
    "commit before majority": (commit_before_majority, Schedule(1, 1, PARTITIONED_LEADER)),
    "digest forgotten": (digest_forgotten, Schedule(1, 1, LATE_KILLS)),
    "departed forgotten": (departed_forgotten, Schedule(3, 1, LATE_KILLS)),
    "old tag allowed to vote": (
        old_tag_votes,
        Schedule(1, 1, repeated(Fault(6.0, Kind.WIPE_AND_POWER, point=Point.ORDER_ACKED))),
    ),
    "snapshot applied over a newer one": (
        snapshot_over_newer,
        Schedule(
            1,
            1,
            repeated(
                Fault(10.0, Kind.WIPE, OLDEST, duration_s=0.3),
                Fault(10.2, Kind.STALLED_DISK, LOST, Point.SNAPSHOT, 1.0),
            ),
        ),
    ),
    "vote not synced": (vote_not_synced, Schedule(1, 1, repeated(Fault(6.0, Kind.POWER_ALL)))),
    "told before saved": (acknowledged_before_persisted, Schedule(1, 1, POWER_AT_ACK)),
    "relay id used again": (request_id_reused, Schedule(1, 1, ())),
    "base not checked": (base_not_checked, Schedule(1, 1, ())),
    "base of a patch not checked": (patch_base_not_checked, Schedule(1, 1, ())),
    "patch known by its result": (patch_known_by_its_result, Schedule(1, 1, ())),
    "unsure order refused": (
        unknown_outcome_refused,
        Schedule(
            1, 1, repeated(Fault(6.0, Kind.PARTITION_INBOUND, LEADER, Point.BEFORE_SAVE, duration_s=2.0))
        ),
    ),
    "job accepted early": (job_accepted_early, Schedule(1, 1, PARTITIONED_STORE_LEADER, stores=True)),
    "limits of queued jobs kept": (limits_of_queued_jobs_kept, draw(10, changing_limits=True)),
    "a voter without a snapshot waits for others": (
        partition_needs_snapshot,
        Schedule(1, 1, REPLACED_STORES, stores=True, rare_snapshots=True),
    ),
    "retirement ended early": (decommissioning_ended_early, Schedule(1, 1, STALLED_STORES, stores=True)),
}
