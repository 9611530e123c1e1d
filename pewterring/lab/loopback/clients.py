"""Clients on sockets: connections that are kept, one request at a time on each."""

import asyncio
from collections.abc import Callable

from pewterring.standalone.http.messages import Malformed, Response
from pewterring.standalone.http.reader import ResponseReader

MOST_IDLE = 256  # connections that stand by, to one gatekeeper
RACE_WINDOW_S = 0.02  # a close that comes so soon after a request was sent before that was read


class Exchange:
    """One request on its way. `done(kind, response)`: kind is answered, unreachable (it was not sent), or
    broken."""

    def __init__(self, data: bytes, done: Callable[[str, Response | None], None]) -> None:
        self.data, self.done, self.over = data, done, False
        self.resent, self.sent_at = False, 0.0

    def end(self, kind: str, response: Response | None = None) -> None:
        if not self.over:
            self.over = True
            self.done(kind, response)


class ClientLink(asyncio.Protocol):
    def __init__(self, pool: "ClientPool") -> None:
        self.pool, self.exchange = pool, None
        self.parser = ResponseReader()
        self.transport: asyncio.Transport | None = None
        self.used = False

    exchange: Exchange | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def send(self, exchange: Exchange) -> None:
        self.exchange = exchange
        exchange.sent_at = asyncio.get_running_loop().time()
        assert self.transport is not None
        self.transport.write(exchange.data)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            response = self.parser.next()
        except Malformed:
            return self.abort()
        if response is None:
            return
        exchange, self.exchange, self.used = self.exchange, None, True
        if response.keep_alive and len(self.pool.idle) < MOST_IDLE:
            self.pool.idle.append(self)
        elif self.transport:
            self.transport.close()
        if exchange:
            exchange.end("answered", response)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.pool.links.discard(self)
        if self.exchange:
            exchange, self.exchange = self.exchange, None
            # A close may cross a request on a connection that was kept: it comes once more on a new one.
            crossed = asyncio.get_running_loop().time() - exchange.sent_at < RACE_WINDOW_S
            if self.used and crossed and not exchange.over and not exchange.resent:
                exchange.resent = True
                self.pool.connect(exchange)
            else:
                exchange.end("broken")

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()


class ClientPool:
    """The connections of all clients to one gatekeeper."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle: list[ClientLink] = []
        self.links: set[ClientLink] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, exchange: Exchange) -> None:
        while self.idle:
            link = self.idle.pop()
            if link.transport and not link.transport.is_closing():
                return link.send(exchange)
        self.connect(exchange)

    def connect(self, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self.connected(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connected(self, exchange: Exchange) -> None:
        try:
            _, link = await asyncio.get_running_loop().create_connection(
                lambda: ClientLink(self), *self.address
            )
        except OSError:
            return exchange.end("broken" if exchange.resent else "unreachable")
        self.links.add(link)
        if exchange.over:
            return link.abort()
        link.send(exchange)

    def give_up(self, exchange: Exchange) -> None:
        """Its client has gone: the connection goes with it."""
        exchange.over = True
        for link in list(self.links):
            if link.exchange is exchange:
                link.exchange = None
                link.abort()

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for link in list(self.links):
            link.abort()
