"""HTTP/1.1 client for workers: pooled connections, one request at a time on each, callbacks instead of tasks.

What matters to its callers is whether a failed request may have reached the worker: see the errors' `sent`.
"""

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from pewterring.transport.http_answer import AnswerHead, AnswerReader
from pewterring.transport.http_common import HttpConnection, encode_request
from pewterring.transport.http_exchange import (
    AnswerBroken,
    AnswerListener,
    ConnectFailed,
    Exchange,
    ExchangeError,
    NoFreeConnection,
    SendRequest,
    StaleConnection,
    may_belong,
    names_request,
)

__all__ = [
    "AnswerBroken",
    "AnswerListener",
    "ConnectFailed",
    "ConnectionCounts",
    "Exchange",
    "ExchangeError",
    "NoFreeConnection",
    "SendRequest",
    "StaleConnection",
    "WorkerPool",
]

CONNECT_TIMEOUT_S = 1.0
DEFAULT_IDLE_S = 4.0  # a resting connection is used again within this where the worker names no time
KEEP_ALIVE_MARGIN_S = 1.0  # it is used again so much before the time that the worker names
SWEEP_INTERVAL_S = 1.0  # between looks for connections that have rested too long
USER_TIMEOUT_MS = 5000  # sent bytes that stay unacknowledged so long end the connection


