"""Measures control: commits, times until acknowledgements and until all gateways are current, recovery.

    python -m benchmarks.control [--gateways 20] [--changes 50] [--seconds 3] [--parallel 64]
                                [--log-lengths 1000,10000,100000] [--folder DIR]

Three control programs run in processes of their own over loopback, with disks under DIR (a temporary folder
by default). Gateways and callers share one further process, whose own work is part of the times: until the
last of n gateways has a configuration, that process has read it n times. Each figure is printed on a line of
its own, and the load of the machine before and after.
"""

import argparse
import asyncio
import contextlib
import itertools
import multiprocessing
import os
import random
import socket
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection
from pathlib import Path

import msgspec
import orjson

from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState
from pewterring.control.calls import HEARTBEAT_PATH, REPLACE_PATH
from pewterring.control.commands import PutWorker, encode_command
from pewterring.control.messages import CONTROL_MESSAGES, RelayedAnswer, RelayedCall
from pewterring.control.program import ControlProgram
from pewterring.control.state import ControlState
from pewterring.distribution.messages import FEED_MESSAGES, NodeRecord, WorkerRecord
from pewterring.distribution.subscriber import FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.node.address import Address
from pewterring.node.settings import Bounds, NodeSettings
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.transport.lines import LinkPool, MessageCodec, TransportError
from tests.configuration.documents import numbered_routes

IPS = ("127.0.0.31", "127.0.0.32", "127.0.0.33")
GATEWAY_IP = "127.0.0.34"
CALL_S = 2.0
BATCH_ENTRIES = 1000  # saved together when a log is generated
ROUTES = 40  # of the configurations that are sent
MAX_LEADER_ATTEMPTS = 200  # to find the leader, of `CALL_S` each at most


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((IPS[0], 0))
        port: int = probe.getsockname()[1]
        return port


def _settings(ip: str, folder: Path, ports: tuple[int, int], program: str = "control") -> NodeSettings:
    internal, control = ports
    is_control = program == "control"
    return NodeSettings(
        node_id=f"{program}-{ip}",
        ip=ip,
        zone=f"z-{ip}",
        region="r",
        front=None,
        ready=None,
        control=Address(ip, control) if is_control else None,
        internal_port=internal,
        seeds=tuple(Address(seed, control) for seed in IPS),
        bootstrap=True,
        data_dir=folder / ip if is_control else None,
        heartbeat_s=60.0,  # nobody is silent for too long while it is measured
        tolerated_machines=1,
        memory_mb=256,
        max_descriptors=4096,
        cpu_share=1.0,
        disk_mb=100,
        bounds=Bounds(),
    )


def _run_control(settings: NodeSettings, end: Connection) -> None:
    """Runs a control program until the other end of the pipe ends it."""

    async def run() -> None:
        program = ControlProgram(settings)
        await program.start()
        await asyncio.get_running_loop().run_in_executor(None, end.recv)
        await program.stop()

    asyncio.run(run())


def _configuration(version: int) -> bytes:
    routes = numbered_routes(version, ROUTES)
    return orjson.dumps({"version": version, "routes": routes, "backends": [{"name": "s"}]})


def _heartbeat(number: int) -> tuple[str, bytes]:
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:80"
    body = {"backend": "s", "address": address, "capacity": 8, "state": "ready", "sequence": 1}
    return f"{HEARTBEAT_PATH}i-{number}", orjson.dumps(body)


