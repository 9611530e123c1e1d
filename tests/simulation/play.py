"""Plays one schedule from the first start to the end, and judges the run.

`play` is the entry. Invariants are checked as the programs run (`watch.py`); here are the checks after the
last fault: recovery, redundancy, gateways, jobs and the linearizability of the history.
"""

import asyncio
import gc
import random
from dataclasses import dataclass, field

from pewterring.control.member_storage import GROUP
from pewterring.control.placement import FIRST_GROUP
from pewterring.distribution.messages import RegistrationState
from pewterring.distribution.tables import Tables
from tests.simulation.adversary import Adversary
from tests.simulation.batch import FINISH_S, BatchClient, StoreDecommissioner
from tests.simulation.callers import Operator, Worker
from tests.simulation.history import Outcome
from tests.simulation.linearizability import NotLinearizableError, check
from tests.simulation.losses import CATCH_UP_S
from tests.simulation.patches import installed
from tests.simulation.redundancy import Redundancy
from tests.simulation.schedule import Role, Schedule
from tests.simulation.world import World

CALLERS_S = 0.5  # when operators and workers begin
WORKERS = 5
BATCH_CLIENTS = 2
CONFIRMED_S = 4.0  # `ack_ms`: an order is acknowledged within that after the last fault
LONGEST_S = 60.0  # no schedule takes longer
CONFIG_S = 1.0  # half of `config_ms`: gateways have a new version within that, without faults
DRAIN_S = 1.0  # half of `drain_ms`: and know within that of a worker's departure
STEP_S = 0.25
CHANGE_S = 1.0  # a leadership transfer takes at most that


@dataclass(slots=True)
class Verdict:
    """The result of a run."""

    schedule: Schedule
    violations: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    orders: int = 0  # distinct ones that were acknowledged
    ended_s: float = 0.0
    repair_s: float = 0.0  # the longest time from the return of a machine to full redundancy

    @property
    def failed(self) -> bool:
        """Whether the run showed a violation."""
        return bool(self.violations)


