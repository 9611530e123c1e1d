"""Plays one schedule from the first start to the end, and judges it."""

import asyncio
import gc
import random
from dataclasses import dataclass, field

from pewterring.control.member_storage import GROUP
from pewterring.control.placement import FIRST_GROUP
from pewterring.distribution.messages import RegistrationState
from pewterring.distribution.tables import Tables
from tests.simulation.adversary import Adversary
from tests.simulation.batch import FINISH_S, BatchClient, Retirer
from tests.simulation.callers import Operator, Worker
from tests.simulation.history import Outcome
from tests.simulation.linearizability import NotLinearizable, check
from tests.simulation.losses import CATCH_UP_S
from tests.simulation.patches import installed
from tests.simulation.redundancy import Redundancy
from tests.simulation.schedule import On, Schedule
from tests.simulation.world import World

CALLERS_S = 0.5  # when operators and workers begin
WORKERS = 5
BATCH_CLIENTS = 2
CONFIRMED_S = 4.0  # `ack_ms`: an order is confirmed so soon after the last fault
LONGEST_S = 60.0  # no schedule goes on for longer
CONFIG_S = 1.0  # half of `config_ms`: gateways know a version so soon, where nothing is in trouble
DRAIN_S = 1.0  # half of `drain_ms`: and so soon that a worker has left
STEP_S = 0.25
CHANGE_S = 1.0  # a planned change of leader is over by then


@dataclass(slots=True)
class Verdict:
    """What a run showed."""

    schedule: Schedule
    violations: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    orders: int = 0  # acknowledged
    ended_s: float = 0.0
    repair_s: float = 0.0  # the longest time from the return of a machine to whole redundancy

    @property
    def failed(self) -> bool:
        """Whether anything was wrong."""
        return bool(self.violations)


