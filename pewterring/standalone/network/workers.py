"""Connections to workers: one request at a time on each, idle ones kept and used again, newest first."""

import asyncio
import math
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from pewterring.standalone.http.messages import Malformed, Response
from pewterring.standalone.http.reader import MAX_ANSWER, ResponseReader
from pewterring.standalone.network.connection import Address, Connection
from pewterring.standalone.network.descriptors import Descriptors
from pewterring.standalone.network.ending import SUSPECT, Ending, of_answer

# What giving an exchange up is, where part of its request is not written, and where none is.
UNSENT = {Ending.TIMED_OUT: Ending.BROKEN_EARLY, Ending.CANCELLED: Ending.TOO_LATE}
UNOPENED = {Ending.TIMED_OUT: Ending.NEVER_UP, Ending.CANCELLED: Ending.TOO_LATE}
REST_PART = 5  # of the time that a connection may take to come up, a connection rests between two requests


class Target(NamedTuple):
    """One worker at one address. A new one at an old address is another: it inherits no connection."""

    worker: int
    address: Address


Done = Callable[[Ending, Response | None], None]


class Exchange:
    """One request to a worker. `done` is called once, with how it ended; the answer where there is one."""

    __slots__ = ("bodiless", "connection", "data", "done", "ending", "pool", "target", "task")

    def __init__(self, pool: "Pool", target: Target, data: bytes, bodiless: bool, done: Done) -> None:
        self.pool, self.target, self.data, self.bodiless, self.done = pool, target, data, bodiless, done
        self.connection: WorkerConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.ending: Ending | None = None

    def end(self, ending: Ending, response: Response | None = None) -> None:
        if self.ending is not None:
            return
        self.ending = ending
        self.pool.outcomes[ending] += 1
        if ending in SUSPECT:
            self.pool.drop_idle(self.target)
        self.done(ending, response)

    def give_up(self, ending: Ending) -> None:
        """Closes its connection, so that what still comes goes nowhere."""
        if self.ending is not None:
            return
        connection, self.connection = self.connection, None
        if connection:
            if connection.unsent:  # the worker can't get the rest any more
                ending = UNSENT.get(ending, ending)
            connection.exchange = None
            connection.drop(ending)
        elif self.task:
            self.task.cancel()
            ending = UNOPENED.get(ending, ending)
        self.end(ending)

    def withdraw(self) -> None:
        """Nobody waits for its answer any more. Where the worker cannot have the request whole yet it never
        gets it, which needs nobody's leave; else it goes on as it is."""
        if self.connection is None or self.connection.unsent:
            self.give_up(Ending.TOO_LATE)


