"""Schedules of faults, drawn from a seed.

They are plain data, to be printed, shrunk and replayed. The order of the weight tables is part of each seed's
schedule: a new entry changes all of them.
"""

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar


class Kind(StrEnum):
    """What happens to the target."""

    KILL = "kill"  # the process ends and is started again
    POWER = "power"  # the machine loses power and comes back
    WIPE = "wipe"  # it comes back with an empty disk
    FREEZE = "freeze"  # the process is paused
    STUTTER = "stutter"  # it is paused again and again
    PARTITION = "cut"  # no other control machine reaches it, nor it them
    PARTITION_INBOUND = "cut in"  # nothing reaches it
    PARTITION_OUTBOUND = "cut out"  # nothing leaves it
    ISOLATE = "cut away"  # nobody reaches it, callers and gateways included
    PARTITION_VOTERS = "cut voters"  # no voter reaches it; learners do
    PARTITION_FREEZE = "cut and freeze"  # it is paused, and partitioned until a little later
    SLOW_DISK = "slow disk"
    STALLED_DISK = "stalled disk"
    FULL_DISK = "full disk"
    SLOW_LINK = "slow link"
    STOP = "stop"  # a planned restart
    REPLACE = "replace"  # it is gone for good; another comes at a new address
    PLANNED = "planned"  # its successor starts first, then it is stopped and removed
    RESET = "reset"  # its connections are lost
    LOST_ANSWERS = "lost answers"  # to operators and workers
    GATEWAY_PARTITION = "gateway cut"  # one gateway from one control machine
    GATEWAY_KILL = "gateway kill"
    KILL_ALL = "kill all"  # all control processes at once
    POWER_ALL = "power all"
    PARTITION_ALL = "cut all"  # all control machines from each other
    WIPE_AND_POWER = "wipe and power"  # as many disks as may be lost, and the power of the others


class Target(StrEnum):
    """Which machine of the group, chosen when the fault begins."""

    LEADER = "leader"
    FOLLOWER = "follower"
    OLDEST = "oldest"  # the machine with the oldest disk
    NEWEST = "newest"
    ANY = "any"
    LOST = "lost"  # one that is back, and still catching up


class Point(StrEnum):
    """When the fault begins: at once, or when a machine next reaches a point."""

    NOW = "now"
    BEFORE_SAVE = "before_save"  # a save is about to begin
    AFTER_SAVE = "after_save"  # the save is on disk, nothing has been sent
    BEFORE_APPLY = "before_apply"  # an entry is committed here, and not applied
    MEMBERS = "members"  # the leader is about to propose a change of membership
    MEMBERS_APPLIED = "members_applied"
    SNAPSHOT = "snapshot"  # a received snapshot is about to be saved
    ANSWER = "answer"  # an answer is about to leave
    ORDER_ACKED = "order_acked"  # an operator has just got its 200
    DRAIN_ACKED = "drain_acked"
    JOB_ACKED = "job_acked"  # a client has just got its 202
    DECOMMISSIONED = "retired"  # a store was reported as empty, and is removed
    REPLACED = "replaced"  # a planned replacement has just removed the old machine


class Role(StrEnum):
    """Which program the machines of a group run."""

    CONTROL = "control"
    STORE = "store"


GROUP_WIDE = frozenset({Kind.KILL_ALL, Kind.POWER_ALL, Kind.PARTITION_ALL, Kind.WIPE_AND_POWER})
HARMLESS = frozenset(
    {Kind.RESET, Kind.LOST_ANSWERS, Kind.GATEWAY_PARTITION, Kind.GATEWAY_KILL}
)  # no machine is lost


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: from `at_s` on, once `point` is reached and the tolerance allows it, for `duration_s`."""

    at_s: float
    kind: Kind
    target: Target = Target.ANY
    point: Point = Point.NOW
    duration_s: float = 1.0
    role: Role = Role.CONTROL


@dataclass(frozen=True, slots=True)
class Schedule:
    """All faults of a run. `seed` draws everything else, `tolerated` machines may be lost at once."""

    seed: int
    tolerated: int
    faults: tuple[Fault, ...]
    stores: bool = False  # whether the run has stores with a batch partition
    changing_limits: bool = False  # whether the limits of the route of batch jobs change (`route_limits.py`)
    rare_snapshots: bool = False  # whether members keep all entries and have hardly any snapshots


FIRST_S = 5.5  # the first machines have caught up by then
LAST_S = 21.0
STORES_FRACTION = 0.5  # of the schedules have stores
WEIGHTS = {
    Kind.KILL: 6,
    Kind.POWER: 6,
    Kind.WIPE: 14,
    Kind.FREEZE: 10,
    Kind.STUTTER: 3,
    Kind.PARTITION: 6,
    Kind.PARTITION_INBOUND: 3,
    Kind.PARTITION_OUTBOUND: 3,
    Kind.ISOLATE: 3,
    Kind.PARTITION_VOTERS: 2,
    Kind.PARTITION_FREEZE: 4,
    Kind.SLOW_DISK: 3,
    Kind.STALLED_DISK: 3,
    Kind.FULL_DISK: 3,
    Kind.SLOW_LINK: 3,
    Kind.STOP: 3,
    Kind.REPLACE: 8,
    Kind.PLANNED: 3,
    Kind.RESET: 4,
    Kind.LOST_ANSWERS: 5,
    Kind.GATEWAY_PARTITION: 4,
    Kind.GATEWAY_KILL: 3,
    Kind.KILL_ALL: 4,
    Kind.POWER_ALL: 5,
    Kind.PARTITION_ALL: 2,
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
    Point.DECOMMISSIONED: 1,
    Point.REPLACED: 2,
}


def draw(seed: int, changing_limits: bool = False, rare_snapshots: bool = False) -> Schedule:
    """Draws the schedule of a seed. Two out of three tolerate the loss of one machine, the others of two.

    With `changing_limits` or `rare_snapshots` each schedule has stores.
    """
    rng = random.Random(f"schedule {seed}")
    tolerated = rng.choice((1, 1, 2))
    stores = rng.random() < STORES_FRACTION or changing_limits or rare_snapshots
    count = rng.randint(3, 12)
    faults = sorted((_draw_fault(rng, stores) for _ in range(count)), key=lambda fault: fault.at_s)
    return Schedule(seed, tolerated, tuple(faults), stores, changing_limits, rare_snapshots)


def _draw_fault(rng: random.Random, stores: bool) -> Fault:
    return Fault(
        at_s=round(rng.uniform(FIRST_S, LAST_S), 3),
        kind=_pick(rng, WEIGHTS),
        target=_pick(rng, TARGETS),
        point=_pick(rng, POINTS),
        duration_s=round(rng.choice((0.05, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0)) * rng.uniform(0.8, 1.2), 3),
        role=Role.STORE if stores and rng.random() < 0.6 else Role.CONTROL,
    )


_Option = TypeVar("_Option")


def _pick(rng: random.Random, weights: dict[_Option, int]) -> _Option:
    return rng.choices(list(weights), list(weights.values()))[0]