class Run:
    """One schedule in one world."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.world = World(schedule.seed, schedule.tolerated, schedule.stores)
        self.adversary = Adversary(self.world, schedule.faults, random.Random(f"faults {schedule.seed}"))
        self.operators = [Operator(self.world, "a"), Operator(self.world, "b")]
        self.reader = Operator(self.world, "reader")
        self.clients = [BatchClient(self.world, f"j{number}") for number in range(BATCH_CLIENTS)]
        self.world.loop.call_outside(CALLERS_S, self._begin_callers)
        losses = self.adversary.losses
        self.redundancy = [Redundancy(self.world, losses, On.CONTROL, GROUP)]
        if schedule.stores:
            self.redundancy.append(Redundancy(self.world, losses, On.STORE, FIRST_GROUP))
        for redundancy in self.redundancy:
            self.world.loop.call_outside(CATCH_UP_S, redundancy.begin)
        self._failures: list[str] = []

    def _begin_callers(self) -> None:
        workers = [Worker(self.world, number) for number in range(1, WORKERS + 1)]
        works = [operator.work for operator in self.operators] + [worker.work for worker in workers]
        if self.schedule.stores:
            works += [client.work for client in self.clients] + [Retirer(self.world).work]
        for work in (*works, self.reader.read_often):
            self.world.loop.create_task(work())

    def play(self) -> Verdict:
        """Runs it all."""
        world = self.world
        with installed(world):
            while not self.adversary.done and world.loop.time() < LONGEST_S and not world.failed:
                world.run(world.loop.time() + STEP_S)
            if not self.adversary.done and not world.failed:
                self._failures.append("the faults did not come to an end")
            if not world.failed:
                self._judge_recovery()
        world.loop.close()
        violations = [*world.watch.violations, *world.loop.errors, *self._failures]
        if not violations:
            violations = self._judge_history()
        acknowledged = {order.state for order in world.history.orders if order.outcome is Outcome.DONE}
        repair_s = max(redundancy.longest_s for redundancy in self.redundancy)
        return Verdict(
            self.schedule, violations, self.adversary.log, len(acknowledged), world.loop.time(), repair_s
        )

    def _judge_recovery(self) -> None:
        """After the last fault: orders go on, and as many voters as wanted hold everything."""
        world = self.world
        healed = max(world.loop.time(), CATCH_UP_S)
        world.run(healed + CATCH_UP_S - STEP_S)
        committed = {group: world.watch.committed(group) for group in (GROUP, FIRST_GROUP)}
        world.run(healed + CATCH_UP_S)
        if world.failed:
            return
        confirmed = [
            order.ended
            for order in world.history.orders
            if order.outcome is Outcome.DONE and order.began >= healed
        ]
        if min(confirmed, default=healed + CATCH_UP_S) > healed + CONFIRMED_S:
            self._failures.append(f"no order was confirmed between {healed:.2f} and {world.loop.time():.2f}")
        self._judge_redundancy(On.CONTROL, committed[GROUP])
        if self.schedule.stores:
            self._judge_redundancy(On.STORE, committed[FIRST_GROUP])
        self._read_everywhere()

    def _judge_redundancy(self, on: On, committed: int) -> None:
        """A leader that a planned change takes away may leave the group without one for a moment."""
        failure = self._redundancy_failure(on, committed)
        end = self.world.loop.time() + CHANGE_S
        while failure and self.world.loop.time() < end and not self.world.failed:
            self.world.run(self.world.loop.time() + STEP_S)
            failure = self._redundancy_failure(on, committed)
        if failure:
            self._failures.append(failure)

    def _redundancy_failure(self, on: On, committed: int) -> str:
        leader = self.world.leader(on)
        wanted = 2 * self.world.tolerated + 1
        if leader is None or leader.group is None:
            return f"nobody leads the {on.value} machines"
        group = leader.group
        complete = [voter for voter in group.membership.voters if group.match(voter) >= committed]
        if len(complete) >= wanted:
            return ""
        return (
            f"{len(complete)} of {wanted} voters hold {committed}; the leader {group.member} knows "
            f"{group.membership} at {[group.match(voter) for voter in group.membership.voters]}"
        )

    def _read_everywhere(self) -> None:
        """Each machine is asked for what is current, once the operators have ended."""
        world = self.world
        for operator in (*self.operators, self.reader):
            operator.busy = False
        for client in self.clients:
            client.busy = False
        world.run(world.loop.time() + 1.2)
        if self.schedule.stores:
            self._finish_jobs(world.loop.time() + FINISH_S)
        self._judge_gateways()
        ips = [machine.ip for machine in world.core()]
        answers: list[object] = []

        async def read_all() -> None:
            for ip in ips:
                answers.append(await self.operators[0].read(ip))

        world.loop.call_outside(world.loop.time(), lambda: asyncio.ensure_future(read_all()))
        world.run(world.loop.time() + 1.0)
        if not world.failed and (len(answers) < len(ips) or None in answers):
            self._failures.append(f"reads at the end: {answers}")

    def _judge_gateways(self) -> None:
        """Once nothing changes any more, all gateways know the newest, and no worker that left."""
        world = self.world
        settled = world.loop.time() - DRAIN_S
        promised = world.history.acknowledged_before(world.loop.time() - CONFIG_S)
        for node in world.nodes.values():
            tables = node.subscriber.tables if node.subscriber is not None else Tables()
            if node.seen_version < promised:
                self._failures.append(f"{node.ip} has version {node.seen_version}, not {promised}")
            for worker in tables.workers.values():
                if (
                    worker.state == RegistrationState.READY
                    and world.watch.left.get(worker.id, settled) < settled
                ):
                    self._failures.append(f"{node.ip} takes {worker.id} for ready, which has left")

    def _finish_jobs(self, until: float) -> None:
        """All that was accepted is finished, and seen by its client."""
        unfinished = [""]
        while unfinished and self.world.loop.time() < until and not self.world.failed:
            self.world.run(self.world.loop.time() + 2 * STEP_S)
            unfinished = [text for client in self.clients for text in client.unfinished()]
        self._failures += unfinished

    def _judge_history(self) -> list[str]:
        try:
            check(self.world.history)
        except NotLinearizable as error:
            return [str(error)]
        return []


def play(schedule: Schedule) -> Verdict:
    """Plays a schedule. Collecting garbage waits until the end: it would run finalizers at any moment."""
    collecting = gc.isenabled()
    gc.disable()
    try:
        return Run(schedule).play()
    finally:
        if collecting:
            gc.enable()
