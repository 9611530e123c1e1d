"""Losses at the first instant that the deployment allows, always of the disks that have lasted longest.

A machine counts as lost until `catch_up_s` after it is back, or after its successor's start. The group must
be whole again in half of that, and nothing that was acknowledged may be lost.
"""

import pytest

from pewterring.consensus.membership_planner import ALL_SPARES
from tests.consensus.planned_simulation import CATCH_UP_S, PlannedSimulation
from tests.consensus.simulated_members import SafetyViolationError

HALF_S = CATCH_UP_S / 2
ROUNDS = 4
kinds = pytest.mark.parametrize("spare_learners", [0, 1, ALL_SPARES], ids=["none", "batch", "control"])
tolerated_losses = pytest.mark.parametrize("tolerated", [1, 2])


def started(seed: int, tolerated: int, spare_learners: int, spares: int = 0) -> PlannedSimulation:
    simulation = PlannedSimulation(seed, tolerated, spare_learners, spares)
    simulation.run_until(simulation.is_complete)
    simulation.write(0.5)
    return simulation


@kinds
@tolerated_losses
def test_the_oldest_disks_are_wiped_again_and_again(tolerated: int, spare_learners: int) -> None:
    for seed in range(2):
        simulation = started(seed, tolerated, spare_learners)
        for _ in range(ROUNDS):
            simulation.write(0.3)
            simulation.wipe(*simulation.oldest_voters(tolerated))
            back_at = simulation.now
            assert simulation.run_until_complete() < HALF_S
            simulation.write(back_at + CATCH_UP_S - simulation.now)
        simulation.check_converges()


@kinds
@tolerated_losses
def test_the_oldest_machines_are_replaced_one_after_the_other(tolerated: int, spare_learners: int) -> None:
    """The machines go for good at the instant of an acknowledgement; empty ones start a second later."""
    for seed in range(2):
        simulation = started(seed, tolerated, spare_learners)
        for number in range(ROUNDS):
            simulation.propose_and_wait(f"last words {number}")
            for name in simulation.oldest_voters(tolerated):
                simulation.lose_for_good(name)
            simulation.run(1.0)
            for new in range(tolerated):
                simulation.join(f"new{number}.{new}")
            started_at = simulation.now
            assert simulation.run_until_complete() < HALF_S
            simulation.write(started_at + CATCH_UP_S - simulation.now)
        simulation.check_converges()


@kinds
@tolerated_losses
def test_all_others_lose_power_as_the_oldest_disks_are_lost_at_an_acknowledgement(
    tolerated: int, spare_learners: int
) -> None:
    for seed in range(6):
        simulation = started(seed, tolerated, spare_learners, spares=1)
        simulation.propose_and_wait("last words")
        wiped = simulation.oldest_voters(tolerated)
        others = [name for name in simulation.members if name not in wiped]
        for name in others:
            simulation.crash(name, saves_lost=True)
        for name in wiped:
            simulation.lose_for_good(name)
        simulation.run(0.5)
        for name in others:
            simulation.start(name)
        for number in range(tolerated):
            simulation.join(f"{wiped[number]}#new")
        assert simulation.run_until_complete() < HALF_S
        simulation.check_converges()


@kinds
def test_a_planned_replacement_leaves_the_group_complete_before_the_next_loss(spare_learners: int) -> None:
    """The new machine starts, a second later the old one ends, and the next loss comes as soon as it may."""
    for seed in range(2):
        simulation = started(seed, 1, spare_learners)
        for number in range(ROUNDS):
            simulation.join(f"new{number}")
            started_at = simulation.now
            simulation.write(1.0)
            simulation.stop_for_good(simulation.oldest_voters()[0])
            assert simulation.run_until_complete() < HALF_S
            simulation.write(started_at + CATCH_UP_S - simulation.now)
        simulation.check_converges()


@kinds
def test_a_leader_is_wiped_at_each_point_of_a_change_of_members(spare_learners: int) -> None:
    """Another machine is already away for good; with two losses allowed the leader may go as well."""
    for point in range(12):
        simulation = started(point, 2, spare_learners, spares=1)
        follower = next(name for name in simulation.oldest_voters(5) if name != simulation.leader())
        simulation.lose_for_good(follower)
        simulation.write(1.2)
        simulation.run(point * 0.07)
        simulation.wipe(simulation.leader() or "")
        back_at = simulation.now
        assert simulation.run_until_complete() < HALF_S
        simulation.write(back_at + CATCH_UP_S - simulation.now)
        simulation.wipe(*simulation.oldest_voters(2))
        simulation.check_converges()


@kinds
@tolerated_losses
def test_others_are_wiped_the_instant_that_a_retirement_succeeds(tolerated: int, spare_learners: int) -> None:
    """While another voter was frozen the one that leaves was the only one beside the leader that held all."""
    for seed in range(3):
        simulation = started(seed, tolerated, spare_learners, spares=1)
        others = [name for name in simulation.oldest_voters(5) if name != simulation.leader()]
        simulation.freeze(others[0])
        simulation.decommissioning = {others[1]}
        simulation.write(1.0)
        simulation.thaw(others[0])
        while not simulation.is_complete():
            simulation.write(0.02)
        simulation.lose_for_good(others[1])
        simulation.decommissioning = set()
        simulation.wipe(*simulation.oldest_voters(tolerated))
        assert simulation.run_until_complete() < HALF_S
        simulation.check_converges()


def test_a_member_that_was_removed_and_returns_with_its_old_disk_does_not_count() -> None:
    simulation = started(1, 1, 0, spares=1)
    gone = next(name for name in simulation.oldest_voters(3) if name != simulation.leader())
    simulation.crash(gone)
    simulation.run(1.5)
    assert simulation.run_until_complete() < HALF_S
    assert gone not in simulation.leader_raft().membership.voters
    term = simulation.leader_raft().term
    simulation.start(gone)
    simulation.write(3.0)
    assert simulation.leader_raft().term == term, "it unsettles nobody"
    assert gone not in simulation.leader_raft().membership.voters
    other = next(name for name in simulation.oldest_voters(3) if name != simulation.leader())
    simulation.crash(other)
    simulation.isolate("spare0")
    simulation.command_count += 1
    before = len(simulation.acknowledged)
    simulation.propose("not by the one that was removed")
    simulation.run(0.6)
    assert len(simulation.acknowledged) == before
    simulation.check_converges()


def test_two_losses_at_once_are_more_than_one_may_bear() -> None:
    """The check itself: where the second loss comes too early, the group does not come back."""
    simulation = started(1, 1, 0)
    simulation.wipe(*simulation.oldest_voters(2))
    with pytest.raises(SafetyViolationError):
        simulation.check_converges()
