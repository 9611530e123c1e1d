"""Emulated workers, clients, discovery and policies for tests of a gateway on loopback sockets."""

import asyncio
import itertools
import socket
import struct
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, Self

import orjson

from pewterring.standalone.config import Config
from pewterring.standalone.http.messages import Request, Response
from pewterring.standalone.http.reader import RequestReader, ResponseReader
from pewterring.standalone.http.writer import write_response
from pewterring.standalone.log import Log
from pewterring.standalone.network.connection import Address
from pewterring.standalone.network.discovery import Entry, Listing
from pewterring.standalone.network.workers import Pool
from pewterring.standalone.policy import interface
from pewterring.standalone.proxy.gateway import Policy
from pewterring.standalone.proxy.service import Service
from pewterring.standalone.settings import Transport
from tests.standalone.helpers import settings

PATIENCE = 20.0  # seconds; bounds waits for events that must happen, no test measures it
OK = write_response(200, [(b"content-type", b"text/plain")], b"served")


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE * 2):
            await test()

    asyncio.run(bounded())


async def until(true: Callable[[], object]) -> None:
    """Waits until the condition is true; raises TimeoutError after PATIENCE."""
    async with asyncio.timeout(PATIENCE):
        while not true():
            await asyncio.sleep(0.002)


def rested(pool: Pool) -> None:
    """Ages the idle connections so that they may be reused now."""
    for idle in pool.idle.values():
        for connection in idle:
            connection.idle_since -= pool.rest_s


class Talk:
    """One connection accepted by a stand-in server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.requests: list[Request] = []
        self.ended = False  # by the other side

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        if (
            sock is not None and sock.fileno() >= 0
        ):  # without SO_LINGER 0 an abort closes the connection normally
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Answer = Callable[[Talk, Request], bytes | None]


class StandIn:
    """A loopback server. `answer` returns the response bytes, or None after acting on the Talk itself."""

    def __init__(self, answer: Answer = lambda talk, request: OK) -> None:
        self.answer = answer
        self.talks: list[Talk] = []
        self.requests: list[Request] = []

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.server.close()
        for talk in self.talks:
            talk.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        talk, parser = Talk(reader, writer), RequestReader()
        self.talks.append(talk)
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (request := parser.next()) is not None:
                    talk.requests.append(request)
                    self.requests.append(request)
                    if (answer := self.answer(talk, request)) is not None:
                        writer.write(answer)
        except ConnectionError:
            pass
        talk.ended = True
        writer.close()


class Caller:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, ResponseReader()

    @classmethod
    async def to(cls, address: Address) -> Self:
        return cls(*await asyncio.open_connection(*address))

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> Response:
        """The next complete response."""
        async with asyncio.timeout(PATIENCE):
            while (response := self.parser.next()) is None:
                data = await self.reader.read(65536)
                if not data:
                    response = self.parser.close()
                    assert response is not None, "the connection ended without a whole answer"
                    return response
                self.parser.feed(data)
            return response

    async def ask(self, data: bytes) -> Response:
        self.write(data)
        return await self.answer()

    async def ended(self) -> bool:
        async with asyncio.timeout(PATIENCE):
            try:
                return await self.reader.read(1) == b""
            except ConnectionError:
                return True

    def close(self) -> None:
        self.writer.close()


NUMBERS = itertools.count(1)
ASKED = {
    b"X-Class": b"pure",
    b"Plan": b"free",
    b"X-Deadline-Ms": b"4000",
    b"Quota-Info": b"units=2,spread=3,first=1",
}
PATH = b"/api/00000000b4d65521"


def asking(
    method: bytes = b"GET",
    target: bytes = PATH,
    body: bytes = b"",
    more: bytes = b"",
    **headers: bytes | None,
) -> bytes:
    """Bytes of a valid request with a new id; X_Class=None omits that header."""
    changed = {name.replace("_", "-").encode(): value for name, value in headers.items()}
    changed.setdefault(b"X-Request-Id", b"%016x" % next(NUMBERS))
    lines = [b"%b: %b\r\n" % (n, v) for n, v in {**ASKED, **changed}.items() if v is not None]
    length = b"Content-Length: %d\r\n" % len(body) if body else b""
    return b"%b %b HTTP/1.1\r\nHost: origin.svc\r\n%b%b%b\r\n%b" % (
        method, target, b"".join(lines), length, more, body,
    )  # fmt: skip


def entry(host: str, address: Address, health: str = "up", born_ms: float = 0.0, cell: int = 0) -> Entry:
    return Entry(host, address, "a", cell, health, 1.0, born_ms)


def listing(*entries: Entry, version: int = 1, whole: bool = True) -> Listing:
    return Listing(version, whole, entries)


def as_json(version: int, whole: bool, *entries: Entry) -> bytes:
    hosts = [
        {"host": e.host, "dial": str(e.address), "site": e.zone, "class": "m", "block": e.cell,
         "health": e.health, "share": e.rating, "born_ms": e.born_ms}
        for e in entries
    ]  # fmt: skip
    return orjson.dumps({"seq": version, "whole": whole, "hosts": hosts})


class Script:
    """A policy that takes its actions from the steps of a test and records the events it gets."""

    def __init__(self, *steps: Callable[[interface.Event], list[interface.Action]]) -> None:
        self.told: list[interface.Event] = []
        self.steps = list(steps)

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        self.told.append(event)
        return [action for step in self.steps for action in step(event)]

    def of(self, kind: type[Any]) -> list[Any]:
        return [event for event in self.told if isinstance(event, kind)]


def send_to(*servers: int, timeout: float = 0.0) -> Callable[[interface.Event], list[interface.Action]]:
    """A step that sends each request to these servers at once."""
    return lambda e: (
        [interface.Send(e.id, n, timeout) for n in servers] if isinstance(e, interface.Request) else []
    )


def fail_when_over(event: interface.Event) -> list[interface.Action]:
    """A step that fails a request when an attempt ends before the request has been answered."""
    return [interface.Fail(event.id)] if isinstance(event, interface.Outcome) and not event.no_more else []


class Quiet(Log):
    """A log that keeps its lines in memory."""

    def __init__(self) -> None:
        super().__init__(per_s=10_000)
        self.lines: list[dict[str, object]] = []

    def write(self, line: dict[str, object]) -> None:
        self.lines.append(line)


class Rig:
    """A gateway in this process on a free port; the given workers are its initial list."""

    def __init__(
        self,
        policy: Policy | None,
        *workers: Address,
        discovery: Address | None = None,
        sockets: int = 1024,
        transport: Transport | None = None,
        setup: interface.Settings | None = None,
    ) -> None:
        known = listing(*(entry(f"s-{n}", address) for n, address in enumerate(workers, 1)))
        self.config = Config(
            name="g", listen=Address("127.0.0.1", 0), discovery=discovery, seed=7, sockets=sockets,
            memory_mb=192,
            peer_listen=None, peers=(), peers_all=None, known=known if workers else None,
            settings=setup or settings(),
            transport=transport or Transport(connect_timeout=1.0, conn_idle=60.0),
        )  # fmt: skip
        self.policy, self.log = policy, Quiet()

    async def __aenter__(self) -> Self:
        self.service = Service(self.config, self.log, self.policy)
        self.gateway = self.service.gateway
        await self.service.start()
        assert self.service.listener is not None
        self.listener = self.service.listener
        self.address = self.listener.address
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.service.close()

    async def caller(self) -> Caller:
        return await Caller.to(self.address)

    async def ask(self, data: bytes) -> Response:
        caller = await self.caller()
        try:
            return await caller.ask(data)
        finally:
            caller.close()
