"""HTTP/1.1 client for workers, with a connection pool per address.

The attribute `sent` of an error tells the caller whether the failed request may have reached the worker.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from pewterring.transport.http_connection import WorkerConnection
from pewterring.transport.http_exchange import (
    AnswerBrokenError,
    AnswerListener,
    ConnectFailedError,
    Exchange,
    ExchangeError,
    NoFreeConnectionError,
    SendRequest,
    StaleConnectionError,
)

__all__ = [
    "AnswerBrokenError",
    "AnswerListener",
    "ConnectFailedError",
    "ConnectionCounts",
    "Exchange",
    "ExchangeError",
    "NoFreeConnectionError",
    "SendRequest",
    "StaleConnectionError",
    "WorkerPool",
]

CONNECT_TIMEOUT_S = 1.0
DEFAULT_IDLE_S = 4.0  # idle connections are reused for this long if the worker announces no timeout
KEEP_ALIVE_MARGIN_S = 1.0  # reuse stops this long before the keep-alive timeout announced by the worker
SWEEP_INTERVAL_S = 1.0  # interval between checks for expired idle connections


class AddressConnections:
    """The pooled connections to one address."""

    def __init__(self, pool: "WorkerPool", address: str) -> None:
        self.address = address
        self.retired = False  # if set, connections are closed instead of becoming idle
        self.idle: list[WorkerConnection] = []  # the most recently used connection is last
        self.busy: set[WorkerConnection] = set()  # includes connections being opened
        self._pool = pool

    @property
    def open(self) -> int:
        """Number of connections, including those being opened."""
        return len(self.idle) + len(self.busy)

    def now(self) -> float:
        """Monotonic time in seconds."""
        return self._pool.now()

    def send(self, exchange: Exchange, limit: int, timeout_s: float) -> None:
        """Sends on an idle connection or on a new one. Raises NoFreeConnectionError."""
        if self._send_on_idle(exchange):
            return
        if self.open >= limit and not self._close_one_idle():
            raise NoFreeConnectionError(f"{self.open} connections to {self.address} are in use")
        connection = WorkerConnection(self, exchange)
        self._pool.connections_made += 1
        self.busy.add(connection)
        connection.connect(timeout_s)

    def _send_on_idle(self, exchange: Exchange) -> bool:
        """Sends on the most recently used idle connection that has not carried the same request before."""
        now = self._pool.now()
        for connection in reversed(self.idle.copy()):
            is_expired = now >= connection.reuse_until
            if connection.has_carried(exchange.request) and not is_expired:
                continue
            self.idle.remove(connection)
            if not is_expired and connection.reuse(exchange):
                self.busy.add(connection)
                return True
            connection.close()
        return False

    def _close_one_idle(self) -> bool:
        """Closes the connection that has been idle longest. Returns False if there is none."""
        if not self.idle:
            return False
        self.idle[0].close()
        return True

    def release(self, connection: WorkerConnection, keep_alive_s: int | None) -> None:
        """Takes back a connection whose exchange has ended, for reuse."""
        self.busy.discard(connection)
        if self.retired:
            connection.close()
            return
        connection.reuse_until = self._pool.now() + self._pool.reusable_s(keep_alive_s)
        self.idle.append(connection)
        self._pool.arm_sweep()

    def forget(self, connection: WorkerConnection) -> None:
        """Removes a connection that is closed or about to be closed."""
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if not self.open:
            self._pool.forget(self)

    def close_idle(self, now: float | None = None) -> None:
        """Closes idle connections: all, or only those that have expired at `now`."""
        for connection in list(self.idle):
            if now is None or now >= connection.reuse_until:
                connection.close()


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """Number of connections to one address."""

    open: int  # includes connections being opened
    idle: int


class WorkerPool:
    """Connections to all workers, by address (`IP:port`).

    `now` returns monotonic time in seconds. `idle_s` is how long an idle connection may be reused if its
    worker announces no keep-alive timeout.
    """

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_s: float = DEFAULT_IDLE_S,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.now = now
        self.connections_made = 0  # number of connections opened so far, including failed attempts
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
        """Sends a request; `limit` is the most connections to the address. Raises NoFreeConnectionError.

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
            if connections.open:  # removed meanwhile if its last idle connection could not be reused
                self._addresses[address] = connections
        return exchange

    def counts(self, address: str) -> ConnectionCounts:
        """Number of open and idle connections to an address."""
        connections = self._addresses.get(address)
        if connections is None:
            return ConnectionCounts(0, 0)
        return ConnectionCounts(connections.open, len(connections.idle))

    def is_connected(self, address: str) -> bool:
        """Whether there is an idle connection to the address."""
        connections = self._addresses.get(address)
        return connections is not None and bool(connections.idle)

    def total_open(self) -> int:
        """Number of connections to all addresses."""
        return sum(connections.open for connections in self._addresses.values())

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        connections = self._addresses.get(address)
        if connections is not None:
            connections.close_idle()

    def close_address(self, address: str) -> None:
        """Closes idle connections to an address now, and the others at the end of their exchange."""
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

    def reusable_s(self, keep_alive_s: int | None) -> float:
        """How long an idle connection may be reused, given the keep-alive timeout of its worker, if any."""
        if keep_alive_s is None:
            return self._idle_s
        return max(keep_alive_s - KEEP_ALIVE_MARGIN_S, keep_alive_s / 2)

    def forget(self, connections: AddressConnections) -> None:
        """Removes an address that has no connection left."""
        if self._addresses.get(connections.address) is connections:
            del self._addresses[connections.address]

    def arm_sweep(self) -> None:
        """Schedules closing of expired idle connections."""
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        now = self.now()
        for connections in list(self._addresses.values()):
            connections.close_idle(now)
        if any(connections.idle for connections in self._addresses.values()):
            self.arm_sweep()
