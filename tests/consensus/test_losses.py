"""Disk and machine losses as early as the deployment allows them, each time of the oldest disks.

A machine counts as lost until `catch_up_s` after its return or after the start of its replacement. The group
must have its full number of voters again within half of that time, without losing an acknowledged command.
"""

import pytest

from pewterring.consensus.membership_planner import ALL_SPARES
from tests.consensus.planned_simulation import CATCH_UP_S, PlannedSimulation
from tests.consensus.simulated_members import SafetyViolationError

RECOVERY_TIMEOUT_S = CATCH_UP_S / 2
ROUNDS = 4
spare_learner_counts = pytest.mark.parametrize(
    "spare_learners", [0, 1, ALL_SPARES], ids=["none", "batch", "control"]
)
tolerated_losses = pytest.mark.parametrize("tolerated", [1, 2])


def start_group(seed: int, tolerated: int, spare_learners: int, spares: int = 0) -> PlannedSimulation:
    simulation = PlannedSimulation(seed, tolerated, spare_learners, spares)
    simulation.run_until(simulation.is_complete)
    simulation.write(0.5)
    return simulation


@spare_learner_counts
@tolerated_losses
def test_the_group_recovers_from_repeated_loss_of_the_oldest_disks(
    tolerated: int, spare_learners: int
) -> None:
    for seed in range(2):
        simulation = start_group(seed, tolerated, spare_learners)
        for _ in range(ROUNDS):
            simulation.write(0.3)
            simulation.wipe(*simulation.oldest_voters(tolerated))
            restarted_at = simulation.now
            assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
            simulation.write(restarted_at + CATCH_UP_S - simulation.now)
        simulation.check_converges()


@spare_learner_counts
@tolerated_losses
def test_the_group_recovers_from_repeated_loss_of_the_oldest_machines(
    tolerated: int, spare_learners: int
) -> None:
    """Machines are lost as soon as a command is acknowledged; empty replacements start a second later."""
    for seed in range(2):
        simulation = start_group(seed, tolerated, spare_learners)
        for number in range(ROUNDS):
            simulation.propose_and_wait(f"last words {number}")
            for name in simulation.oldest_voters(tolerated):
                simulation.lose_for_good(name)
            simulation.run(1.0)
            for new in range(tolerated):
                simulation.join(f"new{number}.{new}")
            started_at = simulation.now
            assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
            simulation.write(started_at + CATCH_UP_S - simulation.now)
        simulation.check_converges()


@spare_learner_counts
@tolerated_losses
def test_the_group_recovers_when_the_oldest_disks_are_lost_and_all_other_machines_lose_power(
    tolerated: int, spare_learners: int
) -> None:
    for seed in range(6):
        simulation = start_group(seed, tolerated, spare_learners, spares=1)
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
        assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
        simulation.check_converges()


@spare_learner_counts
def test_the_group_has_all_voters_after_a_planned_replacement_before_the_next_loss(
    spare_learners: int,
) -> None:
    """A new machine starts, the old one stops a second later, and the next loss is as early as allowed."""
    for seed in range(2):
        simulation = start_group(seed, 1, spare_learners)
        for number in range(ROUNDS):
            simulation.join(f"new{number}")
            started_at = simulation.now
            simulation.write(1.0)
            simulation.stop_for_good(simulation.oldest_voters()[0])
            assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
            simulation.write(started_at + CATCH_UP_S - simulation.now)
        simulation.check_converges()


@spare_learner_counts
def test_the_group_recovers_from_the_loss_of_its_leader_at_any_point_of_a_membership_change(
    spare_learners: int,
) -> None:
    """Another machine was lost before; as two losses are tolerated, the leader may be lost as well."""
    for point in range(12):
        simulation = start_group(point, 2, spare_learners, spares=1)
        follower = next(name for name in simulation.oldest_voters(5) if name != simulation.leader())
        simulation.lose_for_good(follower)
        simulation.write(1.2)
        simulation.run(point * 0.07)
        simulation.wipe(simulation.leader() or "")
        restarted_at = simulation.now
        assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
        simulation.write(restarted_at + CATCH_UP_S - simulation.now)
        simulation.wipe(*simulation.oldest_voters(2))
        simulation.check_converges()


@spare_learner_counts
@tolerated_losses
def test_disks_lost_right_after_a_decommissioning_lose_no_acknowledged_command(
    tolerated: int, spare_learners: int
) -> None:
    """While another voter was frozen, only the leader and the decommissioned voter had all entries."""
    for seed in range(3):
        simulation = start_group(seed, tolerated, spare_learners, spares=1)
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
        assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
        simulation.check_converges()


def test_a_removed_member_that_returns_with_its_old_disk_has_no_vote() -> None:
    simulation = start_group(1, 1, 0, spares=1)
    removed = next(name for name in simulation.oldest_voters(3) if name != simulation.leader())
    simulation.crash(removed)
    simulation.run(1.5)
    assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
    assert removed not in simulation.leader_raft().membership.voters
    term = simulation.leader_raft().term
    simulation.start(removed)
    simulation.write(3.0)
    assert simulation.leader_raft().term == term, "the removed member must cause no election"
    assert removed not in simulation.leader_raft().membership.voters
    other = next(name for name in simulation.oldest_voters(3) if name != simulation.leader())
    simulation.crash(other)
    simulation.isolate("spare0")
    simulation.command_count += 1
    before = len(simulation.acknowledged)
    simulation.propose("not committed with the removed member")
    simulation.run(0.6)
    assert len(simulation.acknowledged) == before
    simulation.check_converges()


def test_two_simultaneous_losses_are_detected_where_one_is_tolerated() -> None:
    """Verifies the check itself: the group does not recover if the second loss is too early."""
    simulation = start_group(1, 1, 0)
    simulation.wipe(*simulation.oldest_voters(2))
    with pytest.raises(SafetyViolationError):
        simulation.check_converges()
