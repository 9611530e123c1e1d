"""Planned replacements read to the letter, of each kind of group, with the other losses at that instant."""

import pytest

from tests.simulation.named import PATIENCE_S, STOPPED_AT_S, replaced_to_the_letter
from tests.simulation.play import Verdict, play
from tests.simulation.schedule import Fault, Kind, On, Schedule, Target

SEEDS = range(1, 4)
LEADERSHIP_TRANSFER_TIMEOUT_S = 0.3


@pytest.mark.parametrize("on", On)
@pytest.mark.parametrize("tolerated", [1, 2])
def test_as_many_disks_as_may_be_lost_go_as_the_old_machine_ends(on: On, tolerated: int) -> None:
    for seed in SEEDS:
        verdict = play(replaced_to_the_letter(seed, tolerated, on, STOPPED_AT_S))
        assert not verdict.violations, verdict
        assert sum("wipe" in line and "replaced" in line for line in verdict.log) == tolerated
        gone = next(line.split()[0] for line in verdict.log if line.endswith("is gone"))
        assert all(line.startswith(gone) for line in verdict.log if "wipe" in line), "at that instant"


def stop_times(verdict: Verdict) -> tuple[float, float]:
    """When a machine was told to end, and when it had ended."""
    told = next(line.split()[0] for line in verdict.log if line.endswith("is told to end"))
    ended = next(line.split()[0] for line in verdict.log if line.endswith("has ended"))
    return float(told), float(ended)


@pytest.mark.parametrize("target", [Target.LEADER, Target.FOLLOWER])
def test_a_plain_restart_without_a_spare_waits_for_nothing(target: Target) -> None:
    verdict = play(Schedule(1, 1, (Fault(6.0, Kind.STOP, target),)))
    assert not verdict.violations, verdict
    told, ended = stop_times(verdict)
    assert ended - told < LEADERSHIP_TRANSFER_TIMEOUT_S


@pytest.mark.parametrize("target", [Target.LEADER, Target.FOLLOWER])
def test_a_store_that_is_restarted_beside_a_spare_gives_it_the_vote_first(target: Target) -> None:
    verdict = play(Schedule(1, 1, (Fault(6.0, Kind.STOP, target, on=On.STORE),), stores=True))
    assert not verdict.violations, verdict
    told, ended = stop_times(verdict)
    assert ended - told < PATIENCE_S / 2
