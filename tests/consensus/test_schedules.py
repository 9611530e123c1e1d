"""Seeded schedules of crashes, frozen processes, partitions, message faults and slow disks."""

import pytest

from tests.consensus.schedules import run_schedule
from tests.consensus.simulation import Simulation

STEPS = 150


@pytest.mark.parametrize("voters", [1, 2, 3, 5])
def test_random_schedules_violate_no_invariant(voters: int) -> None:
    simulations = [run_schedule(seed, voters, STEPS) for seed in range(10)]
    assert all(simulation.acknowledged for simulation in simulations)
    assert sum(simulation.completed_reads for simulation in simulations) > 0


def test_members_with_lost_disks_are_replaced_under_load() -> None:
    """Machines lose their disks one after another, and a new member replaces each of them."""
    for seed in range(3):
        simulation = Simulation(seed)
        simulation.faults.loss_rate = 0.02
        for number, lost in enumerate(("a", "b", "c")):
            _commit_some(simulation, f"{number}")
            simulation.crash(lost)
            new = f"{lost}#2"
            simulation.join(new)
            _replace(simulation, lost, new)
            del simulation.members[lost]
        simulation.check_converges()
        assert set(simulation.leader_raft().membership.voters) == {"a#2", "b#2", "c#2"}
        assert len(simulation.acknowledged) > 90


def _commit_some(simulation: Simulation, prefix: str) -> None:
    for number in range(40):
        simulation.propose(f"{prefix}.{number}")
        simulation.run(0.05)


def _replace(simulation: Simulation, old: str, new: str) -> None:
    for step in range(400):
        if simulation.advance_replacement(old, new):
            return
        simulation.propose(f"while {new} joins {step}")
        simulation.run(0.05)
    raise AssertionError(f"{new} did not replace {old}")


def test_a_removed_leader_steps_down() -> None:
    simulation = Simulation(1)
    simulation.run_until(lambda: simulation.leader() is not None and simulation.leader_raft().is_ready_leader)
    old = simulation.leader() or ""
    membership = simulation.leader_raft().membership
    rest = tuple(voter for voter in membership.voters if voter != old)
    assert simulation.propose_membership(type(membership)(voters=rest))
    simulation.run_until(lambda: simulation.leader() in rest)
    simulation.run(3.0)
    raft = simulation.members[old].raft
    assert raft is not None
    assert not raft.is_leader
    assert raft.next_deadline() is None


def test_a_leader_sends_a_snapshot_to_a_member_that_was_down_for_long() -> None:
    simulation = Simulation(2)
    simulation.run_until(lambda: simulation.leader() is not None)
    absent = next(name for name in simulation.members if name != simulation.leader())
    simulation.crash(absent)
    for number in range(100):
        simulation.propose(f"{number} {'x' * 50}")
        simulation.run(0.05)
    simulation.start(absent)
    simulation.run(3.0)
    assert simulation.members[absent].disk.snapshot_index > 0
    simulation.check_converges()


def test_an_idle_group_keeps_its_leader() -> None:
    simulation = Simulation(3, voters=5)
    simulation.run_until(lambda: simulation.leader() is not None)
    simulation.run(60.0)
    assert len(simulation.leaders) == 1


def test_a_member_that_reconnects_after_a_long_partition_causes_no_election() -> None:
    simulation = Simulation(4)
    simulation.run_until(lambda: simulation.leader() is not None)
    leader = simulation.leader()
    absent = next(name for name in simulation.members if name != leader)
    simulation.isolate(absent)
    simulation.run(20.0)
    simulation.blocked_links.clear()
    simulation.run(5.0)
    assert simulation.leader() == leader
    assert len(simulation.leaders) == 1


def test_a_new_leader_is_elected_within_two_seconds_of_a_crash() -> None:
    for seed in range(20):
        simulation = Simulation(seed)
        simulation.run_until(lambda group=simulation: group.leader() is not None)  # type: ignore[misc]
        simulation.run(1.0)
        crashed = simulation.leader() or ""
        simulation.crash(crashed)
        assert simulation.run_while(lambda group=simulation: group.leader() is None, 2.0)  # type: ignore[misc]
