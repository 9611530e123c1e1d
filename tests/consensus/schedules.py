"""Random schedules of faults and calls, drawn from a seed."""

import random

from pewterring.consensus.raft import Raft
from tests.consensus.simulated_members import Weather
from tests.consensus.simulation import Simulation


def play(seed: int, voters: int, steps: int, raft_class: type[Raft] = Raft) -> Simulation:
    """Plays a schedule and checks that the group comes to agree after it."""
    rng = random.Random(f"schedule {seed}")
    simulation = Simulation(seed, voters, raft_class)
    for step in range(steps):
        _act(rng, simulation, step)
        simulation.run(rng.choice((0.01, 0.05, 0.2, 0.7)))
    simulation.check_converges()
    return simulation


def _act(rng: random.Random, simulation: Simulation, step: int) -> None:
    names = list(simulation.members)
    name = rng.choice(names)
    kind = rng.choices(
        ("propose", "read", "crash", "start", "freeze", "thaw", "cut", "one way", "heal", "weather"),
        (12, 12, 3, 5, 2, 3, 2, 2, 3, 2),
    )[0]
    if kind == "propose":
        for number in range(rng.choice((1, 1, 5, 20))):
            simulation.propose(f"{step}.{number}", rng.choice((None, name)))
    elif kind == "read":
        for reader in names:
            simulation.read(reader)
    elif kind == "crash":
        simulation.crash(rng.choice((name, simulation.leader() or name)))
    elif kind == "start":
        for stopped in names:
            simulation.start(stopped)
    elif kind == "freeze":
        simulation.freeze(rng.choice((name, simulation.leader() or name)))
    elif kind == "thaw":
        for frozen in names:
            simulation.thaw(frozen)
    elif kind == "cut":
        simulation.cut_off(rng.choice((name, simulation.leader() or name)))
    elif kind == "one way":
        simulation.cuts.add((name, rng.choice(names)))
    elif kind == "heal":
        simulation.cuts.clear()
    elif kind == "weather":
        simulation.weather = rng.choice(
            (
                Weather(),
                Weather(lost=0.1, repeated=0.1, late=0.1),
                Weather(lost=0.3, repeated=0.3, late=0.3, sync_s=(0.001, 0.2)),
                Weather(delay_s=(0.01, 0.05), sync_s=(0.01, 0.1)),
            )
        )