class WorkerConnection(Connection):
    def __init__(self, pool: "Pool", target: Target) -> None:
        super().__init__()
        self.pool, self.target = pool, target
        self.exchange: Exchange | None = None
        self.reader = ResponseReader()
        self.idle_since = self.made_at = 0.0
        self.ending: Ending | None = None
        self.rest: asyncio.TimerHandle | None = None  # until when more of an answer must have come
        self.came_at, self.holding = 0.0, 0  # when the last part of an answer came; bytes of it so far

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.made_at = self.pool.loop.time()

    def send(self, exchange: Exchange) -> bool:
        """Writes the request in one piece. False where no byte could be written: the connection was dead."""
        if not self.up or self.transport.is_closing():
            return False
        self.reader = ResponseReader(exchange.bodiless, self.pool.most)
        self.exchange, exchange.connection = exchange, self
        self.transport.write(exchange.data)
        if self.transport.is_closing():  # the first write failed: the worker never saw any of it
            self.exchange = exchange.connection = None
            return False
        return True

    def received(self, data: memoryview) -> None:
        exchange = self.exchange
        if exchange is None:  # nobody asked: what it means by this would be taken for the next answer
            self.pool.forget(self)
            return self.drop(Ending.SPOKE)
        self.reader.feed(data)
        try:
            response = self.reader.next()
        except Malformed:
            return self.finish(exchange, Ending.MALFORMED)
        if response is not None:
            self.finish(exchange, of_answer(response), response)
            return
        self.came_at = self.pool.loop.time()
        self.holding += len(data)
        self.pool.held += len(data)
        if self.pool.held > self.pool.room:
            return self.finish(exchange, Ending.NO_ROOM)
        if self.rest is None:
            self.rest = self.pool.loop.call_later(self.pool.connect_timeout, self.stalled, exchange)

    def stalled(self, exchange: Exchange) -> None:
        """Part of an answer has come and nothing more follows: its length is wrong. The parts come one behind
        the other, so each is given as long as a connection may take to come up."""
        self.rest = None
        wait = self.came_at + self.pool.connect_timeout - self.pool.loop.time()
        if self.unread():  # what is only unread yet is not missing
            wait = self.pool.connect_timeout
        if wait > 0:
            self.rest = self.pool.loop.call_later(wait, self.stalled, exchange)
        else:
            self.finish(exchange, Ending.STALLED)

    def let_go(self) -> None:
        """Nothing more of an answer is waited for."""
        if self.rest:
            self.rest.cancel()
            self.rest = None
        self.pool.held -= self.holding
        self.holding = 0

    def finish(self, exchange: Exchange, ending: Ending, response: Response | None = None) -> None:
        self.exchange = exchange.connection = None
        self.let_go()
        reusable = (
            response is not None and response.keep_alive and not self.unsent and not self.reader.started
        )
        if reusable and self.up and not self.transport.is_closing():
            self.pool.keep(self)
        else:
            self.drop(ending)
        exchange.end(ending, response)

    def eof_received(self) -> bool:
        self.pool.forget(self)
        if exchange := self.exchange:
            try:
                response = self.reader.close()
            except Malformed:
                self.finish(exchange, Ending.MALFORMED)
            else:
                ending = of_answer(response) if response else self.broken()
                self.finish(exchange, ending, response)
        return False  # the transport closes

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.pool.forget(self)
        if exchange := self.exchange:
            self.finish(exchange, self.broken())
        self.note(Ending.RESET if exc else Ending.CLOSED)
        self.pool.descriptors.give_back()

    def broken(self) -> Ending:
        if self.unsent:
            return Ending.BROKEN_EARLY
        return Ending.CUT if self.reader.started else Ending.RESET

    def drop(self, ending: Ending) -> None:
        self.let_go()
        self.note(ending)
        if self.up:
            self.transport.abort()

    def note(self, ending: Ending) -> None:
        if self.ending is None:
            self.ending = ending
            self.pool.endings[ending] += 1


