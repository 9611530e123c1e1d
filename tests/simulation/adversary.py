"""Injects the faults of a schedule, each at the first moment that the fault tolerance allows.

The adversary owns which faults are armed, in progress or over. It never exceeds the tolerance, which
`Losses` accounts for; a fault that is not allowed yet is retried, and given up after `GIVE_UP_S`.
"""

import random
from collections.abc import Callable
from functools import partial

from pewterring.consensus.membership import address_of
from tests.simulation.losses import CATCH_UP_S, Losses
from tests.simulation.machines import Machine
from tests.simulation.network import OUTSIDE
from tests.simulation.schedule import GROUP_WIDE, HARMLESS, Fault, Kind, Point, Role, Target
from tests.simulation.world import Gateway, GroupMachine, World

PARTITION_AFTER_FREEZE_S = 0.4
# These points matter to all machines: the target need not be the machine that reached the point.
OUTSIDE_POINTS = {
    Point.ORDER_ACKED,
    Point.DRAIN_ACKED,
    Point.JOB_ACKED,
    Point.DECOMMISSIONED,
    Point.REPLACED,
    Point.MEMBERS,
    Point.MEMBERS_APPLIED,
}
RETRY_S = 0.02  # between checks whether a fault is allowed
POINT_S = 3.0  # after that time a fault no longer waits for its point
GIVE_UP_S = 8.0  # a fault that was not allowed by then is dropped
GROUP_BACK_S = (0.05, 0.9)  # processes that were killed all at once are back within a second
LOST_ANSWERS_FRACTION = 0.5  # of the answers to callers: half of the calls are sent again
REPLACED_S = (0.2, 3.0)  # from the loss of a machine to the start of its successor

ENDS_OF_MACHINES: dict[Kind, Callable[[Machine], None]] = {
    Kind.KILL: Machine.kill,
    Kind.POWER: Machine.lose_power,
    Kind.WIPE: Machine.wipe,
}


