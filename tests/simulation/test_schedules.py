"""Random schedules, a small fixed number of them. More: `python -m tests.simulation --schedules 1000`."""

import pytest

from tests.simulation.play import play
from tests.simulation.schedule import Fault, Kind, Point, Role, Schedule, Target, draw
from tests.simulation.shrink import shrink

SEEDS = range(1, 5)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_schedule(seed: int) -> None:
    verdict = play(draw(seed))
    assert not verdict.violations, verdict
    assert verdict.orders > 10


# Guards against items that are given up by a limit that no configuration in force has any more.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_schedule_with_limits_that_change(seed: int) -> None:
    verdict = play(draw(seed, changing_limits=True))
    assert not verdict.violations, verdict
    assert verdict.orders > 10


# Guards against members that can do something only once they have a snapshot.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_schedule_with_rare_snapshots(seed: int) -> None:
    verdict = play(draw(seed, rare_snapshots=True))
    assert not verdict.violations, verdict
    assert verdict.orders > 10


# Schedules that showed a fault, of the code or of a check, by what it was.
FOUND = {
    "a store is emptied while another voter is gone and not known to be lost": Schedule(
        157,
        1,
        (
            Fault(14.26, Kind.FULL_DISK, Target.OLDEST, Point.MEMBERS, 0.879, Role.STORE),
            Fault(15.53, Kind.PARTITION, Target.ANY, Point.DRAIN_ACKED, 0.768, Role.STORE),
            Fault(18.422, Kind.LOST_ANSWERS, Target.FOLLOWER, Point.BEFORE_APPLY, 0.798, Role.STORE),
            Fault(20.841, Kind.PLANNED, Target.LOST, Point.NOW, 2.3, Role.STORE),
        ),
        stores=True,
    ),
    "a store that begins a group finds no room on its disk": Schedule(
        1001116,
        1,
        (
            Fault(9.453, Kind.PARTITION_OUTBOUND, Target.NEWEST, Point.MEMBERS, 0.259, Role.STORE),
            Fault(14.11, Kind.FULL_DISK, Target.LOST, Point.BEFORE_SAVE, 4.171, Role.STORE),
        ),
    ),
    "a process is killed while it ends by plan, with all others": Schedule(
        3000965,
        2,
        (
            Fault(6.252, Kind.ISOLATE, Target.NEWEST, Point.NOW, 4.362),
            Fault(7.897, Kind.KILL, Target.LEADER, Point.ANSWER, 0.989),
            Fault(12.804, Kind.PLANNED, Target.LEADER, Point.NOW, 0.352),
            Fault(17.587, Kind.PARTITION_ALL, Target.OLDEST, Point.JOB_ACKED, 3.257),
            Fault(20.965, Kind.WIPE_AND_POWER, Target.FOLLOWER, Point.MEMBERS_APPLIED, 0.057),
        ),
        stores=True,
    ),
    "all processes are killed while one ends by plan and another disk is lost": Schedule(
        33000027,
        1,
        (
            Fault(6.041, Kind.PLANNED, Target.OLDEST, Point.AFTER_SAVE, 0.241),
            Fault(6.904, Kind.KILL_ALL, Target.LEADER, Point.NOW, 1.16),
            Fault(8.586, Kind.POWER_ALL, Target.OLDEST, Point.MEMBERS, 0.791),
            Fault(12.404, Kind.KILL_ALL, Target.ANY, Point.MEMBERS, 0.042),
            Fault(14.334, Kind.GATEWAY_PARTITION, Target.OLDEST, Point.ORDER_ACKED, 0.439),
            Fault(18.73, Kind.WIPE, Target.LEADER, Point.NOW, 0.783),
            Fault(19.562, Kind.KILL_ALL, Target.NEWEST, Point.MEMBERS_APPLIED, 1.641),
        ),
    ),
    "a frozen leader goes on with a change of members that the next leader has overtaken": Schedule(
        2000358,
        2,
        (
            Fault(6.935, Kind.WIPE, Target.OLDEST, Point.AFTER_SAVE, 0.047),
            Fault(7.326, Kind.PARTITION_FREEZE, Target.LEADER, Point.MEMBERS_APPLIED, 1.661),
        ),
    ),
}


@pytest.mark.parametrize("name", FOUND)
def test_a_schedule_that_showed_a_fault(name: str) -> None:
    assert play(FOUND[name]).violations == []


def test_a_schedule_is_played_the_same_again() -> None:
    schedule = Schedule(3, 1, (Fault(6.0, Kind.WIPE, Target.OLDEST), Fault(6.5, Kind.POWER_ALL)))
    first, second = play(schedule), play(schedule)
    assert (first.orders, first.log) == (second.orders, second.log)


def test_a_schedule_is_reduced_to_what_fails() -> None:
    needed = Fault(2.0, Kind.WIPE, Target.OLDEST)
    others = tuple(Fault(float(number), Kind.KILL) for number in range(7))
    schedule = Schedule(1, 1, (*others[:3], needed, *others[3:]))
    assert shrink(schedule, lambda each: needed in each.faults).faults == (needed,)