class WorkerConnection(HttpConnection):
    """One connection to a worker."""

    def __init__(self, owner: "AddressConnections", exchange: Exchange) -> None:
        super().__init__()
        self.reuse_until = 0.0
        self._owner = owner
        self._exchange: Exchange | None = exchange
        self._reader = AnswerReader(exchange.request.method)
        self._answer_begun = False
        self._connecting: asyncio.Task[None] | None = None
        exchange.attach(self)

    # Connecting.

    def connect(self, timeout_s: float) -> None:
        """Begins to connect; the request is written when the connection is up."""
        self._connecting = asyncio.get_running_loop().create_task(self._connect(timeout_s))

    async def _connect(self, timeout_s: float) -> None:
        ip, _, port = self._owner.address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: self, ip, int(port))
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            if not self.made:
                self._finish(ConnectFailed(f"cannot connect to {self._owner.address}: {error!r}"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        exchange = self._exchange
        if exchange is None:  # cancelled meanwhile
            self.transport.abort()
            return
        _set_user_timeout(self.transport)
        self._write(exchange.request)

    # Sending.

    def reuse(self, exchange: Exchange) -> bool:
        """Sends another request. False if the connection turned out closed with no byte of it sent."""
        if self.transport.is_closing() or self.unread():
            return False
        self._write(exchange.request)
        if self.transport.is_closing():  # the first write failed
            return False
        self._exchange = exchange
        self._reader = AnswerReader(exchange.request.method)
        self._answer_begun = False
        exchange.reused = True
        exchange.attach(self)
        return True

    def _write(self, request: SendRequest) -> None:
        headers = request.headers_at(self._owner.now())
        self.transport.write(encode_request(request.method, request.target, headers, request.body))

    # Receiving.

    def data_received(self, data: bytes) -> None:
        exchange, reader = self._exchange, self._reader
        if exchange is None:
            self.close()  # bytes that belong to no request
            return
        self._answer_begun = True
        had_head = reader.head is not None
        body = reader.feed(data)
        if reader.head is not None and not had_head and not self._take_head(exchange, reader.head):
            return
        if body and self._exchange is exchange:
            exchange.listener.on_data(body)
        if self._exchange is exchange:
            self._check_end()

    def _take_head(self, exchange: Exchange, head: AnswerHead) -> bool:
        if not may_belong(head, exchange.request, exchange.reused):
            self._break(AnswerBroken("the answer is that to another request"))
            return False
        exchange.listener.on_head(head)
        return True

    def _check_end(self) -> None:
        reader = self._reader
        if reader.error is not None:
            self._break(AnswerBroken(reader.error))
        elif reader.complete:
            self._complete()

    def _complete(self) -> None:
        exchange, head = self._exchange, self._reader.head
        assert exchange is not None and head is not None
        if not self._may_carry_another(exchange, head):
            self._finish(None)
            return
        self.transport.resume_reading()
        self._exchange = None
        self._owner.release(self, head.keep_alive_s)
        exchange.finish(None)

    def _may_carry_another(self, exchange: Exchange, head: AnswerHead) -> bool:
        """Whether nothing of this exchange can be taken for a part of the next one.

        A worker may answer before it has read a long body. What the socket has taken of the body stays in
        front of the next request; where some of it still waits here, the rest leaves and the connection ends.
        """
        if not self._reader.reusable or self._reader.surplus or not names_request(head, exchange.request):
            return False
        return self.up and not self.transport.get_write_buffer_size()

    def eof_received(self) -> bool:
        if self._exchange is not None:
            if self._is_stale():
                self._break(StaleConnection("the reused connection was closed"))
            else:
                self._reader.end_of_input()
                self._check_end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self._exchange is not None and self._is_stale():
            self._finish(StaleConnection(f"the reused connection was lost: {exc!r}"))
        else:
            self._finish(AnswerBroken(f"the connection was lost: {exc!r}"))

    def _is_stale(self) -> bool:
        return self._exchange is not None and self._exchange.reused and not self._answer_begun

    # Ending.

    def cancel(self) -> None:
        """Drops the exchange and the connection, with what is not delivered yet of the request.

        Symptom answered: a request that a slow link or a worker that reads slowly held up reaches the worker
        long after its client has left.
        """
        self._exchange = None
        if self._connecting is not None and not self.made:
            self._connecting.cancel()
        if self.up:
            self.reset()
        self._owner.forget(self)

    def pause_reading(self) -> None:
        """Leaves what comes in the socket."""
        if self.up:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads again."""
        if self.up:
            self.transport.resume_reading()

    def close(self) -> None:
        """Closes a connection at rest."""
        self._owner.forget(self)
        self.transport.close()

    def _break(self, error: ExchangeError) -> None:
        self.transport.abort()
        self._finish(error)

    def _finish(self, error: ExchangeError | None) -> None:
        """Ends the exchange, if there is one, and the connection."""
        self._owner.forget(self)
        exchange, self._exchange = self._exchange, None
        if self.made:
            self.transport.close()
        if exchange is not None:
            exchange.finish(error)


class AddressConnections:
    """The connections to one address."""

    def __init__(self, pool: "WorkerPool", address: str) -> None:
        self.address = address
        self.retired = False  # connections are closed when they come to rest
        self.idle: list[WorkerConnection] = []  # the most recently used one last
        self.busy: set[WorkerConnection] = set()  # those that are coming up among them
        self._pool = pool

    @property
    def open(self) -> int:
        """All connections, those that are coming up among them."""
        return len(self.idle) + len(self.busy)

    def now(self) -> float:
        """The steady clock."""
        return self._pool.now()

    def send(self, exchange: Exchange, limit: int, timeout_s: float) -> None:
        """Sends on a connection at rest or on a new one. Raises NoFreeConnection."""
        if self._send_on_idle(exchange):
            return
        if self.open >= limit:
            raise NoFreeConnection(f"{self.open} connections to {self.address} are in use")
        connection = WorkerConnection(self, exchange)
        self._pool.connections_made += 1
        self.busy.add(connection)
        connection.connect(timeout_s)

    def _send_on_idle(self, exchange: Exchange) -> bool:
        now = self._pool.now()
        while self.idle:
            connection = self.idle.pop()
            if now < connection.reuse_until and connection.reuse(exchange):
                self.busy.add(connection)
                return True
            connection.close()
        return False

    def release(self, connection: WorkerConnection, keep_alive_s: int | None) -> None:
        """A connection comes to rest."""
        self.busy.discard(connection)
        if self.retired:
            connection.close()
            return
        connection.reuse_until = self._pool.now() + self._pool.rest_s(keep_alive_s)
        self.idle.append(connection)
        self._pool.arm_sweep()

    def forget(self, connection: WorkerConnection) -> None:
        """A connection is closed or about to be."""
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if not self.open:
            self._pool.forget(self)

    def close_idle(self, now: float | None = None) -> None:
        """Closes the connections at rest: all, or those that may not be used again at `now`."""
        for connection in list(self.idle):
            if now is None or now >= connection.reuse_until:
                connection.close()


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """The connections to one address."""

    open: int  # those that are coming up among them
    idle: int


class WorkerPool:
    """Connections to all workers, by address (`IP:port`).

    `now` is the steady clock. `idle_s` bounds the rest of connections whose worker names no time.
    """

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_s: float = DEFAULT_IDLE_S,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.now = now
        self.connections_made = 0  # connections begun so far
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._addresses: dict[str, AddressConnections] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    def send(
        self,
        address: str,
        request: SendRequest,
        listener: AnswerListener,
        limit: int,
        connect_timeout_s: float | None = None,
    ) -> Exchange:
        """Sends a request; `limit` bounds the connections to the address. Raises NoFreeConnection.

        The listener is never called before this returns.
        """
        connections = self._addresses.get(address)
        if connections is None:
            connections = AddressConnections(self, address)
        exchange = Exchange(address, request, listener)
        timeout_s = self._connect_timeout_s if connect_timeout_s is None else connect_timeout_s
        try:
            connections.send(exchange, limit, timeout_s)
        finally:
            if connections.open:  # forgotten meanwhile if its last connection at rest could not be used
                self._addresses[address] = connections
        return exchange

    def counts(self, address: str) -> ConnectionCounts:
        """The connections to an address."""
        connections = self._addresses.get(address)
        if connections is None:
            return ConnectionCounts(0, 0)
        return ConnectionCounts(connections.open, len(connections.idle))

    def is_connected(self, address: str) -> bool:
        """Whether a connection to the address rests."""
        connections = self._addresses.get(address)
        return connections is not None and bool(connections.idle)

    def total_open(self) -> int:
        """The connections to all addresses."""
        return sum(connections.open for connections in self._addresses.values())

    def close_idle(self, address: str) -> None:
        """Closes the connections at rest."""
        connections = self._addresses.get(address)
        if connections is not None:
            connections.close_idle()

    def close_address(self, address: str) -> None:
        """Closes the connections at rest now and the others at the end of their exchange."""
        connections = self._addresses.pop(address, None)
        if connections is not None:
            connections.retired = True
            connections.close_idle()

    def close(self) -> None:
        """Closes all connections; exchanges that have not ended are cancelled."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connections in list(self._addresses.values()):
            connections.close_idle()
            for connection in list(connections.busy):
                connection.cancel()

    def rest_s(self, keep_alive_s: int | None) -> float:
        """How long a connection may rest, given what its worker says."""
        if keep_alive_s is None:
            return self._idle_s
        return max(keep_alive_s - KEEP_ALIVE_MARGIN_S, keep_alive_s / 2)

    def forget(self, connections: AddressConnections) -> None:
        """Called when an address has no connection left."""
        if self._addresses.get(connections.address) is connections:
            del self._addresses[connections.address]

    def arm_sweep(self) -> None:
        """Sees to it that connections that have rested too long are closed."""
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        now = self.now()
        for connections in list(self._addresses.values()):
            connections.close_idle(now)
        if any(connections.idle for connections in self._addresses.values()):
            self.arm_sweep()


def _set_user_timeout(transport: asyncio.Transport) -> None:
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
