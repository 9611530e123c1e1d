"""Leader leases with clocks that drift, and across membership changes."""

import random

import pytest

from pewterring.consensus.leader import LeaderRole
from pewterring.consensus.membership import encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Membership
from pewterring.consensus.raft import Raft
from tests.consensus.scenarios import read_and_write
from tests.consensus.simulated_members import TIMING, SafetyViolationError
from tests.consensus.simulation import Simulation

DRIFT = 0.1  # maximum deviation of a clock's rate that leases tolerate


def test_a_lease_ends_before_voters_may_vote_again() -> None:
    """In the worst case: the leader's clock is slow and the voter's fast, and the heartbeat takes no time."""
    assert TIMING.lease_s / (1 - DRIFT) < TIMING.election_min_s / (1 + DRIFT)


def isolate_leader_with_drift(seed: int, drift: float) -> None:
    """Isolates a leader whose clock is slow, while the others, whose clocks are fast, elect a new one."""
    simulation = Simulation(seed, 3)
    simulation.run_until(lambda: simulation.leader() is not None and simulation.leader_raft().is_ready_leader)
    simulation.run(1.0)
    leader = simulation.leader() or ""
    for name in simulation.members:
        simulation.set_clock_rate(name, 1 - drift if name == leader else 1 + drift)
    simulation.run(1.0)
    simulation.isolate(leader)
    read_and_write(simulation, leader, 2.0)
    simulation.check_converges()


def isolate_leaders_with_drift(drift: float) -> None:
    for seed in range(20):
        isolate_leader_with_drift(seed, drift)


def test_no_read_is_stale_with_tolerated_clock_drift() -> None:
    isolate_leaders_with_drift(DRIFT)


def test_stale_reads_with_excessive_clock_drift_are_detected() -> None:
    with pytest.raises(SafetyViolationError, match="reads at"):
        isolate_leaders_with_drift(4 * DRIFT)


class _LeaderWithUncheckedChanges(LeaderRole):
    """Appends membership changes before the previous change, or the first entry of its term, is committed."""

    def append_membership(self, membership: Membership) -> int:
        index = self.append(ENTRY_MEMBERS, bytes(encode_membership(membership)))
        self._set_members(membership)
        return index


class UncheckedChanges(Raft):
    """Allows majorities that do not overlap, of which one can elect a leader during the lease of another."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _LeaderWithUncheckedChanges(self._state, now)


NAMES = ("a", "b", "c", "d", "e")
STEP_WEIGHTS = {
    "change": 8,
    "request": 10,
    "partition": 3,
    "one way": 2,
    "heal": 3,
    "freeze": 1,
    "thaw": 3,
}


def run_membership_changes(seed: int, raft_class: type[Raft] = Raft, steps: int = 120) -> Simulation:
    """Adds and removes members one by one, amid network partitions and requests."""
    rng = random.Random(f"changes {seed}")
    simulation = Simulation(seed, 3, raft_class)
    for name in NAMES[3:]:
        simulation.join(name)
    for step in range(steps):
        _take_step(rng, simulation, step)
        simulation.run(rng.choice((0.01, 0.05, 0.1, 0.4)))
    simulation.check_converges()
    return simulation


def _take_step(rng: random.Random, simulation: Simulation, step: int) -> None:
    (kind,) = rng.choices(tuple(STEP_WEIGHTS), tuple(STEP_WEIGHTS.values()))
    name = rng.choice(NAMES)
    match kind:
        case "change":
            _change(rng, simulation)
        case "request":
            _request_everywhere(simulation, step)
        case "partition":
            _partition(rng, simulation)
        case "one way":
            simulation.blocked_links.add((name, rng.choice(NAMES)))
        case "heal":
            simulation.blocked_links.clear()
        case "freeze":
            simulation.freeze(simulation.leader() or name)
        case "thaw":
            _thaw_all(simulation)


def _request_everywhere(simulation: Simulation, step: int) -> None:
    for name in NAMES:
        simulation.propose(f"{step} {name}", name)
        simulation.read(name)


def _partition(rng: random.Random, simulation: Simulation) -> None:
    minority = rng.sample(NAMES, 2)
    for name in minority:
        for other in set(NAMES) - set(minority):
            simulation.disconnect(name, other)


def _thaw_all(simulation: Simulation) -> None:
    for name in NAMES:
        simulation.thaw(name, reading=True)


def _change(rng: random.Random, simulation: Simulation) -> None:
    """Adds or removes two members in succession, at each member that believes it leads."""
    for name in NAMES:
        for other in rng.sample(NAMES, 2):
            raft = simulation.members[name].raft
            if raft is None or not raft.is_leader:
                continue
            voters = raft.membership.voters
            remaining = tuple(voter for voter in voters if voter != other)
            changed = remaining if other in voters else (*voters, other)
            if len(changed) >= 2:
                simulation.propose_membership(Membership(changed), name)


def test_leases_hold_across_membership_changes() -> None:
    simulations = [run_membership_changes(seed) for seed in range(10)]
    assert sum(simulation.completed_reads for simulation in simulations) > 100
    assert any(len(simulation.leader_raft().membership.voters) != 3 for simulation in simulations)


def test_changes_whose_majorities_do_not_overlap_are_detected() -> None:
    def run_seeds() -> None:
        for seed in range(60):
            run_membership_changes(seed, UncheckedChanges)

    with pytest.raises(SafetyViolationError, match=r"applied|lead in term|is committed|reads at"):
        run_seeds()