class Pool:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        connect_timeout: float,
        conn_idle: float,
        most: int = MAX_ANSWER,
        room: int = 64 * MAX_ANSWER,
        rests: bool = True,
    ) -> None:
        self.loop, self.descriptors = loop, descriptors
        self.most, self.rests = most, rests
        self.held, self.room = 0, room  # bytes of answers that have not come whole, and how many may be held
        self.renew(connect_timeout, conn_idle)
        self.idle: dict[Target, list[WorkerConnection]] = {}
        self.wanted: set[Target] | None = None  # None: all are
        self.opening: dict[asyncio.Task[None], Exchange] = {}
        self.opened = self.reused = 0
        self.endings: Counter[Ending] = Counter()  # of connections
        self.outcomes: Counter[Ending] = Counter()  # of exchanges

    def renew(self, connect_timeout: float, conn_idle: float) -> None:
        self.connect_timeout = connect_timeout
        # The other side may close at any moment near the end of the idle life, and a request that crosses the
        # close may have run: half of that life leaves room for lateness on both sides.
        self.keep_s = conn_idle / 2
        # A second answer may follow some milliseconds behind the one that counts, and would be the next
        # request's. So a connection rests before it is used again, for a part of what the network may take.
        self.rest_s = min(connect_timeout / REST_PART, self.keep_s / 2) if self.rests else 0.0

    def start(
        self,
        target: Target,
        data: bytes,
        done: Done,
        bodiless: bool = False,
        fresh: bool = False,
        within: float = math.inf,
    ) -> Exchange:
        """Sends a request on an idle connection or, with `fresh` or where there is none, on a new one. It has
        to begin `within` that time."""
        exchange = Exchange(self, target, data, bodiless, done)
        if not self.wants(target):  # decided beside the list that says so, or by an older one
            exchange.end(Ending.NEVER_UP)
            return exchange
        now = self.loop.time()
        idle = self.idle.get(target, []) if not fresh else []
        rested = bisect_right(idle, now - self.rest_s, key=lambda connection: connection.idle_since)
        for connection in reversed(idle[:rested]):
            idle.remove(connection)
            # A close that the loop has not seen yet would make a reset of this request: it may have run.
            kept = connection.idle_since >= now - self.keep_s
            if kept and not connection.unread() and connection.send(exchange):
                self.reused += 1
                return exchange
            connection.drop(Ending.STALE)
        if self.descriptors.take():
            connection = WorkerConnection(self, target)
            try:
                exchange.task = self.loop.create_task(self.open(exchange, connection, within))
            except Exception:
                self.descriptors.give_back()
                raise
            self.opening[exchange.task] = exchange
            exchange.task.add_done_callback(lambda task: self.opened_or_not(task, connection))
        else:
            exchange.end(Ending.NO_DESCRIPTOR)
        return exchange

    async def open(self, exchange: Exchange, connection: WorkerConnection, within: float) -> None:
        try:
            async with asyncio.timeout(min(self.connect_timeout, within)):
                await self.loop.create_connection(lambda: connection, *exchange.target.address)
            self.opened += 1
            if connection.send(exchange):
                return
            ending = Ending.BROKEN_EARLY
        except ConnectionRefusedError:
            ending = Ending.REFUSED
        except OSError:  # a time-out is one
            ending = Ending.NEVER_UP
        connection.drop(ending)
        exchange.end(ending)

    def opened_or_not(self, task: asyncio.Task[None], connection: WorkerConnection) -> None:
        # Not within the task: one that is cancelled before its first step runs none of its code.
        del self.opening[task]
        if not connection.made:  # else it gives its descriptor back when it is lost
            self.descriptors.give_back()

    def wants(self, target: Target) -> bool:
        return self.wanted is None or target in self.wanted

    def keep(self, connection: WorkerConnection) -> None:
        if not self.wants(connection.target):
            return connection.drop(Ending.LEFT)  # its worker went while it was in use
        connection.idle_since = self.loop.time()
        self.idle.setdefault(connection.target, []).append(connection)

    def forget(self, connection: WorkerConnection) -> None:
        idle = self.idle.get(connection.target)
        if idle and connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle[connection.target]

    def drop_idle(self, target: Target, made_before: float = math.inf) -> None:
        """Lets go of idle connections that are no longer wanted, or that may be dead without a word."""
        for connection in [c for c in self.idle.get(target, ()) if c.made_at < made_before]:
            self.forget(connection)
            connection.drop(Ending.LEFT)

    def retain(self, targets: set[Target]) -> None:
        """Keeps idle connections to these only, and goes on connecting to these only: a connection that came
        up late would bring its request to a worker that was to get nothing new."""
        self.wanted = targets
        for target in [t for t in self.idle if t not in targets]:
            self.drop_idle(target)
        for exchange in list(self.opening.values()):
            # One that has a connection is sent already, though its task may not have ended yet.
            if exchange.connection is None and exchange.target not in targets:
                exchange.give_up(Ending.NEVER_UP)

    def sweep(self) -> None:
        """Drops what has stood idle for too long."""
        since = self.loop.time() - self.keep_s
        for target, idle in list(self.idle.items()):
            fresh = [c for c in idle if c.idle_since >= since]
            for connection in idle[: len(idle) - len(fresh)]:  # they lie in the order in which they were kept
                connection.drop(Ending.STALE)
            self.idle[target] = fresh
            if not fresh:
                del self.idle[target]

    def shed(self) -> bool:
        """Closes the connection that has idled longest, if any does."""
        firsts = (idle[0] for idle in self.idle.values() if idle)  # they lie in the order in which they came
        connection = min(firsts, key=lambda connection: connection.idle_since, default=None)
        if connection is None:
            return False
        self.forget(connection)
        connection.drop(Ending.SHED)
        return True

    def close(self) -> None:
        for target in list(self.idle):
            self.drop_idle(target)
