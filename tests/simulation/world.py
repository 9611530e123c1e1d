"""Control machines, gateways, stores, operators and workers in one virtual time."""

import random
from math import inf
from pathlib import Path
from typing import Any

from loguru import logger

from pewterring.control.program import ControlProgram
from pewterring.distribution.messages import FEED_MESSAGES, GroupStatus, NodeRecord
from pewterring.distribution.subscriber import FeedSubscriber
from pewterring.distribution.tables import Tables
from pewterring.node.settings import Address, Bounds, NodeSettings
from pewterring.transport.lines import MessageCodec
from tests.simulation.history import History
from tests.simulation.http import Http
from tests.simulation.machines import Machine
from tests.simulation.network import Network
from tests.simulation.virtual_loop import Process, VirtualLoop
from tests.simulation.watch import Watch

CONTROL_PORT = 8146
INTERNAL_PORT = 7660
FIRST_SEEDS = 3  # so many control machines a settings file names
SEED_LAG_S = 3.0  # `seed_lag_s`: how old the operator's list is
HEARTBEAT_S = 1.0
GATEWAYS = 3
CODEC = MessageCodec(FEED_MESSAGES)


class ControlMachine(Machine):
    """A machine that runs the control program."""

    program: ControlProgram | None = None
    added_s = 0.0  # to the operator's list
    gone_s = inf  # for good

    @property
    def gone(self) -> bool:
        """Whether it never comes back."""
        return self.gone_s < inf


class Node(Machine):
    """A machine whose program follows the feed: a gateway or a store."""

    subscriber: FeedSubscriber | None = None
    seen_version = 0


