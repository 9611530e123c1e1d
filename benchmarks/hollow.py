"""One control group before a hollow fleet: hundreds of feed sessions and workers in one process, on loopback.

    python benchmarks/hollow.py [--gateways 30 100 300 410] [--workers 80 300 800] [--seconds 6]

Three real control processes; sizes are paired in the order given, the last number of workers being repeated.
Hollow gateways keep a session on the feed and drop the tables; hollow workers send heartbeats over kept
connections, each to one control machine. For each size one line: processor time of the leader and of the
followers in parts of a core, their memory, the bytes a session gets and sends in a second while nothing
changes, and the time from the acknowledgement of a configuration to the last hollow gateway, which includes
that one process reads it for all. `start MB` is what all sessions got until all workers were known.
"""

import argparse
import asyncio
import contextlib
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

import msgspec

from pewterring.control.calls import HEARTBEAT_PATH, REPLACE_PATH
from pewterring.distribution.messages import (
    FEED_MESSAGES,
    NodeRecord,
    Renew,
    Renewed,
    Subscribe,
    TableChanges,
    WholeTables,
)
from pewterring.distribution.subscriber import RENEW_S
from pewterring.transport.channel import Channel
from pewterring.transport.lines import MessageCodec

CONTROL_IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
ZONES = 4
HEARTBEAT_S = 1.2
SETTLE_S = 3.0  # after all are there, before measuring
SERVICES = 19
ROUTES = 40
ANSWER_S = 2.0
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
CODEC = MessageCodec(FEED_MESSAGES)
HEADER = (
    "gateways workers leader followers  MB  got B/s sent B/s late beat-p99ms failed"
    " ack ms last ms start MB broken"
)


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as sock:
        sock.bind((CONTROL_IPS[0], 0))
        port: int = sock.getsockname()[1]
        return port


class CountingChannel(Channel):
    """A channel that counts bytes."""

    received_bytes = 0

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        super().data_received(data)


class Control:
    """The control processes."""

    def __init__(self, folder: Path) -> None:
        self.internal_port = free_port()
        self.http_port = free_port()
        self._processes = [self._start(folder, ip) for ip in CONTROL_IPS]

    def _start(self, folder: Path, ip: str) -> subprocess.Popen[bytes]:
        data = folder / ip
        data.mkdir()
        settings = folder / f"{ip}.conf"
        lines = {
            "node_id": f"control-{ip}",
            "ip": ip,
            "zone": "zone-0",
            "listen_addrs.control": f"{ip}:{self.http_port}",
            "ephemeral_ports": f"{self.internal_port},{self.internal_port + 1}",
            "seed_nodes": ",".join(f"{each}:{self.http_port}" for each in CONTROL_IPS),
            "bootstrap": "true",
            "data_dir": str(data),
            "heartbeat_ms": f"{HEARTBEAT_S * 1000:.0f}",
            "fault_tolerance.machines": "1",
        }
        settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        with (folder / f"{ip}.log").open("wb") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "pewterring", "control"],
                env={**os.environ, "PEWTERRING_CONFIG": str(settings)},
                stderr=log,
            )

    def stop(self) -> None:
        """Ends the processes."""
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.wait()

    def usage(self) -> dict[str, tuple[float, float]]:
        """Processor seconds so far and resident megabytes of each process."""
        found = {}
        for ip, process in zip(CONTROL_IPS, self._processes, strict=True):
            fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
            status = Path(f"/proc/{process.pid}/status").read_text()
            resident_kb = float(status.split("VmRSS:")[1].split()[0])
            found[ip] = ((int(fields[11]) + int(fields[12])) / TICKS_A_SECOND, resident_kb / 1024)
        return found


