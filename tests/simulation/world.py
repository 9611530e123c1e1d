"""Control machines, stores and gateways in one virtual time.

The world owns the loop, the network and all machines, and starts and stops their programs. A program that
reports a fatal error is a violation.
"""

import random
from collections.abc import Callable
from functools import partial
from math import inf
from pathlib import Path
from typing import Any

from pewterring.batch.messages import BATCH_MESSAGES
from pewterring.batch.program import StoreProgram
from pewterring.consensus.group import ReplicatedGroup
from pewterring.control.program import ControlProgram
from pewterring.distribution.messages import FEED_MESSAGES, GroupStatus, NodeRecord
from pewterring.distribution.subscriber import FeedEnvironment, FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.gateway.batch_calls import BatchCalls
from pewterring.node.address import Address
from pewterring.node.settings import NodeSettings
from pewterring.transport.lines import LinkPool, MessageCodec
from tests.node_settings import addresses, node_settings
from tests.simulation.batch import Items, answer_batch_call
from tests.simulation.history import History
from tests.simulation.http import Http
from tests.simulation.machines import SAVE_S, Machine
from tests.simulation.network import Network
from tests.simulation.route_limits import LimitEras
from tests.simulation.schedule import Role, Schedule
from tests.simulation.virtual_loop import Process, VirtualLoop
from tests.simulation.watch import InvariantChecker

CONTROL_PORT = 8146
INTERNAL_PORT = 7660
START_S = (0.0, 0.3)  # machines of a new site start within that
FIRST_SEEDS = 3  # number of control machines that a settings file names
SEED_LAG_S = 3.0  # `seed_lag_s`: how old the operator's list is
HEARTBEAT_S = 1.0
GATEWAYS = 3
SPARE_STORES = 1
SNAPSHOT_AFTER_BYTES = 12_000  # so low that snapshots are common
RARE_SNAPSHOT_BYTES = 4_000_000  # more than the entries of a run
SNAPSHOT_CHUNK_BYTES = (1500, 100_000)  # many chunks, or one
CODEC = MessageCodec(FEED_MESSAGES)
BATCH_CODEC = MessageCodec(BATCH_MESSAGES)


class GroupMachine(Machine):
    """A machine whose program is a member of a replicated group."""

    role = Role.CONTROL
    added_s = 0.0  # virtual time of its addition; the operator's list lags behind
    removed_s = inf  # virtual time of its removal

    @property
    def is_removed(self) -> bool:
        """Whether it was removed for good."""
        return self.removed_s < inf

    @property
    def group(self) -> ReplicatedGroup | None:
        """The group of the process that runs now, or None."""
        return None


class ControlMachine(GroupMachine):
    """A machine that runs the control program."""

    program: ControlProgram | None = None

    @property
    def group(self) -> ReplicatedGroup | None:
        """The group of the process that runs now, or None."""
        return self.program.group if self.running and self.program is not None else None


class StoreMachine(GroupMachine):
    """A machine that runs the store program."""

    role = Role.STORE
    program: StoreProgram | None = None

    @property
    def group(self) -> ReplicatedGroup | None:
        """The group of the process that runs now, or None."""
        if not self.running or self.program is None:
            return None
        return next((partition.group for partition in self.program.partitions), None)


class Gateway(Machine):
    """A machine whose program follows the feed, and forwards batch calls."""

    subscriber: FeedSubscriber | None = None
    seen_version = 0


