"""Schedules of faults, drawn from a seed. They are plain data: to be printed, cut down and replayed."""

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar


class Kind(StrEnum):
    """What happens."""

    KILL = "kill"  # the process ends and is started again
    POWER = "power"  # the machine loses power and comes back
    WIPE = "wipe"  # it comes back with an empty disk
    FREEZE = "freeze"  # the process stands still
    STUTTER = "stutter"  # it stands still again and again
    CUT = "cut"  # no other control machine reaches it, nor it them
    CUT_IN = "cut in"  # nothing reaches it
    CUT_OUT = "cut out"  # nothing leaves it
    CUT_AWAY = "cut away"  # nobody at all reaches it
    CUT_VOTERS = "cut voters"  # no voter reaches it; learners do
    CUT_FREEZE = "cut and freeze"  # it stands still, and is cut off until a little later
    SLOW_DISK = "slow disk"
    STALLED_DISK = "stalled disk"
    FULL_DISK = "full disk"
    SLOW_LINK = "slow link"
    STOP = "stop"  # a planned restart
    REPLACE = "replace"  # it is gone for good; another comes at a new address
    PLANNED = "planned"  # another comes first, then it is stopped and removed
    RESET = "reset"  # its connections are lost
    LOST_ANSWERS = "lost answers"  # to operators and workers
    GATEWAY_CUT = "gateway cut"  # one gateway from one control machine
    GATEWAY_KILL = "gateway kill"
    KILL_ALL = "kill all"  # all control processes at once
    POWER_ALL = "power all"
    CUT_ALL = "cut all"  # all control machines from each other
    WIPE_AND_POWER = "wipe and power"  # as many disks as may be lost, and the power of the others


class Target(StrEnum):
    """Which control machine, when it comes to it."""

    LEADER = "leader"
    FOLLOWER = "follower"
    OLDEST = "oldest"  # whose disk has lasted longest
    NEWEST = "newest"
    ANY = "any"
    LOST = "lost"  # one that is back, and has not had its time to catch up yet


class Point(StrEnum):
    """The moment: at once, or when a machine next comes to a point."""

    NOW = "now"
    BEFORE_SAVE = "before_save"  # what is to be saved is known, nothing is on disk
    AFTER_SAVE = "after_save"  # it is on disk, nothing has been told
    BEFORE_APPLY = "before_apply"  # committed here, not applied
    MEMBERS = "members"  # the leader is about to propose a change of membership
    MEMBERS_APPLIED = "members_applied"
    SNAPSHOT = "snapshot"  # a received snapshot is about to be saved
    ANSWER = "answer"  # an answer is about to leave
    ORDER_ACKED = "order_acked"  # an operator has just got its 200
    DRAIN_ACKED = "drain_acked"
    JOB_ACKED = "job_acked"  # a client has just got its 202
    RETIRED = "retired"  # a store was told to be empty, and is gone
    REPLACED = "replaced"  # a machine whose successor has had its time has just ended, and is gone


class On(StrEnum):
    """Which group of machines."""

    CONTROL = "control"
    STORE = "store"


GROUP_WIDE = frozenset({Kind.KILL_ALL, Kind.POWER_ALL, Kind.CUT_ALL, Kind.WIPE_AND_POWER})
HARMLESS = frozenset(
    {Kind.RESET, Kind.LOST_ANSWERS, Kind.GATEWAY_CUT, Kind.GATEWAY_KILL}
)  # no machine is lost


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: from `at` on, as soon as `point` is reached and the tolerance allows it, for `lasts_s`."""

    at: float
    kind: Kind
    target: Target = Target.ANY
    point: Point = Point.NOW
    lasts_s: float = 1.0
    on: On = On.CONTROL


@dataclass(frozen=True, slots=True)
class Schedule:
    """All faults of a run. `seed` draws everything else, `tolerated` machines may be lost at once."""

    seed: int
    tolerated: int
    faults: tuple[Fault, ...]
    stores: bool = False  # whether there are stores with a batch partition


FIRST_S = 5.5  # the first machines have had their time by then
LAST_S = 21.0
STORES_PART = 0.5  # of the schedules have stores
WEIGHTS = {
    Kind.KILL: 6,
    Kind.POWER: 6,
    Kind.WIPE: 14,
    Kind.FREEZE: 10,
    Kind.STUTTER: 3,
    Kind.CUT: 6,
    Kind.CUT_IN: 3,
    Kind.CUT_OUT: 3,
    Kind.CUT_AWAY: 3,
    Kind.CUT_VOTERS: 2,
    Kind.CUT_FREEZE: 4,
    Kind.SLOW_DISK: 3,
    Kind.STALLED_DISK: 3,
    Kind.FULL_DISK: 3,
    Kind.SLOW_LINK: 3,
    Kind.STOP: 3,
    Kind.REPLACE: 8,
    Kind.PLANNED: 3,
    Kind.RESET: 4,
    Kind.LOST_ANSWERS: 5,
    Kind.GATEWAY_CUT: 4,
    Kind.GATEWAY_KILL: 3,
    Kind.KILL_ALL: 4,
    Kind.POWER_ALL: 5,
    Kind.CUT_ALL: 2,
    Kind.WIPE_AND_POWER: 4,
}
TARGETS = {
    Target.LEADER: 5,
    Target.FOLLOWER: 2,
    Target.OLDEST: 6,
    Target.NEWEST: 2,
    Target.ANY: 2,
    Target.LOST: 3,
}
POINTS = {
    Point.NOW: 6,
    Point.BEFORE_SAVE: 2,
    Point.AFTER_SAVE: 3,
    Point.BEFORE_APPLY: 3,
    Point.MEMBERS: 3,
    Point.MEMBERS_APPLIED: 3,
    Point.SNAPSHOT: 1,
    Point.ANSWER: 3,
    Point.ORDER_ACKED: 4,
    Point.DRAIN_ACKED: 2,
    Point.JOB_ACKED: 2,
    Point.RETIRED: 1,
    Point.REPLACED: 2,
}


def draw(seed: int) -> Schedule:
    """The schedule of a seed. Two out of three have one machine to lose."""
    rng = random.Random(f"schedule {seed}")
    tolerated = rng.choice((1, 1, 2))
    stores = rng.random() < STORES_PART
    count = rng.randint(3, 12)
    faults = sorted((_draw_fault(rng, stores) for _ in range(count)), key=lambda fault: fault.at)
    return Schedule(seed, tolerated, tuple(faults), stores)


def _draw_fault(rng: random.Random, stores: bool) -> Fault:
    return Fault(
        at=round(rng.uniform(FIRST_S, LAST_S), 3),
        kind=_pick(rng, WEIGHTS),
        target=_pick(rng, TARGETS),
        point=_pick(rng, POINTS),
        lasts_s=round(rng.choice((0.05, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0)) * rng.uniform(0.8, 1.2), 3),
        on=On.STORE if stores and rng.random() < 0.6 else On.CONTROL,
    )


_Choice = TypeVar("_Choice")


def _pick(rng: random.Random, weights: dict[_Choice, int]) -> _Choice:
    return rng.choices(list(weights), list(weights.values()))[0]
