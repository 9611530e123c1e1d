"""The tier that the orders are played on: its processes, its workers, and calls to them."""

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from benchmarks.soak.fleet import PROC, Fleet, Member
from pewterring.local import sample
from pewterring.local.engine import StandInWorker, WorkerEndpoint
from pewterring.local.layout import HEARTBEAT_MS, ZONES, Layout
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch

CONNECTIONS = 64
EVENT_S = 0.01  # between events of the stand-in workers
POLL_S = 0.01
READY_TIMEOUT_S = 60.0
VERSION_METRIC = "pewterring_gateway_configuration_version "


class NotReadyError(Exception):
    """The tier does not reach a state in time; the text says which one."""


@dataclass(frozen=True, slots=True)
class Leaders:
    """How often a machine has become a leader so far."""

    control: int
    partition: int


class Tier:
    """Owns all processes, the workers, and the connections of the callers."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.fleet = Fleet(layout)
        self.pool = WorkerPool()
        self._workers = [
            StandInWorker(
                WorkerEndpoint(sample.SERVICE, address, ZONES[number % len(ZONES)]),
                layout.control_addresses(),
                HEARTBEAT_MS / 1000,
                EVENT_S,
            )
            for number, address in enumerate(layout.worker_addresses())
        ]

    async def start(self) -> None:
        """Starts all processes and workers."""
        await self.fleet.start_all()
        for worker in self._workers:
            await worker.start()

    async def stop(self) -> None:
        """Ends everything at once."""
        await self.fleet.kill_all()
        for worker in self._workers:
            await worker.stop()
        self.pool.close()

    async def call(
        self,
        address: str,
        first: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 2.0,
    ) -> WholeAnswer:
        """Sends one request. Raises ExchangeError."""
        method, _, target = first.partition(" ")
        sent = {"Host": sample.HOST, **(headers or {})}
        pairs = [(name.encode(), value.encode()) for name, value in sent.items()]
        request = SendRequest(method, target, pairs, body, sent.get("Request-Id", "").encode() or None)
        return await fetch(self.pool, address, request, CONNECTIONS, timeout_s)

    async def until_serving(self) -> None:
        """Waits until all gateways are ready and reach a leading store."""
        for member in self.fleet.of("gateway"):
            await self._until_status(member.ready, "GET /v1/readyz", 200)
            await self._until_status(member.front, "GET /v1/lots/none?after=0", 404)

    async def until_in_force(self, version: int) -> None:
        """Waits until all gateways serve with a version of the configuration."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for member in self.fleet.of("gateway"):
                while await self._version(member) < version:
                    await asyncio.sleep(POLL_S)

    def leaders(self) -> Leaders:
        """Counts the leaders in the logs of all processes."""
        counted: Counter[str] = Counter()
        for member in self.fleet.members:
            log = self.layout.folder_of(member.process) / "log"
            counted[member.process.program] += log.read_text(encoding="utf-8").count('"leadership_acquired"')
        return Leaders(counted["control"], counted["store"])

    def peak_memory_mb(self) -> dict[str, int]:
        """The most memory that a process of each program has taken since it started."""
        peaks: dict[str, int] = {}
        for member in self.fleet.members:
            if member.child is not None and member.child.returncode is None:
                program = member.process.program
                peaks[program] = max(peaks.get(program, 0), _peak_mb(member.child.pid))
        return peaks

    def leading_control(self) -> Member:
        """The control machine that became leader last."""
        return max(self.fleet.of("control"), key=self._led_last)

    async def restart_all(self) -> None:
        """Kills all processes and starts them again."""
        for member in self.fleet.members:
            await self.fleet.end(member, signal.SIGKILL)
        for member in self.fleet.members:
            await self.fleet.start(member)

    def _led_last(self, member: Member) -> float:
        log = self.layout.folder_of(member.process) / "log"
        lines = log.read_text(encoding="utf-8").splitlines()
        terms = [line.partition('"term":')[2] for line in lines if '"leadership_acquired"' in line]
        numbers = [term.strip().partition(",")[0].partition("}")[0] for term in terms]
        return max((float(number) for number in numbers), default=-1.0)

    async def _version(self, member: Member) -> int:
        try:
            answer = await self.call(member.ready, "GET /metrics")
        except ExchangeError:
            return 0
        lines = answer.body.decode().splitlines()
        return max(
            (int(float(each.split()[1])) for each in lines if each.startswith(VERSION_METRIC)), default=0
        )

    async def _until_status(self, address: str, first: str, expected: int) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while await self._status(address, first) != expected:
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise NotReadyError(f"{address} does not answer {first!r} with {expected}") from None

    async def _status(self, address: str, first: str) -> int:
        try:
            return (await self.call(address, first)).head.status
        except ExchangeError:
            return 0


def _peak_mb(pid: int) -> int:
    lines = (PROC / str(pid) / "status").read_text(encoding="ascii").splitlines()
    (peak,) = (line.split()[1] for line in lines if line.startswith("VmHWM:"))
    return int(peak) // 1024


def new_tier(network: str, folder: Path, gateways: int, stores: int) -> Tier:
    """Returns a tier that is not started yet."""
    return Tier(Layout(network, folder, gateways=gateways, stores=stores))
