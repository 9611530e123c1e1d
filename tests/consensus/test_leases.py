"""Leases: the inequality that they rest on, at clocks of other rates and across changes of members."""

import random

import pytest

from pewterring.consensus.leader import LeaderRole
from pewterring.consensus.membership import encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Membership
from pewterring.consensus.raft import Raft
from tests.consensus.scenarios import read_and_write
from tests.consensus.simulated_members import TIMING, SafetyViolationError
from tests.consensus.simulation import Simulation

DRIFT = 0.1  # a clock that runs faster or slower by more than this is not allowed for


def test_a_lease_ends_before_a_vote_is_free() -> None:
    """By a slow clock of the leader, from the sending on; by a fast one of the voter, from the arrival on."""
    assert TIMING.lease_s / (1 - DRIFT) < TIMING.election_min_s / (1 + DRIFT)


def rival_at_other_rates(seed: int, drift: float) -> None:
    """The leader's clock goes slow and the others' fast; it is isolated, and they elect another."""
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


def rivals_at_other_rates(drift: float) -> None:
    for seed in range(20):
        rival_at_other_rates(seed, drift)


def test_no_stale_read_at_clocks_of_other_rates() -> None:
    rivals_at_other_rates(DRIFT)


def test_clocks_far_beyond_what_is_allowed_for_are_noticed() -> None:
    with pytest.raises(SafetyViolationError, match="reads at"):
        rivals_at_other_rates(4 * DRIFT)


class _ChangesFreely(LeaderRole):
    """Changes members while the change before, or the own term's first entry, is not committed."""

    def append_membership(self, membership: Membership) -> int:
        index = self.append(ENTRY_MEMBERS, bytes(encode_membership(membership)))
        self._set_members(membership)
        return index


class ChangesFreely(Raft):
    """Has majorities that do not overlap, so that a lease of the one lets the other elect."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _ChangesFreely(self._state, now)


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


def play_changes(seed: int, raft_class: type[Raft] = Raft, steps: int = 120) -> Simulation:
    """Members come and go one by one while links are cut and leaders get requests."""
    rng = random.Random(f"changes {seed}")
    simulation = Simulation(seed, 3, raft_class)
    for name in NAMES[3:]:
        simulation.join(name)
    for step in range(steps):
        _act(rng, simulation, step)
        simulation.run(rng.choice((0.01, 0.05, 0.1, 0.4)))
    simulation.check_converges()
    return simulation


def _act(rng: random.Random, simulation: Simulation, step: int) -> None:
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
            simulation.cut_links.add((name, rng.choice(NAMES)))
        case "heal":
            simulation.cut_links.clear()
        case "freeze":
            simulation.freeze(simulation.leader() or name)
        case "thaw":
            _thaw_all(simulation)


def _request_everywhere(simulation: Simulation, step: int) -> None:
    for each in NAMES:
        simulation.propose(f"{step} {each}", each)
        simulation.read(each)


def _partition(rng: random.Random, simulation: Simulation) -> None:
    side = rng.sample(NAMES, 2)
    for one in side:
        for other in set(NAMES) - set(side):
            simulation.disconnect(one, other)


def _thaw_all(simulation: Simulation) -> None:
    for frozen in NAMES:
        simulation.thaw(frozen, reading=True)


def _change(rng: random.Random, simulation: Simulation) -> None:
    """Takes in a member or lets one go, and at once another, at all that believe they lead."""
    for name in NAMES:
        for other in rng.sample(NAMES, 2):
            raft = simulation.members[name].raft
            if raft is None or not raft.is_leader:
                continue
            voters = raft.membership.voters
            rest = tuple(voter for voter in voters if voter != other)
            changed = rest if other in voters else (*voters, other)
            if len(changed) >= 2:
                simulation.change(Membership(changed), name)


def test_leases_across_changes_of_members() -> None:
    played = [play_changes(seed) for seed in range(10)]
    assert sum(simulation.completed_reads for simulation in played) > 100
    assert any(len(simulation.leader_raft().membership.voters) != 3 for simulation in played)


def test_changes_whose_majorities_do_not_overlap_are_caught() -> None:
    def play_all() -> None:
        for seed in range(60):
            play_changes(seed, ChangesFreely)

    with pytest.raises(SafetyViolationError, match=r"applied|lead in term|is committed|reads at"):
        play_all()
