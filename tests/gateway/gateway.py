"""A gateway's front and its workers on loopback, in virtual time; tables are put in force without control."""

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
PATIENCE_S = 60.0
LIMITS = ServerLimits(65536, 4194304, 60.0, 600.0)
SIGNED = [(b"Response-Signature", b"stamp"), (b"Request-Id", b"7")]
EVENTS = [*SIGNED, (b"Content-Type", b"text/event-stream")]
GRACE_S = 8.0

Behaviour = Callable[[ServerRequest, Responder], Awaitable[None]]


def route(
    kind: RouteType = RouteType.IDEMPOTENT, prefix: str = "/p/", timeout_ms: float = 5000, **changed: Any
) -> Route:
    made = Route(
        "r", "h", prefix, kind, (WeightedService("s", 1.0),), timeout_ms, 200, 0, 2, token_gap_target_ms=250
    )
    return replace(made, **changed)


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


async def answered(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(200, SIGNED, b"result")


async def unresponsive(_request: ServerRequest, responder: Responder) -> None:
    await responder.finished()


async def slow_stream(_request: ServerRequest, responder: Responder) -> None:
    """Sends an event a second, without end."""
    responder.begin(200, EVENTS)
    number = 0
    while not responder.disconnected:
        number += 1
        responder.write(event(number))
        await asyncio.sleep(1.0)


@dataclass
class Gateway:
    """One gateway and what its workers saw."""

    program: GatewayProgram
    routes: tuple[Route, ...]
    clients: WorkerPool = field(default_factory=lambda: WorkerPool(now=now))
    seen: list[ServerRequest] = field(default_factory=list)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)  # a request came to a worker
    released_at: list[float] = field(default_factory=list)  # a worker's connection closed amid a request
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
        """What keeps the tables of the feed, which these tests set without a session with control."""
        return self.program.feed._subscription  # noqa: SLF001 - a feed takes tables from control alone

    def age_tables(self) -> None:
        """Makes tables that control has not confirmed for ever."""
        self.subscription.confirmed_at = -math.inf

    def take_capacity(self, service: str) -> None:
        """Takes all capacity that admission leaves for requests to a service."""
        admission = self.program.admissions.of(service)
        while admission.acquire(0):
            pass

    def begin_drain(self, began: float, grace_s: float) -> None:
        """Begins to drain at a time of the process's clock."""
        self.program.draining.begin(began, grace_s)

    def take_batch_calls(self, calls: BatchCalls) -> None:
        """Replaces what carries batch calls to stores."""
        self.program.batch.calls = calls

    def known_of_workers(self, prompt: Prompt) -> list[tuple[int, float]]:
        """Returns for each worker how many tokens of a prompt it would read, and its load; sorted."""
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
        """Puts tables in force, as control does; they count as confirmed now."""
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
        self.program.take_tables(old, subscription.tables)

    def _worker(self, behaviour: Behaviour) -> Behaviour:
        async def handle(request: ServerRequest, responder: Responder) -> None:
            self.seen.append(request)
            self.arrived.set()
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
        return await fetch(self.clients, f"{IP}:{self.port}", request, 50, PATIENCE_S)

    async def wire(self) -> Wire:
        self.wires.append(Wire(*await asyncio.open_connection(IP, self.port)))
        return self.wires[-1]

    async def is_ready(self) -> bool:
        request = SendRequest("GET", "/v1/readyz", [(b"Host", b"h")])
        address = f"{IP}:{self.program.readiness.http.port}"
        return (await fetch(self.clients, address, request, 5, 5.0)).head.status == 200

    async def reached(self, requests: int = 1) -> None:
        """Waits until workers have seen so many requests."""
        while len(self.seen) < requests:
            self.arrived.clear()
            await self.arrived.wait()

    async def stop(self) -> None:
        self.clients.close()
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
async def gateway(
    *behaviours: Behaviour,
    routes: tuple[Route, ...] = (route(),),
    configured: bool = True,
    grace_s: float = GRACE_S,
) -> AsyncIterator[Gateway]:
    program = GatewayProgram(settings(grace_s), random.Random(1), now)
    played = Gateway(program, routes)
    await played.start(behaviours)
    if configured:
        played.configure()
    try:
        yield played
    finally:
        await played.stop()