class Callers:
    """Calls the leader by messages, and any machine by HTTP."""

    def __init__(self, ports: tuple[int, int]) -> None:
        self._control_port = ports[1]
        codec = MessageCodec((*CONTROL_MESSAGES, *FEED_MESSAGES))
        self._links = LinkPool(codec, ports[0], rng=random.Random(1))
        self._numbers = itertools.count(1)
        self._leader = IPS[0]
        self._round = (0, 0)  # the leader's newest, as it said last

    def close(self) -> None:
        self._links.close()

    async def by_lines(self, path: str, body: bytes, base: str = "") -> None:
        """Sends a call until it is acknowledged."""
        for ip in itertools.islice(itertools.cycle(IPS), MAX_LEADER_ATTEMPTS):
            with contextlib.suppress(TransportError):
                answer = await self._dated(path, body, base)
                if answer.status == 200:
                    return
            self._leader = ip
            await asyncio.sleep(0.02)
        raise SystemExit("no control machine acknowledges a call")

    async def _dated(self, path: str, body: bytes, base: str) -> RelayedAnswer:
        """Sends a call with a current term and round; returns the answer."""
        while True:
            message = RelayedCall("POST", path, base, body, *self._round)
            answer = await self._links.request(self._leader, message, CALL_S)
            assert isinstance(answer, RelayedAnswer)
            if not answer.too_old:
                return answer
            self._round = (answer.term, answer.round)

    async def register_by_lines(self) -> None:
        await self.by_lines(*_heartbeat(next(self._numbers)))

    async def register_by_http(self) -> None:
        """Registers a worker on a connection of its own, at any machine."""
        number = next(self._numbers)
        path, body = _heartbeat(number)
        reader, writer = await asyncio.open_connection(IPS[number % len(IPS)], self._control_port)
        head = f"POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        answer = await reader.read(-1)
        writer.close()
        if not answer.startswith(b"HTTP/1.1 200"):
            raise SystemExit(f"a registration was answered {answer[:40]!r}")


async def _rate(call: Callable[[], Awaitable[None]], parallel: int, seconds: float) -> float:
    """Returns the calls a second of that many callers, each of which waits for its answer."""
    done = 0
    end = time.monotonic() + seconds

    async def caller() -> None:
        nonlocal done
        while time.monotonic() < end:
            await call()
            done += 1

    await asyncio.gather(*(caller() for _ in range(parallel)))
    return done / seconds


class Gateways:
    """Nodes on the feed; records when the last of them has a version."""

    def __init__(self, count: int, folder: Path, ports: tuple[int, int]) -> None:
        codec = MessageCodec(FEED_MESSAGES)
        settings = _settings(GATEWAY_IP, folder, ports, "gateway")
        self._changed = asyncio.Event()
        self._subscribers = [
            FeedSubscriber(settings, codec, NodeReport(self._record(number)), self._on_tables)
            for number in range(count)
        ]

    @staticmethod
    def _record(number: int) -> Callable[[], NodeRecord]:
        return lambda: NodeRecord(f"edge-{number}", "gateway", GATEWAY_IP, "z", "x")

    def _on_tables(self, old: Tables, new: Tables) -> None:
        self._changed.set()

    async def start(self) -> None:
        for subscriber in self._subscribers:
            await subscriber.start()

    async def stop(self) -> None:
        for subscriber in self._subscribers:
            await subscriber.stop()

    async def until_all_have(self, version: int) -> float:
        while not all(self._has(subscriber, version) for subscriber in self._subscribers):
            self._changed.clear()
            await self._changed.wait()
        return time.monotonic()

    @staticmethod
    def _has(subscriber: FeedSubscriber, version: int) -> bool:
        configuration = subscriber.tables.configuration
        return configuration is not None and configuration.version >= version


async def _ack_times(callers: Callers, versions: range) -> list[float]:
    """Returns the milliseconds until each change is acknowledged, without gateways."""
    times = []
    for version in versions:
        sent_at = time.monotonic()
        await callers.by_lines(REPLACE_PATH, _configuration(version), str(version - 1))
        times.append(1000 * (time.monotonic() - sent_at))
    return times


async def _spread_times(callers: Callers, gateways: Gateways, versions: range) -> list[float]:
    """Returns the milliseconds until the last gateway has read each change."""
    times = []
    await gateways.until_all_have(versions.start - 1)
    for version in versions:
        sent_at = time.monotonic()
        everywhere = asyncio.create_task(gateways.until_all_have(version))
        await callers.by_lines(REPLACE_PATH, _configuration(version), str(version - 1))
        times.append(1000 * (await everywhere - sent_at))
    return times


