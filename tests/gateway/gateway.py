"""A gateway and simulated workers on loopback, in virtual time. Tables are applied without control."""

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

from pewterring.configuration.model import (
    ClientLimits,
    Configuration,
    Engine,
    Route,
    RouteType,
    Service,
    WeightedService,
)
from pewterring.distribution.messages import WorkerRecord
from pewterring.distribution.subscription import FeedSubscription
from pewterring.distribution.tables import Tables
from pewterring.gateway.batch_calls import BatchCalls
from pewterring.gateway.program import GatewayProgram
from pewterring.node.address import Address
from pewterring.node.settings import Bounds, NodeSettings
from pewterring.routing.prompt import Prompt
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch
from pewterring.transport.http_request import ServerLimits, ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer
from tests.node_settings import node_settings
from tests.transport.http_stand_ins import Wire
from tests.transport.virtual_time import now

IP = "127.0.0.1"
TEST_TIMEOUT_S = 60.0
LIMITS = ServerLimits(65536, 4194304, 60.0, 600.0)
SIGNED_HEADERS = [(b"Response-Signature", b"stamp"), (b"Request-Id", b"7")]
EVENT_STREAM_HEADERS = [*SIGNED_HEADERS, (b"Content-Type", b"text/event-stream")]
GRACE_S = 8.0

Behaviour = Callable[[ServerRequest, Responder], Awaitable[None]]


def route(
    kind: RouteType = RouteType.IDEMPOTENT, prefix: str = "/p/", timeout_ms: float = 5000, **changed: Any
) -> Route:
    default = Route(
        "r", "h", prefix, kind, (WeightedService("s", 1.0),), timeout_ms, 200, 0, 2, token_gap_target_ms=250
    )
    return replace(default, **changed)


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