class Run:
    """One schedule in one world."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.world = World(schedule)
        self.adversary = Adversary(self.world, schedule.faults, random.Random(f"faults {schedule.seed}"))
        self.operators = [Operator(self.world, "a"), Operator(self.world, "b")]
        self.reader = Operator(self.world, "reader")
        self.clients = [BatchClient(self.world, f"j{number}") for number in range(BATCH_CLIENTS)]
        self.world.loop.call_outside(CALLERS_S, self._begin_callers)
        losses = self.adversary.losses
        self.redundancy = [Redundancy(self.world, losses, Role.CONTROL, GROUP)]
        if schedule.stores:
            self.redundancy.append(Redundancy(self.world, losses, Role.STORE, FIRST_GROUP))
        for redundancy in self.redundancy:
            self.world.loop.call_outside(CATCH_UP_S, redundancy.begin)
        self._failures: list[str] = []

    def _begin_callers(self) -> None:
        workers = [Worker(self.world, number) for number in range(1, WORKERS + 1)]
        works = [operator.work for operator in self.operators] + [worker.work for worker in workers]
        if self.schedule.stores:
            works += [client.work for client in self.clients] + [StoreDecommissioner(self.world).work]
        for work in (*works, self.reader.read_often):
            self.world.loop.create_task(work())

    def play(self) -> Verdict:
        """Runs the schedule and returns the verdict."""
        world = self.world
        with installed(world):
            while not self.adversary.done and world.loop.time() < LONGEST_S and not world.failed:
                world.run(world.loop.time() + STEP_S)
            if not self.adversary.done and not world.failed:
                self._failures.append("the faults did not come to an end")
            if not world.failed:
                self._judge_recovery()
        world.loop.close()
        violations = [*world.invariants.violations, *world.loop.errors, *self._failures]
        if not violations:
            violations = self._judge_history()
        acknowledged = {order.state for order in world.history.orders if order.outcome is Outcome.DONE}
        repair_s = max(redundancy.longest_s for redundancy in self.redundancy)
        return Verdict(
            self.schedule, violations, self.adversary.log, len(acknowledged), world.loop.time(), repair_s
        )

    def _judge_recovery(self) -> None:
        """Checks that after the last fault orders are accepted and enough voters hold everything."""
        world = self.world
        healed = max(world.loop.time(), CATCH_UP_S)
        world.run(healed + CATCH_UP_S - STEP_S)
        committed = {group: world.invariants.committed(group) for group in (GROUP, FIRST_GROUP)}
        world.run(healed + CATCH_UP_S)
        if world.failed:
            return
        confirmed = [
            order.ended_s
            for order in world.history.orders
            if order.outcome is Outcome.DONE and order.began_s >= healed
        ]
        if min(confirmed, default=healed + CATCH_UP_S) > healed + CONFIRMED_S:
            self._failures.append(f"no order was confirmed between {healed:.2f} and {world.loop.time():.2f}")
        self._judge_redundancy(Role.CONTROL, committed[GROUP])
        if self.schedule.stores:
            self._judge_redundancy(Role.STORE, committed[FIRST_GROUP])
        self._read_everywhere()

    def _judge_redundancy(self, role: Role, committed: int) -> None:
        """Checks the redundancy; a leadership transfer may leave a group without leader for `CHANGE_S`."""
        failure = self._redundancy_failure(role, committed)
        end = self.world.loop.time() + CHANGE_S
        while failure and self.world.loop.time() < end and not self.world.failed:
            self.world.run(self.world.loop.time() + STEP_S)
            failure = self._redundancy_failure(role, committed)
        if failure:
            self._failures.append(failure)

    def _redundancy_failure(self, role: Role, committed: int) -> str:
        leader = self.world.leader(role)
        wanted = 2 * self.world.tolerated + 1
        if leader is None or leader.group is None:
            return f"nobody leads the {role.value} machines"
        group = leader.group
        complete = [voter for voter in group.membership.voters if group.match(voter) >= committed]
        if len(complete) >= wanted:
            return ""
        return (
            f"{len(complete)} of {wanted} voters hold {committed}; the leader {group.member} knows "
            f"{group.membership} at {[group.match(voter) for voter in group.membership.voters]}"
        )

    def _stop_callers(self) -> None:
        for operator in (*self.operators, self.reader):
            operator.busy = False
        for client in self.clients:
            client.busy = False

    def _read_everywhere(self) -> None:
        """Stops the callers, then reads the current configuration at each machine."""
        world = self.world
        self._stop_callers()
        world.run(world.loop.time() + 1.2)
        if self.schedule.stores:
            self._finish_jobs(world.loop.time() + FINISH_S)
        self._judge_gateways()
        ips = [machine.ip for machine in world.present_machines()]
        answers: list[object] = []

        async def read_all() -> None:
            for ip in ips:
                answers.append(await self.operators[0].read(ip))

        world.loop.call_outside(world.loop.time(), lambda: asyncio.ensure_future(read_all()))
        world.run(world.loop.time() + 1.0)
        if not world.failed and (len(answers) < len(ips) or None in answers):
            self._failures.append(f"reads at the end: {answers}")

    def _judge_gateways(self) -> None:
        """Checks that all gateways have the newest version, and no worker that has left."""
        world = self.world
        left_before = world.loop.time() - DRAIN_S
        promised = world.history.acknowledged_before(world.loop.time() - CONFIG_S)
        for gateway in world.gateways.values():
            tables = gateway.subscriber.tables if gateway.subscriber is not None else Tables()
            if gateway.seen_version < promised:
                self._failures.append(f"{gateway.ip} has version {gateway.seen_version}, not {promised}")
            for worker in tables.workers.values():
                if (
                    worker.state == RegistrationState.READY
                    and world.invariants.left.get(worker.id, left_before) < left_before
                ):
                    self._failures.append(f"{gateway.ip} takes {worker.id} for ready, which has left")

    def _finish_jobs(self, until: float) -> None:
        """Runs until the clients have all results of their accepted jobs, or until the deadline."""
        unfinished = [""]
        while unfinished and self.world.loop.time() < until and not self.world.failed:
            self.world.run(self.world.loop.time() + 2 * STEP_S)
            unfinished = [text for client in self.clients for text in client.unfinished()]
        self._failures += unfinished

    def _judge_history(self) -> list[str]:
        try:
            check(self.world.history)
        except NotLinearizableError as error:
            return [str(error)]
        return []


def play(schedule: Schedule) -> Verdict:
    """Plays a schedule. Garbage collection waits until the end: it would run finalizers at random moments."""
    collecting = gc.isenabled()
    gc.disable()
    try:
        return Run(schedule).play()
    finally:
        if collecting:
            gc.enable()
