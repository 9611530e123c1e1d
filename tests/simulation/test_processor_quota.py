"""A processor share that is a quota: each process stands still for the rest of a tenth of a second, all day.

Leases, elections, heartbeats, relayed calls and the pause detector run on timers far longer than that. They
must not take a spent quota for a loss.
"""

from collections.abc import Iterable

import pytest

from tests.simulation.callers import Operator, Worker
from tests.simulation.history import Outcome
from tests.simulation.linearizability import check
from tests.simulation.machines import Machine
from tests.simulation.patches import installed
from tests.simulation.schedule import Role, Schedule
from tests.simulation.world import World

CALLERS_S = 0.5
BEGIN_S, END_S = 5.0, 12.0
PERIOD_S = 0.1
ACKNOWLEDGED_S = 2.0  # half of `ack_ms`


class Quotas:
    """Freezes each process for `spent_s` of every period, each with its own phase."""

    def __init__(self, world: World, machines: Iterable[Machine], spent_s: float) -> None:
        self._world = world
        self._spent_s = spent_s
        for number, machine in enumerate(machines):
            world.loop.call_outside(BEGIN_S + number * 0.013, self._spend, machine)

    def _spend(self, machine: Machine) -> None:
        now = self._world.loop.time()
        process = machine.process
        assert process is not None
        if now >= END_S or not process.alive:
            return
        process.frozen = True
        self._world.loop.call_outside(now + self._spent_s, self._world.loop.thaw, process)
        self._world.loop.call_outside(now + PERIOD_S, self._spend, machine)


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("spent_s", [0.05, 0.08])
def test_a_quota_that_is_spent_costs_no_leader_no_worker_and_no_order(seed: int, spent_s: float) -> None:
    world = World(Schedule(seed, 1, ()))
    operator = Operator(world, "a")
    workers = [Worker(world, number) for number in (1, 2)]
    works = [operator.work, *(worker.work for worker in workers)]
    world.loop.call_outside(CALLERS_S, lambda: [world.loop.create_task(work()) for work in works])
    Quotas(world, [*world.machines.values(), *world.gateways.values()], spent_s)
    with installed(world):
        world.run(BEGIN_S)
        leader = world.leader(Role.CONTROL)
        assert leader is not None
        assert leader.group is not None
        term = leader.group.term
        world.run(END_S)
        assert world.leader(Role.CONTROL) is leader
        assert leader.group.term == term
        operator.busy = False
        world.run(END_S + 1.5)
    world.loop.close()
    assert not world.failed, world.invariants.violations
    taken = [
        order
        for order in world.history.orders
        if order.outcome is Outcome.DONE and BEGIN_S < order.began_s < END_S
    ]
    assert len(taken) > 5
    assert max(order.ended_s - order.began_s for order in taken) < ACKNOWLEDGED_S
    check(world.history)
    for gateway in world.gateways.values():
        assert gateway.seen_version >= world.history.acknowledged_before(END_S)
