"""Stand-ins for model workers that decline, repeat answers late, reset connections, and run not all items."""

import asyncio
import contextlib
import json
import random
import secrets
from dataclasses import dataclass

from benchmarks.soak.report import Report
from pewterring.local.layout import HEARTBEAT_MS, WORKER_PORT, ZONES
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_fetch import fetch

SERVICE = "soak"
CAPACITY, QUEUE = 4, 1
WORK_S = (0.01, 0.04)  # of a request that may run once
EVENTS, EVENT_S = 5, 0.01  # of a stream and of an item
MEMORY_TOKENS = 100_000
REPEAT_SHARE = 0.03  # of the answers that are sent once more, in the place of the next one due
RESET_SHARE = 0.005  # of the requests whose connection is reset instead of an answer
FAIL_SHARE = 0.01  # of the items that are answered with 500
HEARTBEAT_TIMEOUT_S = 1.0


def text_of(request_id: str) -> list[str]:
    """The data of the events that answer a request."""
    return [f"{request_id}.{number}" for number in range(1, EVENTS + 1)]


@dataclass(slots=True)
class _Request:
    path: str
    headers: dict[str, str]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")

    @property
    def tokens(self) -> int:
        return sum(int(number) for number in self.headers.get("token-usage", "0,0").split(","))


class Worker:
    """One worker. Registers with control and answers requests until `stop`."""

    def __init__(self, ip: str, number: int, controls: list[str], report: Report, rng: random.Random) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.registered = asyncio.Event()
        self._ip = ip
        self._zone = ZONES[number % len(ZONES)]
        self._reports_load = number % 2 == 0
        self._controls = controls
        self._report = report
        self._rng = rng
        self._running = self._queued = 0
        self._slots = asyncio.Semaphore(CAPACITY)
        self._late: dict[asyncio.StreamWriter, bytes] = {}
        self._pool = WorkerPool()
        self._sequence = 0

    async def start(self) -> None:
        """Listens, and begins to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, self._ip, WORKER_PORT)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Ends without a word to control."""
        self._heartbeats.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._heartbeats
        self._server.close()
        self._pool.close()

    # Requests

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                pairs = (line.partition(":") for line in lines if line)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                await reader.readexactly(int(headers.get("content-length", "0")))
                writer.write(self._late.pop(writer, b""))
                await self._answer(_Request(first.split()[1], headers, reader, writer))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the caller closed the connection, or the run ends
        finally:
            self._late.pop(writer, None)
            writer.close()

    async def _answer(self, request: _Request) -> None:
        if request.headers.get("target-instance", self.id) != self.id:
            self._respond(request, "421 Misdirected Request", {"Not-Executed": "1"})
        elif request.tokens > MEMORY_TOKENS or (self._slots.locked() and self._queued >= QUEUE):
            self._report.workers["declined"] += 1
            self._respond(request, "503 Service Unavailable", {"Not-Executed": "1"})
        else:
            self._queued += 1
            async with self._slots:
                self._queued -= 1
                self._running += 1
                try:
                    await self._run(request)
                finally:
                    self._running -= 1

    async def _run(self, request: _Request) -> None:
        if self._rng.random() < RESET_SHARE:
            self._report.workers["reset"] += 1
            self._count_run(request)
            request.writer.transport.abort()
        elif request.path.startswith("/punch/"):
            self._count_run(request)
            await asyncio.sleep(self._rng.uniform(*WORK_S))
            self._respond(request, "200 OK", {"Response-Signature": self.id}, request.id.encode())
        elif request.path.startswith("/jobs/") and self._rng.random() < FAIL_SHARE:
            self._report.failures[request.id] += 1
            self._respond(request, "500 Internal Server Error", {})
        else:
            await self._stream(request)

    def _count_run(self, request: _Request) -> None:
        if request.path.startswith("/punch/"):
            self._report.runs[request.id] += 1

    async def _stream(self, request: _Request) -> None:
        writer = request.writer
        head = [
            "HTTP/1.1 200 OK", f"Request-Id: {request.id}", f"Response-Signature: {self.id}",
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked", *self._load_lines(),
        ]  # fmt: skip
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        last = request.headers.get("last-event-id", "0")
        for number, text in enumerate(text_of(request.id), 1):
            if number <= int(last):
                continue
            await asyncio.sleep(EVENT_S)
            data = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _respond(self, request: _Request, status: str, headers: dict[str, str], body: bytes = b"") -> None:
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {request.id}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        raw = ("\r\n".join([*lines, *self._load_lines()]) + "\r\n\r\n").encode("latin-1") + body
        request.writer.write(raw)
        if self._rng.random() < REPEAT_SHARE:
            self._report.workers["repeated"] += 1
            self._late[request.writer] = raw

    def _load_lines(self) -> list[str]:
        return [f"Instance-Load: {self._running},{self._queued},{CAPACITY}"] if self._reports_load else []

    # Heartbeats

    async def _send_heartbeats(self) -> None:
        turn = 0
        while True:
            if await self._send_heartbeat(self._controls[turn % len(self._controls)]):
                self.registered.set()
                await asyncio.sleep(HEARTBEAT_MS / 1000)
            else:
                turn += 1
                await asyncio.sleep(0.1)

    async def _send_heartbeat(self, control: str) -> bool:
        self._sequence += 1
        body = {
            "backend": SERVICE, "address": f"{self._ip}:{WORKER_PORT}", "zone": self._zone, "version": "v1",
            "capacity": CAPACITY, "state": "ready", "cold_remaining_ms": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self._sequence,
        }  # fmt: skip
        headers = [(b"Host", control.encode()), (b"Content-Type", b"application/json")]
        request = SendRequest(
            "POST", f"/v1/Instances.Heartbeat/{self.id}", headers, json.dumps(body).encode()
        )
        try:
            answer = await fetch(self._pool, control, request, 2, HEARTBEAT_TIMEOUT_S)
        except ExchangeError:
            return False
        return 200 <= answer.head.status < 300