class World:
    """One run. `tolerated` is how many control machines may be lost at once."""

    def __init__(self, seed: int, tolerated: int = 1) -> None:
        self.rng = random.Random(f"world {seed}")
        self.tolerated = tolerated
        self.loop = VirtualLoop()  # type: ignore[abstract]  # files and sockets are left out
        self.network = Network(self.loop, self.rng)
        self.http = Http(self)
        self.history = History()
        self.watch = Watch(self)
        self.machines: dict[str, ControlMachine] = {}
        self.nodes: dict[str, Node] = {}
        self.hooks: list[Any] = []  # called with the name of each point and the machine that reached it
        self.last_ip = 0
        first = [self.new_control() for _ in range(2 * tolerated + 1)]
        self.first_seeds = [machine.ip for machine in first[:FIRST_SEEDS]]
        for machine in first:
            self.loop.call_outside(self.rng.uniform(0.0, 0.3), self.start_control, machine, True)
        for number in range(1, GATEWAYS + 1):
            self._new_node(f"10.2.0.{number}")
        for node in self.nodes.values():
            self.loop.call_outside(self.rng.uniform(0.0, 0.3), self.start_node, node)

    # Whose turn it is

    def process(self) -> Process:
        """The process that runs now."""
        process = self.loop.current
        assert process is not None
        return process

    def machine_of(self, process: Process) -> Any:
        """Where a process runs."""
        return process.host

    def reach(self, point: str) -> None:
        """The process that runs now has come to a point at which something may happen to it."""
        self._reached(point, self.machine_of(self.process()))

    def _reached(self, point: str, machine: Machine) -> None:
        for hook in tuple(self.hooks):
            hook(point, machine)

    @property
    def failed(self) -> bool:
        """Whether the run has shown a fault."""
        return bool(self.watch.violations or self.loop.errors)

    def run(self, until: float) -> None:
        """Runs until then, or until something is wrong."""
        self.loop.run_until(until, lambda: not self.failed)

    # Control

    def new_control(self) -> ControlMachine:
        """A control machine with an empty disk, not started."""
        self.last_ip += 1
        ip = f"10.0.0.{self.last_ip}"
        machine = ControlMachine(ip, self.loop, self.network, self.rng, self._reached)
        machine.added_s = self.loop.time()
        self.machines[ip] = machine
        return machine

    def core(self) -> list[ControlMachine]:
        """The machines that are not gone for good."""
        return [machine for machine in self.machines.values() if not machine.gone]

    def start_control(self, machine: ControlMachine, bootstrap: bool = False) -> None:
        """Begins a life of the program."""
        if machine.running or machine.gone:
            return
        process = machine.new_process()
        machine.program = None
        self.loop.call_in(process, self.loop.time(), self._begin_control, machine, bootstrap)

    def _begin_control(self, machine: ControlMachine, bootstrap: bool) -> None:
        process = self.process()

        def failed(error: Exception) -> None:
            self.watch.violation(f"{process.name} stopped: {error!r}")

        machine.program = ControlProgram(self._settings(machine.ip, bootstrap), failed)
        self.loop.create_task(machine.program.start())

    def stop_control(self, machine: ControlMachine, then: Any) -> None:
        """A planned stop: the program hands over and ends; `then` is called outside."""
        process = machine.process
        assert process is not None

        async def end() -> None:
            program = machine.program
            if program is not None and program._group._raft is not None:
                await program.drain()
                await program.stop()
            self.loop.call_outside(self.loop.time(), done)

        def done() -> None:
            if process.alive:
                machine.kill()
                then()

        self.loop.call_in(process, self.loop.time(), lambda: self.loop.create_task(end()))

    def leader(self) -> ControlMachine | None:
        """Where the newest leader runs, as far as members know."""
        leading = [
            machine
            for machine in self.machines.values()
            if machine.running and machine.program is not None and machine.program._group.is_leader
        ]
        return max(
            leading, key=lambda machine: machine.program._group.term if machine.program else 0, default=None
        )

    def known_control(self) -> list[str]:
        """The operator's list of control machines, which lags."""
        moment = self.loop.time() - SEED_LAG_S
        return [
            machine.ip
            for machine in self.machines.values()
            if machine.added_s <= max(0.0, moment) and machine.gone_s > moment
        ]

    def _seeds(self) -> list[str]:
        if self.loop.time() < SEED_LAG_S:
            return self.first_seeds
        known = self.known_control()
        return self.rng.sample(known, min(FIRST_SEEDS, len(known)))

    def _settings(self, ip: str, bootstrap: bool) -> NodeSettings:
        return NodeSettings(
            node_id=f"node-{ip}",
            ip=ip,
            zone="zone-1",
            region="region",
            front=None,
            ready=None,
            control=Address(ip, CONTROL_PORT),
            internal_port=INTERNAL_PORT,
            seeds=tuple(Address(seed, CONTROL_PORT) for seed in self._seeds()),
            bootstrap=bootstrap,
            data_dir=Path("/nowhere"),
            heartbeat_s=HEARTBEAT_S,
            tolerated_machines=self.tolerated,
            memory_mb=100,
            max_descriptors=1000,
            cpu_share=1.0,
            disk_mb=100,
            bounds=Bounds(),
        )

    # Nodes that follow the feed

    def _new_node(self, ip: str) -> None:
        self.nodes[ip] = Node(ip, self.loop, self.network, self.rng, self._reached)

    def start_node(self, node: Node) -> None:
        """Begins a life of a gateway."""
        if node.running:
            return
        process = node.new_process()
        node.seen_version = 0
        self.loop.call_in(process, self.loop.time(), self._begin_node, node)

    def _begin_node(self, node: Node) -> None:
        process = self.process()
        record = NodeRecord(f"node-{node.ip}", "gateway", node.ip, "zone-1", process.name)
        node.subscriber = FeedSubscriber(
            self._settings(node.ip, False),
            CODEC,
            lambda: record,
            self._no_status,
            lambda old, new: self._swapped(node, new),
            random.Random(self.rng.random()),
        )
        self.loop.create_task(node.subscriber.start())

    @staticmethod
    def _no_status() -> GroupStatus | None:
        return None

    def _swapped(self, node: Node, tables: Tables) -> None:
        version = tables.configuration.version if tables.configuration is not None else 0
        if version < node.seen_version:
            self.watch.violation(f"{node.ip} goes back from version {node.seen_version} to {version}")
        node.seen_version = version


logger.disable("pewterring")
