"""Named schedules: each brings about what one guard of the real code is for."""

from tests.simulation.breakages import (
    Breakage,
    base_not_checked,
    commit_before_majority,
    departed_forgotten,
    departure_ignored,
    digest_forgotten,
    ends_without_departure,
    job_accepted_early,
    learner_counted,
    lease_not_checked,
    old_tag_votes,
    patch_base_not_checked,
    patch_known_by_its_result,
    promotion_without_catch_up,
    read_out_of_own_state,
    relay_id_used_again,
    retirement_ended_early,
    snapshot_over_newer,
    told_before_saved,
    unsure_refused,
    vote_not_synced,
)
from tests.simulation.losses import CATCH_UP_S
from tests.simulation.schedule import Fault, Kind, On, Point, Schedule, Target

LEADER, OLDEST, LOST, FOLLOWER = Target.LEADER, Target.OLDEST, Target.LOST, Target.FOLLOWER
PLANNED_AT_S, PATIENCE_S = 6.0, 4.0  # a process that leaves waits half of its grace
STOPPED_AT_S = PLANNED_AT_S + CATCH_UP_S


def again(*faults: Fault, times: int = 3, apart_s: float = 5.6) -> tuple[Fault, ...]:
    """The same faults several times."""
    return tuple(
        Fault(fault.at + turn * apart_s, fault.kind, fault.target, fault.point, fault.lasts_s, fault.on)
        for turn in range(times)
        for fault in faults
    )


def replaced_to_the_letter(seed: int, tolerated: int, on: On, ended_at: float) -> Schedule:
    """A machine ends by plan, and as many of the oldest disks as may be lost go at that instant."""
    wipe = Fault(ended_at - 0.5, Kind.WIPE, OLDEST, Point.REPLACED, 0.6, on)
    faults = (Fault(PLANNED_AT_S, Kind.PLANNED, OLDEST, on=on), *(wipe,) * tolerated)
    return Schedule(seed, tolerated, faults, stores=on is On.STORE)


FROZEN_LEADER = again(Fault(6.0, Kind.CUT_FREEZE, LEADER, Point.NOW, 0.7))
CUT_LEADER = again(Fault(6.0, Kind.CUT, LEADER, Point.NOW, 2.0))
CUT_STORE_LEADER = again(Fault(6.0, Kind.CUT, LEADER, Point.JOB_ACKED, 2.0, On.STORE))
STALLED_STORES = again(Fault(3.5, Kind.STALLED_DISK, FOLLOWER, Point.NOW, 4.0, On.STORE), apart_s=9.0)
POWER_AT_ACK = again(Fault(6.0, Kind.POWER_ALL, point=Point.ORDER_ACKED), times=8, apart_s=1.5)
LATE_KILLS = (Fault(16.0, Kind.KILL_ALL), Fault(18.0, Kind.KILL_ALL))

NAMED: dict[str, tuple[Breakage, Schedule]] = {
    "lease not checked after a freeze": (lease_not_checked, Schedule(1, 1, FROZEN_LEADER)),
    "lease not checked while cut off": (lease_not_checked, Schedule(1, 1, CUT_LEADER)),
    "read answered out of own state": (read_out_of_own_state, Schedule(1, 1, CUT_LEADER)),
    "promotion without catch-up": (
        promotion_without_catch_up,
        Schedule(1, 1, (Fault(8.0, Kind.WIPE, OLDEST), Fault(13.0, Kind.WIPE, OLDEST))),
    ),
    "learner counted": (
        learner_counted,
        Schedule(
            2, 1, again(Fault(5.5, Kind.PLANNED, FOLLOWER), Fault(7.0, Kind.CUT_VOTERS, LEADER, lasts_s=2.5))
        ),
    ),
    "farewell ignored": (
        departure_ignored,
        replaced_to_the_letter(1, 1, On.CONTROL, STOPPED_AT_S + PATIENCE_S),
    ),
    "a process ends without its farewell": (
        ends_without_departure,
        replaced_to_the_letter(1, 1, On.CONTROL, STOPPED_AT_S),
    ),
    "a store ends without its farewell": (
        ends_without_departure,
        replaced_to_the_letter(1, 1, On.STORE, STOPPED_AT_S),
    ),
    "commit before majority": (commit_before_majority, Schedule(1, 1, CUT_LEADER)),
    "digest forgotten": (digest_forgotten, Schedule(1, 1, LATE_KILLS)),
    "departed forgotten": (departed_forgotten, Schedule(3, 1, LATE_KILLS)),
    "old tag allowed to vote": (
        old_tag_votes,
        Schedule(1, 1, again(Fault(6.0, Kind.WIPE_AND_POWER, point=Point.ORDER_ACKED))),
    ),
    "snapshot applied over a newer one": (
        snapshot_over_newer,
        Schedule(
            1,
            1,
            again(
                Fault(10.0, Kind.WIPE, OLDEST, lasts_s=0.3),
                Fault(10.2, Kind.STALLED_DISK, LOST, Point.SNAPSHOT, 1.0),
            ),
        ),
    ),
    "vote not synced": (vote_not_synced, Schedule(1, 1, again(Fault(6.0, Kind.POWER_ALL)))),
    "told before saved": (told_before_saved, Schedule(1, 1, POWER_AT_ACK)),
    "relay id used again": (relay_id_used_again, Schedule(1, 1, ())),
    "base not checked": (base_not_checked, Schedule(1, 1, ())),
    "base of a patch not checked": (patch_base_not_checked, Schedule(1, 1, ())),
    "patch known by its result": (patch_known_by_its_result, Schedule(1, 1, ())),
    "unsure order refused": (
        unsure_refused,
        Schedule(1, 1, again(Fault(6.0, Kind.CUT_IN, LEADER, Point.BEFORE_SAVE, lasts_s=2.0))),
    ),
    "job accepted early": (job_accepted_early, Schedule(1, 1, CUT_STORE_LEADER, stores=True)),
    "retirement ended early": (retirement_ended_early, Schedule(1, 1, STALLED_STORES, stores=True)),
}