async def answer_result(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(200, SIGNED_HEADERS, b"result")


async def never_answer(_request: ServerRequest, responder: Responder) -> None:
    await responder.finished()


async def slow_stream(_request: ServerRequest, responder: Responder) -> None:
    """Sends one event per second until the client disconnects."""
    responder.begin(200, EVENT_STREAM_HEADERS)
    number = 0
    while not responder.disconnected:
        number += 1
        responder.write(event(number))
        await asyncio.sleep(1.0)


@dataclass
class Gateway:
    """One gateway, its workers and clients, and what the workers received."""

    program: GatewayProgram
    routes: tuple[Route, ...]
    client_pool: WorkerPool = field(default_factory=lambda: WorkerPool(now=now))
    received_requests: list[ServerRequest] = field(default_factory=list)
    request_arrived: asyncio.Event = field(default_factory=asyncio.Event)  # set when a worker gets a request
    released_at: list[float] = field(default_factory=list)  # when workers' connections closed during requests
    servers: list[HttpServer] = field(default_factory=list)
    wires: list[Wire] = field(default_factory=list)
    workers: dict[str, WorkerRecord] = field(default_factory=dict)

    @property
    def port(self) -> int:
        return self.program.front.http.port

    @property
    def ready_port(self) -> int:
        """The port of readiness and metrics."""
        return self.program.readiness.http.port

    @property
    def subscription(self) -> FeedSubscription:
        """The state of the table feed, which these tests set without a session with control."""
        return self.program.feed._subscription  # noqa: SLF001 - the feed accepts tables only from control

    def expire_tables(self) -> None:
        """Makes the tables infinitely old since their last confirmation."""
        self.subscription.confirmed_at = -math.inf

    def exhaust_capacity(self, service: str) -> None:
        """Acquires all free admission slots of a service."""
        admission = self.program.admissions.of(service)
        while admission.acquire(0):
            pass

    def begin_drain(self, began_at: float, grace_s: float) -> None:
        """Begins the drain as of `began_at` on the clock of the program."""
        self.program.draining.begin(began_at, grace_s)

    def set_batch_calls(self, calls: BatchCalls) -> None:
        """Replaces the object that sends batch calls to stores."""
        self.program.batch.calls = calls

    def worker_estimates(self, prompt: Prompt) -> list[tuple[int, float]]:
        """Returns the sorted pairs of uncached prompt tokens and load of all workers."""
        program = self.program
        states = program.chooser.workers.values()
        return sorted((state.uncached_tokens(prompt), state.load(program.clock())) for state in states)

    async def start(self, behaviours: tuple[Behaviour, ...]) -> None:
        for number, behaviour in enumerate(behaviours):
            server = HttpServer(self._worker(behaviour), lambda: LIMITS, now)
            await server.start(IP, 0)
            self.servers.append(server)
            address = f"{IP}:{server.port}"
            self.workers[f"w{number}"] = WorkerRecord(f"w{number}", "s", address, "z", 4, "ready")
        await self.program.front.http.start(IP, 0)
        await self.program.readiness.http.start(IP, 0)
        self.servers += [self.program.front.http, self.program.readiness.http]

    def configure(self, limits: ClientLimits | None = None, engine: Engine | None = None) -> None:
        """Applies tables as if control had sent and confirmed them now."""
        subscription = self.subscription
        old = subscription.tables
        configuration = Configuration(
            1,
            self.routes,
            {"s": Service("s", max_connections=20, engine=engine)},
            limits or ClientLimits(),
            b"",
        )
        subscription.tables = Tables(configuration=configuration, workers=self.workers)
        subscription.confirmed_at = now()
        self.program.apply_tables(old, subscription.tables)

    def _worker(self, behaviour: Behaviour) -> Behaviour:
        async def handle(request: ServerRequest, responder: Responder) -> None:
            self.received_requests.append(request)
            self.request_arrived.set()
            responder.on_disconnect(lambda: self.released_at.append(now()))
            await behaviour(request, responder)

        return handle

    async def request(
        self, path: str = "/p/x", method: str = "POST", timeout_ms: int | None = 5000, body: bytes = b"body"
    ) -> WholeAnswer:
        headers = [(b"Host", b"h"), (b"Request-Id", b"7")]
        if timeout_ms is not None:
            headers.append((b"Request-Timeout-Ms", b"%d" % timeout_ms))
        request = SendRequest(method, path, headers, body, request_id=b"7")
        return await fetch(self.client_pool, f"{IP}:{self.port}", request, 50, TEST_TIMEOUT_S)

    async def wire(self) -> Wire:
        self.wires.append(Wire(*await asyncio.open_connection(IP, self.port)))
        return self.wires[-1]

    async def is_ready(self) -> bool:
        request = SendRequest("GET", "/v1/readyz", [(b"Host", b"h")])
        address = f"{IP}:{self.program.readiness.http.port}"
        return (await fetch(self.client_pool, address, request, 5, 5.0)).head.status == 200

    async def wait_for_requests(self, requests: int = 1) -> None:
        """Waits until workers have received at least `requests` requests."""
        while len(self.received_requests) < requests:
            self.request_arrived.clear()
            await self.request_arrived.wait()

    async def stop(self) -> None:
        self.client_pool.close()
        for wire in self.wires:
            await wire.closed()
        self.program.pool.close()
        for server in self.servers:
            await server.stop()


def settings(grace_s: float = GRACE_S) -> NodeSettings:
    address = Address(IP, 1)
    return node_settings(
        "gateway", IP, zone="z", front=address, ready=address, memory_mb=300, bounds=Bounds(grace_s=grace_s)
    )


@contextlib.asynccontextmanager
async def run_gateway(
    *behaviours: Behaviour,
    routes: tuple[Route, ...] = (route(),),
    configured: bool = True,
    grace_s: float = GRACE_S,
) -> AsyncIterator[Gateway]:
    program = GatewayProgram(settings(grace_s), random.Random(1), now)
    running = Gateway(program, routes)
    await running.start(behaviours)
    if configured:
        running.configure()
    try:
        yield running
    finally:
        await running.stop()
