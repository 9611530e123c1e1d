"""Random schedules of faults and client calls, generated from a seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from pewterring.consensus.raft import Raft
from tests.consensus.simulated_members import FaultProfile
from tests.consensus.simulation import Simulation

STEP_INTERVALS_S = (0.01, 0.05, 0.2, 0.7)
FAULT_PROFILES = (
    FaultProfile(),
    FaultProfile(loss_rate=0.1, duplicate_rate=0.1, long_delay_rate=0.1),
    FaultProfile(loss_rate=0.3, duplicate_rate=0.3, long_delay_rate=0.3, sync_s=(0.001, 0.2)),
    FaultProfile(delay_s=(0.01, 0.05), sync_s=(0.01, 0.1)),
)


def run_schedule(seed: int, voters: int, steps: int, raft_class: type[Raft] = Raft) -> Simulation:
    """Runs a schedule, then checks that the group converges."""
    rng = random.Random(f"schedule {seed}")
    simulation = Simulation(seed, voters, raft_class)
    for number in range(steps):
        name = rng.choice(list(simulation.members))
        (action,) = rng.choices(tuple(STEP_WEIGHTS), tuple(STEP_WEIGHTS.values()))
        action(Step(rng, simulation, number, name))
        simulation.run(rng.choice(STEP_INTERVALS_S))
    simulation.check_converges()
    return simulation


@dataclass(frozen=True)
class Step:
    """One step of a schedule: a fault, its end, or client calls; some steps concern the member `name`."""

    rng: random.Random
    simulation: Simulation
    number: int
    name: str

    def _name_or_leader(self) -> str:
        return self.rng.choice((self.name, self.simulation.leader() or self.name))

    def propose(self) -> None:
        for command in range(self.rng.choice((1, 1, 5, 20))):
            self.simulation.propose(f"{self.number}.{command}", self.rng.choice((None, self.name)))

    def read(self) -> None:
        for member in list(self.simulation.members):
            self.simulation.read(member)

    def crash(self) -> None:
        self.simulation.crash(self._name_or_leader())

    def start(self) -> None:
        for member in list(self.simulation.members):
            self.simulation.start(member)

    def freeze(self) -> None:
        self.simulation.freeze(self._name_or_leader())

    def thaw(self) -> None:
        for member in list(self.simulation.members):
            self.simulation.thaw(member)

    def isolate(self) -> None:
        self.simulation.isolate(self._name_or_leader())

    def disconnect_one_way(self) -> None:
        self.simulation.blocked_links.add((self.name, self.rng.choice(list(self.simulation.members))))

    def heal(self) -> None:
        self.simulation.blocked_links.clear()

    def change_faults(self) -> None:
        self.simulation.faults = self.rng.choice(FAULT_PROFILES)


STEP_WEIGHTS: dict[Callable[[Step], None], int] = {
    Step.propose: 12,
    Step.read: 12,
    Step.crash: 3,
    Step.start: 5,
    Step.freeze: 2,
    Step.thaw: 3,
    Step.isolate: 2,
    Step.disconnect_one_way: 2,
    Step.heal: 3,
    Step.change_faults: 2,
}