def _print_times(name: str, values: list[float]) -> None:
    ordered = sorted(values)
    last = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    print(f"{name}: median {statistics.median(ordered):.2f} ms, 99th of 100 {last:.2f} ms, n {len(ordered)}")


async def _measure_cluster(arguments: argparse.Namespace, folder: Path, ports: tuple[int, int]) -> None:
    callers = Callers(ports)
    await callers.by_lines(REPLACE_PATH, _configuration(1), "0")
    first, count = 2, arguments.changes
    _print_times("configuration to acknowledgement", await _ack_times(callers, range(first, first + count)))
    gateways = Gateways(arguments.gateways, folder, ports)
    await gateways.start()
    times = await _spread_times(callers, gateways, range(first + count, first + 2 * count))
    _print_times(f"configuration to the last of {arguments.gateways} gateways in one process", times)
    await gateways.stop()
    for name, call in (
        ("commits a second, by lines at the leader", callers.register_by_lines),
        ("registrations a second, by HTTP over all machines", callers.register_by_http),
    ):
        rate = await _rate(call, arguments.parallel, arguments.seconds)
        print(f"{name}: {rate:.0f} ({arguments.parallel} callers)")
    callers.close()


def _make_log(folder: Path, length: int, member: str) -> None:
    """Writes a log of registrations, as of a member without a snapshot."""
    storage = DiskGroupStorage(FolderDisk(folder), "control")
    storage.load()
    storage.initialize(Membership((member,)))
    storage.save(HardState(1, member), None, ())
    for first in range(1, length + 1, BATCH_ENTRIES):
        numbers = range(first, min(first + BATCH_ENTRIES, length + 1))
        storage.save(None, None, [Entry(number, 1, "command", _registration(number)) for number in numbers])
    storage.close()


def _registration(number: int) -> msgspec.Raw:
    worker = WorkerRecord(f"i-{number % 800}", "s", f"10.0.{number % 800}.1:80", "z", number, "ready")
    return msgspec.Raw(encode_command(PutWorker(worker)))


async def _recovery_s(folder: Path, member: str) -> float:
    """Returns the seconds until a member with that log, the only voter, leads and has applied it."""
    leads = asyncio.Event()
    group = ReplicatedGroup(
        "control",
        member,
        GroupEnvironment(
            storage=DiskGroupStorage(FolderDisk(folder), "control"),
            machine=ControlState(),
            send=lambda message: None,
        ),
        callbacks=GroupCallbacks(on_leadership=lambda _: leads.set()),
    )
    began = time.monotonic()
    await group.start()
    read_at = time.monotonic()
    await leads.wait()
    leading_at = time.monotonic()
    await group.stop()
    print(f"  read in {read_at - began:.3f} s, then elected and applied in {leading_at - read_at:.3f} s")
    return leading_at - began


def _measure_recovery(folder: Path, lengths: list[int]) -> None:
    for length in lengths:
        log_folder = folder / f"log-{length}"
        _make_log(log_folder, length, "a#1")
        print(f"recovery of {length} entries: {asyncio.run(_recovery_s(log_folder, 'a#1')):.3f} s")


def _measure(arguments: argparse.Namespace, folder: Path) -> None:
    ports = (_free_port(), _free_port())
    ends = []
    processes = []
    for ip in IPS:
        ours, theirs = multiprocessing.Pipe()
        process = multiprocessing.Process(target=_run_control, args=(_settings(ip, folder, ports), theirs))
        process.start()
        ends.append(ours)
        processes.append(process)
    try:
        asyncio.run(_measure_cluster(arguments, folder, ports))
    finally:
        for end in ends:
            end.send(None)
        for process in processes:
            process.join()
    _measure_recovery(folder, [int(length) for length in arguments.log_lengths.split(",")])


def main() -> None:
    parser = argparse.ArgumentParser(description="Speed of control.")
    parser.add_argument("--gateways", type=int, default=20)
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--parallel", type=int, default=64)
    parser.add_argument("--log-lengths", default="1000,10000,100000")
    parser.add_argument("--folder", type=Path)
    arguments = parser.parse_args()
    print(f"load before: {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
        _measure(arguments, Path(folder))
    print(f"load after: {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