class World:
    """One run of a schedule: its seed, its size and what is special about it, but not its faults."""

    def __init__(self, schedule: Schedule) -> None:
        self.rng = random.Random(f"world {schedule.seed}")
        self.tolerated = tolerated = schedule.tolerated
        self.snapshot_after_bytes = RARE_SNAPSHOT_BYTES if schedule.rare_snapshots else SNAPSHOT_AFTER_BYTES
        self.loop = VirtualLoop()  # type: ignore[abstract]  # has no files and sockets
        self.network = Network(self.loop, self.rng)
        self.http = Http(self)
        self.history = History()
        self.limits = LimitEras(schedule.seed, schedule.changing_limits)
        self.invariants = InvariantChecker(self)
        self.machines: dict[str, ControlMachine] = {}
        self.stores: dict[str, StoreMachine] = {}
        self.gateways: dict[str, Gateway] = {}
        self.items = Items(self)
        self.save_s = self.rng.choice(SAVE_S)
        self.snapshot_chunk_bytes = self.rng.choice(SNAPSHOT_CHUNK_BYTES)
        self.hooks: list[
            Callable[[str, Machine], None]
        ] = []  # called with the name of each point and the machine that reached it
        self._last_ip = 0
        self._last_store_ip = 0
        first = [self.new_control() for _ in range(2 * tolerated + 1)]
        self.first_seeds = [machine.ip for machine in first[:FIRST_SEEDS]]
        self._start_all(first, 2 * tolerated + 1 + SPARE_STORES if schedule.stores else 0)

    def _start_all(self, first: list[ControlMachine], stores: int) -> None:
        """Starts all machines, each at its own moment. The order of the draws is part of a seed's run."""
        for machine in first:
            self.loop.call_outside(self.rng.uniform(*START_S), self.start, machine, True)
        for _ in range(stores):
            self.loop.call_outside(self.rng.uniform(*START_S), self.start, self.new_store())
        for number in range(1, GATEWAYS + 1):
            self._new_gateway(f"10.2.0.{number}")
        for gateway in self.gateways.values():
            self.loop.call_outside(self.rng.uniform(*START_S), self.start_gateway, gateway)

    # The process that runs now

    def process(self) -> Process:
        """The process that runs now."""
        process = self.loop.current
        assert process is not None
        return process

    def machine_of(self, process: Process) -> Any:
        """The machine on which a process runs."""
        return process.host

    def reach(self, point: str) -> None:
        """Tells the hooks that the process that runs now has reached a point."""
        self.reached(point, self.machine_of(self.process()))

    def reached(self, point: str, machine: Machine) -> None:
        """Tells the hooks that a machine has reached a point."""
        for hook in tuple(self.hooks):
            hook(point, machine)

    @property
    def failed(self) -> bool:
        """Whether the run has shown a violation."""
        return bool(self.invariants.violations or self.loop.errors)

    def run(self, until: float) -> None:
        """Runs until the virtual time `until`, or until the first violation."""
        self.loop.run_until(until, lambda: not self.failed)

    # Control

    def new_control(self) -> ControlMachine:
        """Adds a control machine with an empty disk, not started."""
        self._last_ip += 1
        ip = f"10.0.0.{self._last_ip}"
        machine = ControlMachine(ip, self.loop, self.network, self.rng, self.reached)
        machine.added_s = self.loop.time()
        machine.save_s = self.save_s
        self.machines[ip] = machine
        return machine

    def new_store(self) -> StoreMachine:
        """Adds a store with an empty disk, not started."""
        self._last_store_ip += 1
        ip = f"10.1.0.{self._last_store_ip}"
        machine = StoreMachine(ip, self.loop, self.network, self.rng, self.reached)
        self.stores[ip] = machine
        machine.save_s = self.save_s
        return machine

    def new_machine(self, role: Role) -> GroupMachine:
        """Adds a machine with an empty disk, not started."""
        return self.new_control() if role is Role.CONTROL else self.new_store()

    def present_machines(self, role: Role = Role.CONTROL) -> list[GroupMachine]:
        """Returns the machines of a role that were not removed for good."""
        machines = self.machines if role is Role.CONTROL else self.stores
        return [machine for machine in machines.values() if not machine.is_removed]

    def group_machines(self) -> list[GroupMachine]:
        """Returns all control machines and stores, removed ones included."""
        return [*self.machines.values(), *self.stores.values()]

    def start(self, machine: GroupMachine, bootstrap: bool = False) -> None:
        """Begins an incarnation of the machine's program, unless one runs."""
        if machine.running or machine.is_removed:
            return
        process = machine.new_process()
        begin = self._begin_control if isinstance(machine, ControlMachine) else self._begin_store
        self.loop.call_in(process, self.loop.time(), begin, machine, bootstrap)

    def _on_fatal_error(self, error: Exception) -> None:
        self.invariants.record_violation(f"{self.process().name} stopped: {error!r}")

    def _begin_control(self, machine: ControlMachine, bootstrap: bool) -> None:
        machine.program = None
        machine.program = ControlProgram(self._settings(machine.ip, bootstrap), self._on_fatal_error)
        self.loop.create_task(machine.program.start())

    def _begin_store(self, machine: StoreMachine, bootstrap: bool) -> None:
        machine.program = None
        process = self.process()
        machine.program = StoreProgram(
            self._settings(machine.ip, bootstrap),
            self._on_fatal_error,
            lambda: process.steady(self.loop.time()),
            random.Random(self.rng.random()),
        )
        self.loop.create_task(machine.program.start())

    def stop(self, machine: GroupMachine, then: Any) -> None:
        """Stops a program by plan: it gives up leadership and vote and ends; `then` is called outside.

        It is called however the process ends: a loss of power of the whole group may come meanwhile.
        """
        process = machine.process
        assert process is not None
        process.on_end.append(lambda: self.loop.call_outside(self.loop.time(), then))

        async def end() -> None:
            group = machine.group
            if isinstance(machine, ControlMachine | StoreMachine) and group is not None and group.is_started:
                assert machine.program is not None
                await machine.program.drain()
                await machine.program.stop()
            self.loop.call_outside(self.loop.time(), done)

        def done() -> None:
            if process.alive:
                machine.kill()

        self.loop.call_in(process, self.loop.time(), lambda: self.loop.create_task(end()))

    def leader(self, role: Role = Role.CONTROL) -> GroupMachine | None:
        """Returns the machine of the leader with the highest term, as far as members know."""
        leading = [
            (machine.group.term, machine)
            for machine in self.present_machines(role)
            if machine.group is not None and machine.group.is_leader
        ]
        return max(leading, key=lambda each: each[0])[1] if leading else None

    def known_control(self) -> list[str]:
        """Returns the operator's list of control machines, which is `SEED_LAG_S` old."""
        moment = self.loop.time() - SEED_LAG_S
        return [
            machine.ip
            for machine in self.machines.values()
            if machine.added_s <= max(0.0, moment) and machine.removed_s > moment
        ]

    def _seeds(self) -> list[str]:
        if self.loop.time() < SEED_LAG_S:
            return self.first_seeds
        known = self.known_control()
        return self.rng.sample(known, min(FIRST_SEEDS, len(known)))

    def _settings(self, ip: str, bootstrap: bool) -> NodeSettings:
        return node_settings(
            "node",
            ip,
            control=Address(ip, CONTROL_PORT),
            internal_port=INTERNAL_PORT,
            seeds=addresses(self._seeds(), CONTROL_PORT),
            bootstrap=bootstrap,
            data_dir=Path("/nowhere"),
            heartbeat_s=HEARTBEAT_S,
            tolerated_machines=self.tolerated,
            memory_mb=100,
            max_descriptors=1000,
            disk_mb=100,
        )

    # Gateways

    def _new_gateway(self, ip: str) -> None:
        self.gateways[ip] = Gateway(ip, self.loop, self.network, self.rng, self.reached)

    def start_gateway(self, gateway: Gateway) -> None:
        """Begins an incarnation of a gateway, unless one runs."""
        if gateway.running:
            return
        process = gateway.new_process()
        gateway.seen_version = 0
        self.loop.call_in(process, self.loop.time(), self._begin_gateway, gateway)

    def _begin_gateway(self, gateway: Gateway) -> None:
        process = self.process()
        record = NodeRecord(f"node-{gateway.ip}", "gateway", gateway.ip, "zone-1", process.name)
        subscriber = gateway.subscriber = FeedSubscriber(
            self._settings(gateway.ip, False),
            CODEC,
            NodeReport(lambda: record, self._no_status),
            lambda _, new: self._on_tables(gateway, new),
            FeedEnvironment(random.Random(self.rng.random()), lambda: process.steady(self.loop.time())),
        )
        self.loop.create_task(subscriber.start())
        links = LinkPool(BATCH_CODEC, INTERNAL_PORT, rng=random.Random(self.rng.random()))
        calls = BatchCalls(
            links,
            lambda: subscriber.tables,
            random.Random(self.rng.random()),
            lambda: process.steady(self.loop.time()),
        )
        self.http.listen(gateway.ip, process, partial(answer_batch_call, calls, subscriber))

    @staticmethod
    def _no_status() -> GroupStatus | None:
        return None

    def _on_tables(self, gateway: Gateway, tables: Tables) -> None:
        version = tables.configuration.version if tables.configuration is not None else 0
        if version < gateway.seen_version:
            self.invariants.record_violation(
                f"{gateway.ip} goes back from version {gateway.seen_version} to {version}"
            )
        gateway.seen_version = version
