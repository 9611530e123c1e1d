"""A majority of control's disks is lost: one member goes on alone, others join, and gateways follow."""

import datetime

import pytest

from pewterring.consensus.recovery import RECOVERY_TERM_STEP
from pewterring.control.member_storage import FIRST_TAG
from pewterring.control.recovery import confirmation_of, read_survivor, recover
from tests.simulation.callers import Operator
from tests.simulation.history import Outcome
from tests.simulation.patches import installed
from tests.simulation.schedule import Role, Schedule
from tests.simulation.world import ControlMachine, World

CALLERS_S = 0.5
LOST_S = 6.0
DOWN_S = 1.0  # until the operator has recovered the survivor
WHOLE_S = 5.0  # from the recovery on; two machines join, one after the other
NOW = datetime.datetime(2026, 12, 2, tzinfo=datetime.UTC)


def recover_at(machine: ControlMachine) -> None:
    """What the operator's command does, on the machine's disk."""
    member = f"{machine.ip}#{FIRST_TAG}"
    recover(machine.disk, member, confirmation_of(read_survivor(machine.disk, member)), NOW)


@pytest.mark.parametrize("seed", range(1, 6))
def test_the_survivor_goes_on_and_gateways_follow_without_a_restart(seed: int) -> None:
    world = World(Schedule(seed, 1, ()))
    operator = Operator(world, "a")
    world.loop.call_outside(CALLERS_S, lambda: world.loop.create_task(operator.work()))
    with installed(world):
        world.run(LOST_S)
        survivor = world.leader(Role.CONTROL)
        assert isinstance(survivor, ControlMachine)
        assert survivor.group is not None
        former_term = survivor.group.term
        others = [machine for machine in world.machines.values() if machine is not survivor]
        operator.busy = False
        world.run(LOST_S + DOWN_S)
        acknowledged = world.history.acknowledged_before(LOST_S)
        for machine in others:
            machine.wipe()
        survivor.kill()
        recover_at(survivor)
        for machine in (survivor, *others):
            world.start(machine)
        operator.busy = True
        world.loop.call_outside(world.loop.time(), lambda: world.loop.create_task(operator.work()))
        world.run(LOST_S + DOWN_S + WHOLE_S)
        operator.busy = False
        world.run(world.loop.time() + 2.0)
    assert not world.failed, world.invariants.violations
    leader = world.leader(Role.CONTROL)
    assert leader is not None
    assert leader.group is not None
    assert leader.group.term > former_term + RECOVERY_TERM_STEP
    assert len(leader.group.membership.voters) == 3
    taken = [
        order.state.version
        for order in world.history.orders
        if order.outcome is Outcome.DONE and order.began_s > LOST_S + DOWN_S
    ]
    assert max(taken) > acknowledged
    for gateway in world.gateways.values():
        assert gateway.seen_version >= max(taken), "it follows the new leader in the same incarnation"
    world.loop.close()