class Adversary:
    """Injects the faults of one run. `ended_s` is the virtual time at which the latest one ended."""

    def __init__(self, world: World, faults: tuple[Fault, ...], rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self.losses = Losses(world.tolerated)
        self.remaining = len(faults)
        self.in_progress = 0
        self.ended_s = 0.0
        self.log: list[str] = []
        self._armed: list[tuple[Fault, float]] = []
        self._ending: set[str] = set()  # IPs of machines that are shutting down for good
        world.hooks.append(self._reached)
        for fault in faults:
            world.loop.call_outside(fault.at_s, self._arm, fault)

    @property
    def done(self) -> bool:
        """Whether every fault has ended or was dropped."""
        return not self.remaining and not self.in_progress

    def _arm(self, fault: Fault) -> None:
        if fault.point is Point.NOW:
            self._begin_when_allowed(fault)
            return
        self._armed.append((fault, self._now + POINT_S))
        self._world.loop.call_outside(self._now + POINT_S, self._disarm, fault)

    def _disarm(self, fault: Fault) -> None:
        before = len(self._armed)
        self._armed = [armed for armed in self._armed if armed[0] is not fault]
        if len(self._armed) < before:
            self._begin_when_allowed(fault)

    def _reached(self, point: str, machine: Machine) -> None:
        for fault, _ in tuple(self._armed):
            if fault.point.value != point:
                continue
            if fault.kind not in GROUP_WIDE | HARMLESS:
                here = self._pick(fault.target, fault.role)
                if here is not machine and point not in OUTSIDE_POINTS:
                    continue
            if self._begin(fault):
                self._armed = [armed for armed in self._armed if armed[0] is not fault]

    def _begin_when_allowed(self, fault: Fault) -> None:
        if self._begin(fault):
            return
        if self._now > fault.at_s + GIVE_UP_S:
            self.remaining -= 1
            return
        self._world.loop.call_outside(self._now + RETRY_S, self._begin_when_allowed, fault)

    @property
    def _now(self) -> float:
        return self._world.loop.time()

    # Targets

    def _pick(self, target: Target, role: Role) -> GroupMachine | None:
        running = self._candidates(role, catching_up=target is Target.LOST)
        if not running:
            return None
        leader = self._world.leader(role)
        if target is Target.LEADER:
            return leader if leader in running else None
        if target is Target.FOLLOWER:
            running = [machine for machine in running if machine is not leader] or running
        if target is Target.OLDEST:
            return min(running, key=lambda machine: (machine.disk_created_s, machine.ip))
        if target is Target.NEWEST:
            return max(running, key=lambda machine: (machine.disk_created_s, machine.ip))
        return running[int(self._now * 1000) % len(running)]

    def _candidates(self, role: Role, catching_up: bool) -> list[GroupMachine]:
        """The machines without a fault that are catching up, or that are not."""
        return [
            machine
            for machine in self._world.present_machines(role)
            if machine.running
            and not self.losses.is_faulty(machine.ip)
            and machine.ip not in self._ending
            and self.losses.is_catching_up(machine.ip, self._now) is catching_up
        ]

    # Faults

    def _begin(self, fault: Fault) -> bool:
        """Begins the fault if it is allowed now; returns whether it did."""
        if fault.kind in HARMLESS:
            self._record_fault(fault, "")
            self.remaining -= 1
            self._begin_harmless(fault)
            return True
        if fault.kind in GROUP_WIDE:
            return self._begin_group_wide(fault)
        machine = self._pick(fault.target, fault.role)
        if machine is None or not self.losses.allows(machine.ip, self._now):
            return False
        self._record_fault(fault, machine.ip)
        self.remaining -= 1
        self.in_progress += 1
        if fault.kind is Kind.PLANNED:
            self._plan_replacement(machine)
            return True
        self.losses.begin(machine.ip)
        self._begin_loss(fault, machine)
        return True

    def _begin_loss(self, fault: Fault, machine: GroupMachine) -> None:
        match fault.kind:
            case Kind.KILL | Kind.POWER | Kind.WIPE:
                ENDS_OF_MACHINES[fault.kind](machine)
                self._later(fault.duration_s, lambda: self._restart(machine))
            case Kind.STOP:
                self._stop_for(machine, fault.duration_s)
            case Kind.REPLACE:
                self._replace(machine)
            case Kind.FREEZE:
                self._freeze(machine, fault.duration_s)
            case Kind.PARTITION_FREEZE:
                self._partition_and_freeze(fault, machine)
            case Kind.STUTTER:
                self._stutter(machine, self._now + fault.duration_s)
            case (
                Kind.PARTITION
                | Kind.PARTITION_INBOUND
                | Kind.PARTITION_OUTBOUND
                | Kind.ISOLATE
                | Kind.PARTITION_VOTERS
            ):
                self._partition(fault, machine)
            case _:
                self._harm(fault, machine)

    def _record_fault(self, fault: Fault, ip: str) -> None:
        self.log.append(
            f"{self._now:.4f} {fault.role.value} {ip} {fault.kind.value} for {fault.duration_s} "
            f"at {fault.point.value}"
        )

    def _later(self, after_s: float, action: Callable[[], object]) -> None:
        self._world.loop.call_outside(self._now + after_s, action)

    def _over(self, machine: GroupMachine) -> None:
        """Records that the machine is back."""
        if machine.running or machine.is_removed:
            self.losses.back(machine.ip, self._now)
        self._ended()

    def _ended(self) -> None:
        self.in_progress -= 1
        self.ended_s = self._now

    def _restart(self, machine: GroupMachine) -> None:
        self._world.start(machine)
        self._over(machine)

    def _restart_gateway(self, gateway: Gateway) -> None:
        self._world.start_gateway(gateway)
        self._ended()

    def _replace(self, machine: GroupMachine) -> None:
        """Loses a machine for good; its successor starts later."""
        machine.wipe()
        machine.removed_s = self._now
        self._later(self._rng.uniform(*REPLACED_S), lambda: self._succeed(machine))

    def _succeed(self, machine: GroupMachine) -> None:
        self._world.start(self._world.new_machine(machine.role))
        self._over(machine)

    def _stop_for(self, machine: GroupMachine, duration_s: float) -> None:
        self.log.append(f"{self._now:.4f} {machine.role.value} {machine.ip} is told to end")

        def ended() -> None:
            self.log.append(f"{self._now:.4f} {machine.role.value} {machine.ip} has ended")
            self._later(duration_s, lambda: self._restart(machine))

        self._world.stop(machine, ended)

    def _plan_replacement(self, machine: GroupMachine) -> None:
        """Starts the successor first: it has caught up when the old machine stops, which is no loss then."""
        successor = self._world.new_machine(machine.role)
        self._world.start(successor)
        self._later(CATCH_UP_S, lambda: self._remove(machine, successor))

    def _remove(self, machine: GroupMachine, successor: GroupMachine) -> None:
        if machine.is_removed or successor.is_removed:  # without a successor it stays
            self._ended()
            return
        lost = self.losses.is_faulty(machine.ip) or self.losses.counts(successor.ip, self._now)
        if not machine.running or lost:
            self._later(RETRY_S, lambda: self._remove(machine, successor))
            return
        self._ending.add(machine.ip)
        self.log.append(f"{self._now:.4f} {machine.role.value} {machine.ip} is told to end")

        def removed() -> None:
            if not machine.is_removed:
                machine.wipe()
                machine.removed_s = self._now
            self.log.append(f"{self._now:.4f} {machine.role.value} {machine.ip} is gone")
            self._ended()
            self._reached(Point.REPLACED.value, machine)

        self._world.stop(machine, removed)

    def _freeze(self, machine: GroupMachine, duration_s: float) -> None:
        process = machine.process
        assert process is not None
        process.frozen = True

        def thaw() -> None:
            self._world.loop.thaw(process)
            self._over(machine)

        self._later(duration_s, thaw)

    def _partition_and_freeze(self, fault: Fault, machine: GroupMachine) -> None:
        """Freezes a machine and partitions it for longer: it resumes before any other can reach it."""
        process = machine.process
        assert process is not None
        process.frozen = True
        self._later(fault.duration_s, lambda: self._world.loop.thaw(process))
        others = {other.ip for other in self._world.present_machines(machine.role)} - {machine.ip}
        blocked_paths = {(other, machine.ip) for other in others} | {(machine.ip, other) for other in others}
        self._block_paths(
            blocked_paths, fault.duration_s + PARTITION_AFTER_FREEZE_S, lambda: self._over(machine)
        )

    def _stutter(self, machine: GroupMachine, until: float) -> None:
        process = machine.process
        assert process is not None
        if self._now >= until or not process.alive:
            self._over(machine)
            return
        process.frozen = True

        def thaw() -> None:
            self._world.loop.thaw(process)
            self._later(self._rng.uniform(0.01, 0.3), lambda: self._stutter(machine, until))

        self._later(self._rng.uniform(0.05, 0.6), thaw)

    def _partition(self, fault: Fault, machine: GroupMachine) -> None:
        others = {other.ip for other in self._world.present_machines(machine.role)} - {machine.ip}
        if fault.kind is Kind.PARTITION_VOTERS and machine.group is not None:
            others &= {address_of(voter) for voter in machine.group.membership.voters}
        if fault.kind is Kind.ISOLATE:
            others |= {OUTSIDE, *self._world.gateways, *(each.ip for each in self._world.group_machines())}
            others.discard(machine.ip)
        into = (
            {(other, machine.ip) for other in others} if fault.kind is not Kind.PARTITION_OUTBOUND else set()
        )
        out = {(machine.ip, other) for other in others} if fault.kind is not Kind.PARTITION_INBOUND else set()
        self._block_paths(into | out, fault.duration_s, lambda: self._over(machine))

    def _block_paths(
        self, blocked_paths: set[tuple[str, str]], duration_s: float, then: Callable[[], object]
    ) -> None:
        network = self._world.network
        network.blocked_paths |= blocked_paths

        def heal() -> None:
            network.blocked_paths -= blocked_paths
            network.heal()
            then()

        self._later(duration_s, heal)

    def _harm(self, fault: Fault, machine: GroupMachine) -> None:
        """Degrades the disk or the link of a machine."""
        if fault.kind is Kind.SLOW_LINK:
            self._world.network.slow_ips.add(machine.ip)
        elif fault.kind is Kind.FULL_DISK:
            machine.fill_disk()
        machine.slow_disk = fault.kind is Kind.SLOW_DISK
        machine.stalled = fault.kind is Kind.STALLED_DISK

        def repair() -> None:
            self._world.network.slow_ips.discard(machine.ip)
            machine.repair_disk()
            self._over(machine)

        self._later(fault.duration_s, repair)

    def _begin_harmless(self, fault: Fault) -> None:
        world = self._world
        machine = self._pick(fault.target, fault.role) or world.present_machines()[0]
        gateway = tuple(world.gateways.values())[int(fault.at_s * 1000) % len(world.gateways)]
        if fault.kind is Kind.RESET:
            world.network.reset_some(machine.ip)
            return
        self.in_progress += 1
        if fault.kind is Kind.GATEWAY_PARTITION:
            blocked_paths = {(gateway.ip, machine.ip), (machine.ip, gateway.ip)}
            self._block_paths(blocked_paths, fault.duration_s, self._ended)
        elif fault.kind is Kind.GATEWAY_KILL:
            if gateway.running:
                gateway.kill()
            self._later(fault.duration_s, lambda: self._restart_gateway(gateway))
        else:
            self._lose_answers(fault.duration_s)

    def _lose_answers(self, duration_s: float) -> None:
        http = self._world.http
        http.lost_answers = LOST_ANSWERS_FRACTION

        def end() -> None:
            http.lost_answers = 0.0
            self._ended()

        self._later(duration_s, end)

    # Faults of the whole group

    def _begin_group_wide(self, fault: Fault) -> bool:
        machines = [machine for machine in self._world.present_machines(fault.role) if machine.running]
        if not machines:
            return False
        # A machine under planned removal does not come back: killed with the others, it is a loss.
        ending = sum(machine.ip in self._ending for machine in machines)
        free = self.losses.free(self._now) - ending
        if not self._allows_group_wide(fault.kind, ending, free):
            return False
        self._record_fault(fault, "")
        self.remaining -= 1
        if fault.kind is Kind.PARTITION_ALL:
            self._partition_group(fault, machines)
        else:
            self._end_all(fault.kind, machines, free if fault.kind is Kind.WIPE_AND_POWER else 0)
        return True

    def _allows_group_wide(self, kind: Kind, ending: int, free: int) -> bool:
        """Whether the tolerance allows the fault, with `free` more losses beside the `ending` machines."""
        if kind is Kind.PARTITION_ALL:
            return not self.losses.any_faulty
        if ending and free < 0:
            return False
        return kind is not Kind.WIPE_AND_POWER or free >= 1

    def _end_all(self, kind: Kind, machines: list[GroupMachine], wiped: int) -> None:
        """Ends all processes at once, and loses the `wiped` oldest disks."""
        machines.sort(key=lambda machine: (machine.disk_created_s, machine.ip))
        for position, machine in enumerate(machines):
            self.in_progress += 1
            self.losses.begin(machine.ip)
            if position < wiped:
                machine.wipe()
            elif kind is Kind.KILL_ALL:
                machine.kill()
            else:
                machine.lose_power()
            self._later(self._rng.uniform(*GROUP_BACK_S), partial(self._restart, machine))

    def _partition_group(self, fault: Fault, machines: list[GroupMachine]) -> None:
        ips = [machine.ip for machine in machines]
        for ip in ips:
            self.losses.begin(ip)
        self.in_progress += 1

        def over() -> None:
            for ip in ips:
                self.losses.back(ip, self._now)
            self._ended()

        self._block_paths(
            {(source, target) for source in ips for target in ips if source != target}, fault.duration_s, over
        )
