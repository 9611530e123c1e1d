"""A front that serves live requests of one route with simulated workers on loopback."""

import asyncio
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

from pewterring.admission.service import ServiceAdmission
from pewterring.configuration.model import Route, RouteType, WeightedService
from pewterring.distribution.messages import WorkerRecord
from pewterring.gateway.live_attempt import AdmittedRequest, LiveContext
from pewterring.gateway.live_request import LiveRequest
from pewterring.gateway.stall_detector import StallDetector
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.prompt import NO_PROMPT
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch
from pewterring.transport.http_request import RequestReader, ServerLimits, ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer

Behaviour = Callable[[ServerRequest, Responder], Awaitable[None]]
LIMITS = ServerLimits(16384, 4194304, 5.0, 60.0)
EVENT_STREAM_HEADERS = [(b"Response-Signature", b"stamp"), (b"Content-Type", b"text/event-stream")]
SIGNED_HEADERS = [(b"Response-Signature", b"stamp")]
TEST_TIMEOUT_S = 10.0
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nResponse-Signature: stamp\r\n"
UNFRAMED_STREAM = UNFRAMED_HEAD + b"Content-Type: text/event-stream\r\n\r\n"


def route(kind: RouteType, attempts: int = 2, resumable: bool = False) -> Route:
    services = (WeightedService("s", 1.0),)
    return Route("r", "h", "/p/", kind, services, 5000, 200, 0, attempts, True, resumable, 250)


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


@dataclass(frozen=True)
class RawAnswer:
    """Raw bytes that a worker answers with before it closes or resets the connection."""

    data: bytes
    reset: bool = False

    async def serve(
        self,
        on_request: Callable[[ServerRequest], None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        parser = RequestReader(LIMITS, 0.0)
        while (request := parser.feed(await reader.read(65536))) is None:
            pass
        on_request(request)
        writer.write(self.data)
        await writer.drain()
        if self.reset:
            option = struct.pack("ii", 1, 0)  # closing then discards unsent data and resets the connection
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        writer.close()


@dataclass
class Tier:
    """One front and its workers. `received_requests` are those at workers, with the worker's number."""

    route: Route
    behaviours: list[Behaviour | RawAnswer]
    received_requests: list[tuple[int, ServerRequest]] = field(default_factory=list)
    stalls: StallDetector = field(default_factory=StallDetector)
    pool: WorkerPool = field(default_factory=WorkerPool)
    admission: ServiceAdmission = field(default_factory=lambda: ServiceAdmission(1))
    request_arrived: asyncio.Event = field(default_factory=asyncio.Event)  # set when a worker gets a request
    timeout_s: float = TEST_TIMEOUT_S  # time from the request to its deadline
    servers: list[HttpServer] = field(default_factory=list)
    raw_servers: list[asyncio.Server] = field(default_factory=list)

    async def start(self) -> None:
        records = {}
        for number, behaviour in enumerate(self.behaviours):
            port = await self._start_worker(number, behaviour)
            address = f"127.0.0.1:{port}"
            records[f"w{number}"] = WorkerRecord(f"w{number}", "s", address, "z", 4, "ready")
        chooser = WorkerChooser("z", random.Random(1))
        chooser.update(records, None)
        for number in range(len(self.behaviours)):  # so that workers are chosen in this order
            chooser.workers[f"w{number}"].slowness = 1.0 + number
        self.context = LiveContext(self.pool, chooser, self.stalls, lambda *_: None)
        self.front = HttpServer(self.serve, lambda: LIMITS)
        await self.front.start("127.0.0.1", 0)
        self.servers.append(self.front)

    async def _start_worker(self, number: int, behaviour: Behaviour | RawAnswer) -> int:
        if isinstance(behaviour, RawAnswer):
            raw = await asyncio.start_server(
                partial(behaviour.serve, lambda request: self.received_requests.append((number, request))),
                "127.0.0.1",
                0,
            )
            self.raw_servers.append(raw)
            port: int = raw.sockets[0].getsockname()[1]
            return port
        server = HttpServer(self._recording_handler(number, behaviour), lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        self.servers.append(server)
        return server.port

    def _recording_handler(self, number: int, behaviour: Behaviour) -> Behaviour:
        async def handle(request: ServerRequest, responder: Responder) -> None:
            self.received_requests.append((number, request))
            self.request_arrived.set()
            await behaviour(request, responder)

        return handle

    async def serve(self, request: ServerRequest, responder: Responder) -> None:
        deadline = self.pool.now() + self.timeout_s
        admitted = AdmittedRequest(
            request, responder, self.route, "s", NO_PROMPT, deadline, self.admission, 10
        )
        await LiveRequest(self.context, admitted).run()

    async def request(self, *more: tuple[bytes, bytes]) -> WholeAnswer:
        headers = [(b"Host", b"h"), (b"Request-Id", b"7"), *more]
        request = SendRequest("POST", "/p/x?", headers, b"body", request_id=b"7")
        return await fetch(self.pool, f"127.0.0.1:{self.front.port}", request, 10, TEST_TIMEOUT_S)

    async def stop(self) -> None:
        self.pool.close()
        for server in self.servers:
            await server.stop()
        for raw in self.raw_servers:
            raw.close()
            await raw.wait_closed()


def run_scenario(tier: Tier, scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await tier.start()
        try:
            await asyncio.wait_for(scenario(), TEST_TIMEOUT_S)
        finally:
            await tier.stop()

    asyncio.run(run())


async def complete_stream(request: ServerRequest, responder: Responder) -> None:
    first = int(request.get(b"last-event-id") or b"0") + 1
    responder.begin(200, [(b"Request-Id", b"7"), *EVENT_STREAM_HEADERS])
    for number in range(first, 5):
        responder.write(event(number))
    responder.end()


async def truncated_stream(_request: ServerRequest, responder: Responder) -> None:
    responder.begin(200, [(b"Request-Id", b"7"), *EVENT_STREAM_HEADERS])
    responder.write(event(1) + event(2) + event(3)[:7])
    responder.abort()


async def decline(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(503, [(b"Not-Executed", b"1")])


async def answer_misdirected(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(421, [])


async def abort_at_once(_request: ServerRequest, responder: Responder) -> None:
    responder.abort()


async def answer_result(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(200, SIGNED_HEADERS, b"result")


async def answer_failure(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(500, SIGNED_HEADERS, b"failure")


async def never_answer(_request: ServerRequest, responder: Responder) -> None:
    await responder.finished()
