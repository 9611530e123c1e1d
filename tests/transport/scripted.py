"""Connections in memory: the test says which bytes the other side gets and sends, and how they end.

They run on the loop of virtual time, so that nothing waits for the clock.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from enum import Enum, auto
from typing import Any, cast
from unittest import mock

from loguru import logger

from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import Exchange, SendRequest
from tests.transport.http_stand_ins import Recorder

LOOP_TURNS = 8  # enough for the callbacks of one event to run
PEER = ("192.0.2.1", 1)
LIMIT = 4  # connections to one address


class Ending(Enum):
    """How the other side ends a connection."""

    CLOSE = auto()
    RESET = auto()


class _Socket:
    """What the code asks of a socket. `fileno` is that of a socket at which nothing ever arrives."""

    def __init__(self) -> None:
        self._pair = socket.socketpair()

    def fileno(self) -> int:
        return self._pair[0].fileno()

    def setsockopt(self, level: int, name: int, value: Any) -> None:
        pass

    def close(self) -> None:
        for each in self._pair:
            each.close()


class ScriptedTransport(asyncio.Transport):
    """Takes written bytes as far as there is room for them; the rest waits, as behind a full socket."""

    def __init__(self, protocol: asyncio.BaseProtocol, room: int | None = None) -> None:
        super().__init__()
        self.taken = b""  # by the socket: the other side reads all of this, in this order
        self.ended = False
        self._protocol = protocol
        self._room = room  # None: no bound
        self._waiting = b""
        self._closing = False
        self._socket = _Socket()

    # Called by the protocol.

    def write(self, data: Any) -> None:
        if not self._closing:
            self._waiting += bytes(data)
            self._move()

    def get_write_buffer_size(self) -> int:
        return len(self._waiting)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        self._closing = True
        if not self._waiting:
            self._end(None)

    def abort(self) -> None:
        self._closing = True
        self._waiting = b""
        self._end(None)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"socket": self._socket, "peername": PEER}.get(name, default)

    # Called by the test.

    def make_room(self) -> None:
        """The socket takes all that waits, and all that will be written."""
        self._room = None
        self._move()
        if self._closing and not self._waiting:
            self._end(None)

    def deliver(self, data: bytes) -> None:
        """Bytes of the other side arrive."""
        if not data or self._closing:
            return
        if isinstance(self._protocol, asyncio.BufferedProtocol):
            self._protocol.get_buffer(-1)[: len(data)] = data  # type: ignore[index]
            self._protocol.buffer_updated(len(data))
        else:
            cast(asyncio.Protocol, self._protocol).data_received(data)

    def end(self, ending: Ending) -> None:
        """The other side ends the connection."""
        if self._closing:
            return
        if ending is Ending.RESET:
            self._closing = True
            self._end(ConnectionResetError())
        elif not cast(asyncio.Protocol, self._protocol).eof_received():
            self.close()

    def _move(self) -> None:
        room = len(self._waiting) if self._room is None else self._room - len(self.taken)
        self.taken += self._waiting[:room]
        self._waiting = self._waiting[room:]

    def _end(self, error: Exception | None) -> None:
        if not self.ended:
            self.ended = True
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, error)
            self._socket.close()


class ScriptedNetwork:
    """Gives each connection that is opened a scripted transport."""

    def __init__(self) -> None:
        self.transports: list[ScriptedTransport] = []
        self.refusing: set[str] = set()  # IPs
        self.refusals = 0
        self.room: int | None = None  # of the next connections

    @property
    def last(self) -> ScriptedTransport:
        """The connection that was opened last."""
        return self.transports[-1]

    async def connect(
        self, make_protocol: Callable[[], asyncio.BaseProtocol], ip: str, _port: int
    ) -> tuple[ScriptedTransport, asyncio.BaseProtocol]:
        """Stands in for the loop's `create_connection`."""
        if ip in self.refusing:
            self.refusals += 1
            raise ConnectionRefusedError
        protocol = make_protocol()
        transport = ScriptedTransport(protocol, self.room)
        self.transports.append(transport)
        protocol.connection_made(transport)
        return transport, protocol


@contextlib.contextmanager
def scripted_network() -> Iterator[ScriptedNetwork]:
    """All connections of the running loop are scripted."""
    network = ScriptedNetwork()
    try:
        with mock.patch.object(asyncio.get_running_loop(), "create_connection", network.connect):
            yield network
    finally:
        for transport in network.transports:
            transport.abort()


@contextlib.contextmanager
def warnings_logged() -> Iterator[list[str]]:
    """The warnings that are logged meanwhile."""
    lines: list[str] = []
    number = logger.add(lambda line: lines.append(str(line)), level="WARNING", format="{message}")
    try:
        yield lines
    finally:
        logger.remove(number)


async def settle() -> None:
    """Lets all callbacks run that are due."""
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


class ScriptedWorker:
    """A pool whose only worker is the test."""

    address = "192.0.2.1:80"

    def __init__(self, network: ScriptedNetwork) -> None:
        self.network = network
        self.pool = WorkerPool(now=asyncio.get_running_loop().time)

    async def send(self, request: SendRequest) -> tuple[Recorder, Exchange]:
        """Sends a request as far as the connection takes it."""
        recorder = Recorder()
        exchange = self.pool.send(self.address, request, recorder, LIMIT)
        await settle()
        return recorder, exchange

    async def serve(self, request: SendRequest, answer: bytes) -> ScriptedTransport:
        """One exchange that ends well. Returns its connection."""
        recorder, _ = await self.send(request)
        transport = self.network.last
        transport.deliver(answer)
        await settle()
        assert recorder.ended.is_set()
        assert recorder.error is None
        return transport
