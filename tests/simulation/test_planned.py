"""Planned replacements and restarts of each kind of group, with all tolerated losses at that instant."""

import pytest

from tests.simulation.named import DEPARTURE_TIMEOUT_S, STOPPED_AT_S, replacement_at_full_tolerance
from tests.simulation.patches import installed
from tests.simulation.play import Verdict, play
from tests.simulation.schedule import Fault, Kind, Role, Schedule, Target
from tests.simulation.world import SPARE_STORES, World

SEEDS = range(1, 4)
LEADERSHIP_TRANSFER_TIMEOUT_S = 0.3


@pytest.mark.parametrize("role", Role)
@pytest.mark.parametrize("tolerated", [1, 2])
def test_as_many_disks_as_may_be_lost_go_as_the_old_machine_ends(role: Role, tolerated: int) -> None:
    for seed in SEEDS:
        verdict = play(replacement_at_full_tolerance(seed, tolerated, role, STOPPED_AT_S))
        assert not verdict.violations, verdict
        assert sum("wipe" in entry and "replaced" in entry for entry in verdict.log) == tolerated
        removed_at = next(entry.split()[0] for entry in verdict.log if entry.endswith("is gone"))
        assert all(entry.startswith(removed_at) for entry in verdict.log if "wipe" in entry), (
            "at that instant"
        )


def stop_times(verdict: Verdict) -> tuple[float, float]:
    """Returns when a shutdown was requested, and when it was over."""
    requested_s = next(entry.split()[0] for entry in verdict.log if entry.endswith("is told to end"))
    ended_s = next(entry.split()[0] for entry in verdict.log if entry.endswith("has ended"))
    return float(requested_s), float(ended_s)


@pytest.mark.parametrize("target", [Target.LEADER, Target.FOLLOWER])
def test_a_plain_restart_without_a_spare_waits_for_nothing(target: Target) -> None:
    verdict = play(Schedule(1, 1, (Fault(6.0, Kind.STOP, target),)))
    assert not verdict.violations, verdict
    requested_s, ended_s = stop_times(verdict)
    assert ended_s - requested_s < LEADERSHIP_TRANSFER_TIMEOUT_S


@pytest.mark.parametrize("target", [Target.LEADER, Target.FOLLOWER])
def test_a_store_that_is_restarted_beside_a_spare_gives_it_the_vote_first(target: Target) -> None:
    verdict = play(Schedule(1, 1, (Fault(6.0, Kind.STOP, target, role=Role.STORE),), stores=True))
    assert not verdict.violations, verdict
    requested_s, ended_s = stop_times(verdict)
    assert ended_s - requested_s < DEPARTURE_TIMEOUT_S / 2


WARM_S = 5.0  # stores start within 0.3 s; the partition is placed, and its first copies are made


@pytest.mark.parametrize("tolerated", [1, 2])
def test_a_partition_keeps_a_warm_copy_on_a_spare_store(tolerated: int) -> None:
    world = World(Schedule(1, tolerated, (), stores=True))
    with installed(world):
        world.run(WARM_S)
        leader = world.leader(Role.STORE)
        assert leader is not None
        group = leader.group
        assert group is not None
        assert len(group.membership.voters) == 2 * tolerated + 1
        assert len(group.membership.learners) == SPARE_STORES
        assert all(group.match(learner) >= group.commit_index for learner in group.membership.learners)
    world.loop.close()
    assert not world.failed
