"""Test doubles on loopback sockets: raw clients for the server and a scripted worker for the client."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_exchange import ExchangeError
from pewterring.transport.http_server import HttpServer, Responder, ServerLimits, ServerRequest

IP = "127.0.0.1"
PATIENCE_S = 10.0  # a wait that exceeds this has failed
LIMITS = ServerLimits(max_header_bytes=1000, max_body_bytes=100, header_timeout_s=30.0, idle_timeout_s=30.0)

Handler = Callable[[ServerRequest, Responder], Awaitable[None]]
Script = Callable[["Wire"], Awaitable[None]]


@dataclass
class Wire:
    """Byte access to one side of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read(self, size: int) -> bytes:
        async with asyncio.timeout(PATIENCE_S):
            return await self.reader.readexactly(size)

    async def read_until(self, end: bytes) -> bytes:
        async with asyncio.timeout(PATIENCE_S):
            return await self.reader.readuntil(end)

    async def read_to_end(self) -> bytes:
        """Reads all bytes until the peer closes."""
        async with asyncio.timeout(PATIENCE_S):
            return await self.reader.read()

    def close(self) -> None:
        self.writer.close()

    async def closed(self) -> None:
        """Closes the connection and waits until it is closed."""
        self.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()

    def reset(self) -> None:
        connection = self.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ServerWithClients(HttpServer):
    """A server that keeps its raw clients, so that they can be closed with it."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        super().__init__(handler, lambda: limits)
        self.wires: list[Wire] = []

    async def connect(self) -> Wire:
        self.wires.append(Wire(*await asyncio.open_connection(IP, self.port)))
        return self.wires[-1]


@contextlib.asynccontextmanager
async def serving(handler: Handler, limits: ServerLimits = LIMITS) -> AsyncIterator[ServerWithClients]:
    server = ServerWithClients(handler, limits)
    await server.start(IP, 0)
    try:
        yield server
    finally:
        await server.stop()
        for wire in server.wires:
            await wire.closed()


class RawWorker:
    """A worker that runs one script per connection, in the order of the connections."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.accepted = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "RawWorker":
        self._server = await asyncio.start_server(self._accept, IP, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{IP}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        script = self.scripts[self.accepted]
        self.accepted += 1
        self._tasks.append(asyncio.create_task(self._run(script, Wire(reader, writer))))

    async def _run(self, script: Script, wire: Wire) -> None:
        try:
            await script(wire)
        finally:
            await wire.closed()


class Recorder:
    """Records the callbacks of an exchange."""

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.body = b""
        self.pieces: list[bytes] = []
        self.error: ExchangeError | None = None
        self.begun = asyncio.Event()
        self.ended = asyncio.Event()
        self.arrived = asyncio.Event()

    def on_head(self, head: AnswerHead) -> None:
        assert self.head is None
        self.head = head
        self.begun.set()

    def on_data(self, data: bytes) -> None:
        assert self.head is not None
        self.body += data
        self.pieces.append(data)
        self.arrived.set()

    def on_end(self, error: ExchangeError | None) -> None:
        assert not self.ended.is_set()
        self.error = error
        self.ended.set()

    async def end(self) -> ExchangeError | None:
        async with asyncio.timeout(PATIENCE_S):
            await self.ended.wait()
        return self.error


class AnswerRecorder:
    """The connection of a client, which records the bytes sent to it."""

    unsent = False

    def __init__(self) -> None:
        self.answer = b""
        self.aborted = False

    @property
    def status(self) -> bytes:
        return self.answer.split(b" ", 2)[1]

    @property
    def body(self) -> bytes:
        return self.answer.partition(b"\r\n\r\n")[2]

    def write(self, data: bytes) -> None:
        self.answer += data

    async def writable(self) -> None:
        pass

    def closes_after_answer(self) -> bool:
        return False

    def answer_ended(self) -> None:
        pass

    def abort_answer(self, _reset: bool) -> None:
        self.aborted = True