class HollowGateway:
    """One session on the feed."""

    def __init__(self, index: int, control: Control) -> None:
        ip = f"10.{index // 65536}.{index // 256 % 256}.{index % 256}"
        life = random.Random(index).randbytes(8).hex()
        self.record = NodeRecord(f"gateway-{index}", "gateway", ip, f"zone-{index % ZONES}", life)
        self.channel: CountingChannel | None = None
        self.configuration = 0
        self.configuration_at = 0.0
        self.sent_bytes = 0
        self.late_renewals = 0
        self._port = control.internal_port

    async def run(self, leader: str) -> None:
        """Subscribes and renews until it is cancelled."""
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(
            lambda: CountingChannel(CODEC, self._pushed), leader, self._port
        )
        self.channel = channel
        answer = await channel.request(Subscribe(self.record), ANSWER_S)
        if not isinstance(answer, WholeTables):
            raise RuntimeError(f"not the leader: {answer}")
        await asyncio.sleep(random.uniform(0, RENEW_S))
        renew = Renew(self.record)
        size = len(CODEC.line(renew, 1))
        while not channel.closed:
            try:
                answer = await channel.request(renew, ANSWER_S)
                self.late_renewals += not isinstance(answer, Renewed)
            except Exception:
                self.late_renewals += 1
            self.sent_bytes += size
            await asyncio.sleep(RENEW_S)

    def _pushed(self, channel: Channel, message: object) -> None:
        if isinstance(message, TableChanges) and message.versions.configuration > self.configuration:
            self.configuration = message.versions.configuration
            self.configuration_at = time.monotonic()


class HollowWorker:
    """One worker that sends heartbeats over a kept connection."""

    failures: ClassVar[int] = 0  # of all workers
    latencies: ClassVar[list[float]] = []

    def __init__(self, index: int, control: Control) -> None:
        self._index = index
        self._port = control.http_port

    async def run(self, ips: tuple[str, ...]) -> None:
        """Sends heartbeats until it is cancelled."""
        ip = ips[self._index % len(ips)]
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        reader, writer = await connect_patiently(ip, self._port)
        sequence = 0
        while True:
            sequence += 1
            body = msgspec.json.encode(self._heartbeat(sequence))
            began = time.monotonic()
            status, _ = await post(reader, writer, f"{HEARTBEAT_PATH}i-{self._index}", body)
            HollowWorker.latencies.append(time.monotonic() - began)
            HollowWorker.failures += status != 200
            await asyncio.sleep(HEARTBEAT_S)

    def _heartbeat(self, sequence: int) -> dict[str, object]:
        return {
            "backend": f"service-{self._index % SERVICES}",
            "address": f"10.200.{self._index // 250}.{self._index % 250}:8080",
            "zone": f"zone-{self._index % ZONES}",
            "version": "v1",
            "capacity": 24,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": sequence,
        }


