"""Two guards whose situation needs exact timing: each is made here by hand, with the guard and without it."""

from collections.abc import Callable, Coroutine
from functools import partial

import pytest

from tests.simulation.breakages import Breakage, own_unsaved_counted, votes_again_at_once
from tests.simulation.callers import Operator
from tests.simulation.linearizability import NotLinearizableError, check
from tests.simulation.machines import Machine
from tests.simulation.patches import installed
from tests.simulation.schedule import Point, Role, Schedule
from tests.simulation.world import GroupMachine, World

CALLERS_S = 0.5
BEGIN_S = 4.0  # three voters are complete by then
RESTARTS, RESTART_INTERVAL_S = 12, 0.17
FULL_S = 1.5
RECOVERY_S = 4.0
SEEDS = range(1, 9)


def leader_and_followers(world: World) -> tuple[GroupMachine, list[GroupMachine]]:
    """Returns the machine that leads, and the others."""
    leader = world.leader(Role.CONTROL)
    assert leader is not None
    return leader, [machine for machine in world.present_machines() if machine is not leader]


def violations_of_restarted_voter(seed: int) -> list[str]:
    """One follower hears only the other one, which is killed and restarted as the leader counts on it."""
    world = World(Schedule(seed, 1, ()))
    with installed(world):
        world.run(BEGIN_S)
        leader, (candidate, voter) = leader_and_followers(world)
        world.network.blocked_paths |= {(leader.ip, candidate.ip), (candidate.ip, leader.ip)}
        for _ in range(RESTARTS):
            world.run(world.loop.time() + RESTART_INTERVAL_S)
            voter.kill()
            world.start(voter)
    world.loop.close()
    return [*world.invariants.violations, *world.loop.errors]


def violations_of_full_disks(seed: int) -> list[str]:
    """Only one follower's disk has room; at the next acknowledgement it is lost, the others lose power."""
    world = World(Schedule(seed, 1, ()))
    operator, reader = Operator(world, "a"), Operator(world, "reader")
    for work in (operator.work, reader.read_often):
        world.loop.call_outside(CALLERS_S, partial(_begin, world, work))
    with installed(world):
        world.run(BEGIN_S)
        leader, (saving, full) = leader_and_followers(world)
        leader.disk.capacity = full.disk.capacity = 0
        strike = Strike(world, lost=saving, powerless=(leader, full))
        world.hooks.append(strike.on_point)
        world.run(BEGIN_S + FULL_S)
        strike.is_due = False
        leader.repair_disk()
        full.repair_disk()
        world.run(BEGIN_S + FULL_S + RECOVERY_S)
        operator.busy = reader.busy = False
        world.run(world.loop.time() + 1.5)
    world.loop.close()
    violations = [*world.invariants.violations, *world.loop.errors]
    try:
        check(world.history)
    except NotLinearizableError as error:
        violations.append(str(error))
    return violations


def _begin(world: World, work: Callable[[], Coroutine[object, object, None]]) -> None:
    world.loop.create_task(work())


class Strike:
    """Takes one disk and the power of other machines, once, when an operator has got an acknowledgement."""

    def __init__(self, world: World, lost: GroupMachine, powerless: tuple[GroupMachine, ...]) -> None:
        self.is_due = True
        self._world = world
        self._lost = lost
        self._powerless = powerless

    def on_point(self, point: str, _machine: Machine) -> None:
        """Strikes at once where the point is an acknowledgement."""
        if self.is_due and point == Point.ORDER_ACKED.value:
            self.is_due = False
            self._world.loop.call_outside(self._world.loop.time(), self._strike)

    def _strike(self) -> None:
        self._lost.wipe()
        for machine in self._powerless:
            machine.lose_power()
            machine.repair_disk()
        for machine in (self._lost, *self._powerless):
            self._world.start(machine)


SCENARIOS = {
    "votes at once after a restart": (votes_again_at_once, violations_of_restarted_voter),
    "own unsaved entries counted": (own_unsaved_counted, violations_of_full_disks),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_guard_holds_and_without_it_the_scenario_fails(name: str) -> None:
    breakage: Breakage
    breakage, scenario = SCENARIOS[name]
    assert [scenario(seed) for seed in SEEDS] == [[] for _ in SEEDS]
    with breakage():
        assert any(scenario(seed) for seed in SEEDS)
