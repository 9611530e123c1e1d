"""In-memory connections: the test controls which bytes the peer receives and sends, and how it disconnects.

They run on the virtual-time event loop, so that no test waits for real time.
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

LOOP_TURNS = 8  # loop iterations, enough for the callbacks of one event to run
PEER = ("192.0.2.1", 1)
LIMIT = 4  # most connections to one address


class Ending(Enum):
    """How the peer ends a connection."""

    CLOSE = auto()
    RESET = auto()


class _Socket:
    """The part of the socket interface in use. `fileno` belongs to a socket that never receives data."""

    def __init__(self) -> None:
        self._pair = socket.socketpair()

    def fileno(self) -> int:
        return self._pair[0].fileno()

    def setsockopt(self, level: int, name: int, value: Any) -> None:
        pass

    def close(self) -> None:
        for end_of_pair in self._pair:
            end_of_pair.close()


class ScriptedTransport(asyncio.Transport):
    """Accepts written bytes up to a limit; the rest stays in the write buffer, as with a full socket."""

    def __init__(self, protocol: asyncio.BaseProtocol, write_limit: int | None = None) -> None:
        super().__init__()
        self.accepted = b""  # bytes accepted by the socket, all of which the peer reads in this order
        self.ended = False
        self._protocol = protocol
        self._write_limit = write_limit  # None for no limit
        self._unsent = b""
        self._closing = False
        self._socket = _Socket()

    # Called by the protocol.

    def write(self, data: Any) -> None:
        if not self._closing:
            self._unsent += bytes(data)
            self._flush()

    def get_write_buffer_size(self) -> int:
        return len(self._unsent)

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
        if not self._unsent:
            self._end(None)

    def abort(self) -> None:
        self._closing = True
        self._unsent = b""
        self._end(None)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"socket": self._socket, "peername": PEER}.get(name, default)

    # Called by the test.

    def accept_all(self) -> None:
        """Makes the socket accept all buffered and future bytes."""
        self._write_limit = None
        self._flush()
        if self._closing and not self._unsent:
            self._end(None)

    def deliver(self, data: bytes) -> None:
        """Delivers bytes sent by the peer."""
        if not data or self._closing:
            return
        if isinstance(self._protocol, asyncio.BufferedProtocol):
            self._protocol.get_buffer(-1)[: len(data)] = data  # type: ignore[index]
            self._protocol.buffer_updated(len(data))
        else:
            cast(asyncio.Protocol, self._protocol).data_received(data)

    def end(self, ending: Ending) -> None:
        """Ends the connection as the peer."""
        if self._closing:
            return
        if ending is Ending.RESET:
            self._closing = True
            self._end(ConnectionResetError())
        elif not cast(asyncio.Protocol, self._protocol).eof_received():
            self.close()

    def _flush(self) -> None:
        free_bytes = (
            len(self._unsent) if self._write_limit is None else self._write_limit - len(self.accepted)
        )
        self.accepted += self._unsent[:free_bytes]
        self._unsent = self._unsent[free_bytes:]

    def _end(self, error: Exception | None) -> None:
        if not self.ended:
            self.ended = True
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, error)
            self._socket.close()


class ScriptedNetwork:
    """Creates a scripted transport for each opened connection."""

    def __init__(self) -> None:
        self.transports: list[ScriptedTransport] = []
        self.refusing: set[str] = set()  # IPs that refuse connections
        self.refusals = 0
        self.write_limit: int | None = None  # socket limit of connections opened from now on, in bytes

    @property
    def last(self) -> ScriptedTransport:
        """The most recently opened connection."""
        return self.transports[-1]

    async def connect(
        self, make_protocol: Callable[[], asyncio.BaseProtocol], ip: str, _port: int
    ) -> tuple[ScriptedTransport, asyncio.BaseProtocol]:
        """Replaces the loop's `create_connection`."""
        if ip in self.refusing:
            self.refusals += 1
            raise ConnectionRefusedError
        protocol = make_protocol()
        transport = ScriptedTransport(protocol, self.write_limit)
        self.transports.append(transport)
        protocol.connection_made(transport)
        return transport, protocol


@contextlib.contextmanager
def scripted_network() -> Iterator[ScriptedNetwork]:
    """Makes all connections of the running loop scripted."""
    network = ScriptedNetwork()
    try:
        with mock.patch.object(asyncio.get_running_loop(), "create_connection", network.connect):
            yield network
    finally:
        for transport in network.transports:
            transport.abort()


@contextlib.contextmanager
def warnings_logged() -> Iterator[list[str]]:
    """Collects the warnings logged within the context."""
    lines: list[str] = []
    number = logger.add(lambda line: lines.append(str(line)), level="WARNING", format="{message}")
    try:
        yield lines
    finally:
        logger.remove(number)


async def settle() -> None:
    """Runs all callbacks that are due."""
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


class ScriptedWorker:
    """A connection pool whose only worker is the test."""

    address = "192.0.2.1:80"

    def __init__(self, network: ScriptedNetwork) -> None:
        self.network = network
        self.pool = WorkerPool(now=asyncio.get_running_loop().time)

    async def send(self, request: SendRequest) -> tuple[Recorder, Exchange]:
        """Sends a request, as far as the connection accepts it."""
        recorder = Recorder()
        exchange = self.pool.send(self.address, request, recorder, LIMIT)
        await settle()
        return recorder, exchange

    async def serve(self, request: SendRequest, answer: bytes) -> ScriptedTransport:
        """Runs one successful exchange and returns its connection."""
        recorder, _ = await self.send(request)
        transport = self.network.last
        transport.deliver(answer)
        await settle()
        assert recorder.ended.is_set()
        assert recorder.error is None
        return transport