async def connect_patiently(ip: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection to a process that may not listen yet."""
    while True:
        try:
            return await asyncio.open_connection(ip, port)
        except OSError:
            await asyncio.sleep(0.2)


async def post(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: str, body: bytes, headers: str = ""
) -> tuple[int, bytes]:
    """One call over a kept connection."""
    head = f"POST {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    writer.write(head.encode() + body)
    answer = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = int(answer.split(b"content-length:")[1].split()[0])
    return int(answer.split()[1]), await reader.readexactly(length)


def configuration(version: int) -> bytes:
    """An operator's configuration of `ROUTES` routes and `SERVICES` services."""
    routes = [
        {
            "name": f"r-{number}",
            "hostname": "hollow.example",
            "path_prefix": f"/route-{number}/",
            "route_type": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 200,
            "priority": 0,
            "backend": f"service-{number % SERVICES}",
            "max_attempts": 2,
        }
        for number in range(ROUTES)
    ]
    services = [
        {"name": f"service-{number}", "health_check": "/healthz", "max_connections": 200}
        for number in range(SERVICES)
    ]
    return msgspec.json.encode({"version": version, "routes": routes, "backends": services})


async def find_leader(control: Control) -> str:
    """The leader's IP, once there is one."""
    while True:
        for ip in CONTROL_IPS:
            with contextlib.suppress(Exception):
                gateway = HollowGateway(0, control)
                loop = asyncio.get_running_loop()
                _, channel = await loop.create_connection(
                    lambda: CountingChannel(CODEC, None), ip, control.internal_port
                )
                answer = await channel.request(Subscribe(gateway.record), ANSWER_S)
                channel.close()
                if isinstance(answer, WholeTables):
                    return ip
        await asyncio.sleep(0.2)


@dataclass
class Reach:
    """Seconds from the start of the call and from its acknowledgement to the last gateway."""

    acknowledged: float
    last: float


async def replace_configuration(
    control: Control, leader: str, gateways: list[HollowGateway], version: int
) -> Reach:
    """Sends a configuration and waits until all hollow gateways have it."""
    reader, writer = await asyncio.open_connection(leader, control.http_port)
    began = time.monotonic()
    headers = f"Base-Version: {version - 1}\r\n"
    status, answer = await post(reader, writer, REPLACE_PATH, configuration(version), headers)
    acknowledged = time.monotonic()
    writer.close()
    if status != 200:
        raise RuntimeError(f"configuration refused: {status} {answer!r}")
    while any(gateway.configuration < version for gateway in gateways):
        await asyncio.sleep(0.002)
    last = max(gateway.configuration_at for gateway in gateways)
    return Reach(acknowledged - began, last - acknowledged)


async def measure(gateway_count: int, worker_count: int, seconds: float, to_leader: bool) -> str:
    """One size; a line of figures."""
    with tempfile.TemporaryDirectory() as folder:
        control = Control(Path(folder))
        tasks: list[asyncio.Task[None]] = []
        try:
            async with asyncio.timeout(30):
                leader = await find_leader(control)
            HollowWorker.failures = 0
            gateways = [HollowGateway(index + 1, control) for index in range(gateway_count)]
            workers = [HollowWorker(index, control) for index in range(worker_count)]
            ips = (leader,) if to_leader else CONTROL_IPS
            for gateway in gateways:
                tasks.append(asyncio.create_task(gateway.run(leader)))
                await asyncio.sleep(0.002)
            tasks.extend(asyncio.create_task(worker.run(ips)) for worker in workers)
            await asyncio.sleep(SETTLE_S)
            await replace_configuration(control, leader, gateways, 1)
            await asyncio.sleep(SETTLE_S)
            start_mb = _session_bytes(gateways)[0] / 1e6
            line = await _observe(control, leader, gateways, seconds)
            reaches = [
                await replace_configuration(control, leader, gateways, version) for version in range(2, 6)
            ]
            broken = sum(task.done() for task in tasks)
            acknowledged = max(reach.acknowledged for reach in reaches) * 1000
            last = max(reach.last for reach in reaches) * 1000
            reach = f"{acknowledged:6.0f} {last:7.0f}"
            return f"{gateway_count:8} {worker_count:7} {line} {reach} {start_mb:8.1f} {broken:6}"
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            control.stop()


async def _observe(control: Control, leader: str, gateways: list[HollowGateway], seconds: float) -> str:
    HollowWorker.latencies.clear()
    before, bytes_before, began = control.usage(), _session_bytes(gateways), time.monotonic()
    await asyncio.sleep(seconds)
    past = time.monotonic() - began
    after, bytes_after = control.usage(), _session_bytes(gateways)
    cores = {ip: (after[ip][0] - before[ip][0]) / past for ip in CONTROL_IPS}
    followers = max(core for ip, core in cores.items() if ip != leader)
    memory = max(resident for _, resident in after.values())
    received = (bytes_after[0] - bytes_before[0]) / past / len(gateways)
    sent = (bytes_after[1] - bytes_before[1]) / past / len(gateways)
    late = sum(gateway.late_renewals for gateway in gateways)
    slowest = sorted(HollowWorker.latencies)[int(0.99 * len(HollowWorker.latencies))] * 1000
    return (
        f"{cores[leader]:6.3f} {followers:8.3f} {memory:6.0f} {received:8.0f} {sent:8.0f} {late:4}"
        f" {slowest:8.1f} {HollowWorker.failures:6}"
    )


def _session_bytes(gateways: list[HollowGateway]) -> tuple[int, int]:
    received = sum(gateway.channel.received_bytes for gateway in gateways if gateway.channel is not None)
    return received, sum(gateway.sent_bytes for gateway in gateways)


def _sizes(gateways: list[int], workers: list[int]) -> Iterator[tuple[int, int]]:
    for index, count in enumerate(gateways):
        yield count, workers[min(index, len(workers) - 1)]


def main() -> None:
    """Prints one line a size."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--gateways", type=int, nargs="+", default=[30, 100, 300, 410])
    parser.add_argument("--workers", type=int, nargs="+", default=[80, 300, 800])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--to-leader", action="store_true", help="all workers call the leader")
    options = parser.parse_args()
    print(HEADER)
    for gateways, workers in _sizes(options.gateways, options.workers):
        print(asyncio.run(measure(gateways, workers, options.seconds, options.to_leader)), flush=True)


if __name__ == "__main__":
    main()
