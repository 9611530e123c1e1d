"""Connection pool for workers: one request at a time per connection; idle ones are reused, newest first."""

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

# Endings of abandoned exchanges: with a partly unwritten request, and without a connection yet.
UNSENT = {Ending.TIMED_OUT: Ending.BROKEN_EARLY, Ending.CANCELLED: Ending.TOO_LATE}
UNOPENED = {Ending.TIMED_OUT: Ending.NEVER_UP, Ending.CANCELLED: Ending.TOO_LATE}
REUSE_DELAY_DIVISOR = 5  # the delay between two requests on a connection is connect_timeout divided by this


class Target(NamedTuple):
    """One worker at one address. A new worker at the same address is another target."""

    worker: int
    address: Address


Done = Callable[[Ending, Response | None], None]


class Exchange:
    """One request to a worker. `done` is called once, with the ending and the response (or None)."""

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
        """Ends the exchange and closes its connection, so that a late response is ignored."""
        if self.ending is not None:
            return
        connection, self.connection = self.connection, None
        if connection:
            if connection.unsent:  # the worker never gets the rest of the request
                ending = UNSENT.get(ending, ending)
            connection.exchange = None
            connection.drop(ending)
        elif self.task:
            self.task.cancel()
            ending = UNOPENED.get(ending, ending)
        self.end(ending)

    def withdraw(self) -> None:
        """Stops an exchange whose response is no longer needed if the worker cannot have the complete request
        yet; otherwise lets it run. Unlike a cancellation this is always permitted."""
        if self.connection is None or self.connection.unsent:
            self.give_up(Ending.TOO_LATE)


class WorkerConnection(Connection):
    """One connection to a worker, with at most one exchange at a time."""

    def __init__(self, pool: "Pool", target: Target) -> None:
        super().__init__()
        self.pool, self.target = pool, target
        self.exchange: Exchange | None = None
        self.reader = ResponseReader()
        self.idle_since = self.made_at = 0.0
        self.ending: Ending | None = None
        self.stall_timer: asyncio.TimerHandle | None = None  # runs `stalled` for an incomplete response
        self.last_data_at, self.holding = 0.0, 0  # time of the last data of a response; bytes of it so far

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.made_at = self.pool.loop.time()

    def send(self, exchange: Exchange) -> bool:
        """Writes the request in one call. Returns False if the connection was dead: no byte was written."""
        if not self.up or self.transport.is_closing():
            return False
        self.reader = ResponseReader(exchange.bodiless, self.pool.max_response)
        self.exchange, exchange.connection = exchange, self
        self.transport.write(exchange.data)
        if self.transport.is_closing():  # the first write failed: the worker got no byte of the request
            self.exchange = exchange.connection = None
            return False
        return True

    def received(self, data: memoryview) -> None:
        exchange = self.exchange
        if exchange is None:  # unsolicited data would be taken for the next response
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
        self.last_data_at = self.pool.loop.time()
        self.holding += len(data)
        self.pool.held += len(data)
        if self.pool.held > self.pool.room:
            return self.finish(exchange, Ending.NO_ROOM)
        if self.stall_timer is None:
            self.stall_timer = self.pool.loop.call_later(self.pool.connect_timeout, self.stalled, exchange)

    def stalled(self, exchange: Exchange) -> None:
        """Ends an exchange whose incomplete response gets no more data: its length is wrong. The segments
        of a response follow each other directly, so each may take as long as a new connection."""
        self.stall_timer = None
        wait = self.last_data_at + self.pool.connect_timeout - self.pool.loop.time()
        if self.unread():  # the data has arrived but is not read yet
            wait = self.pool.connect_timeout
        if wait > 0:
            self.stall_timer = self.pool.loop.call_later(wait, self.stalled, exchange)
        else:
            self.finish(exchange, Ending.STALLED)

    def release_buffer(self) -> None:
        """Cancels the stall timer and frees the buffered bytes in the accounting of the pool."""
        if self.stall_timer:
            self.stall_timer.cancel()
            self.stall_timer = None
        self.pool.held -= self.holding
        self.holding = 0

    def finish(self, exchange: Exchange, ending: Ending, response: Response | None = None) -> None:
        self.exchange = exchange.connection = None
        self.release_buffer()
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
        self.record_ending(Ending.RESET if exc else Ending.CLOSED)
        self.pool.descriptors.give_back()

    def broken(self) -> Ending:
        if self.unsent:
            return Ending.BROKEN_EARLY
        return Ending.CUT if self.reader.started else Ending.RESET

    def drop(self, ending: Ending) -> None:
        self.release_buffer()
        self.record_ending(ending)
        if self.up:
            self.transport.abort()

    def record_ending(self, ending: Ending) -> None:
        if self.ending is None:
            self.ending = ending
            self.pool.endings[ending] += 1


class Pool:
    """Connections to workers, open and idle. Times are in seconds, `max_response` and `room` in bytes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        connect_timeout: float,
        conn_idle: float,
        max_response: int = MAX_ANSWER,
        room: int = 64 * MAX_ANSWER,
        delay_reuse: bool = True,
    ) -> None:
        self.loop, self.descriptors = loop, descriptors
        self.max_response, self.delay_reuse = max_response, delay_reuse
        self.held, self.room = 0, room  # bytes of incomplete responses, and their limit
        self.renew(connect_timeout, conn_idle)
        self.idle: dict[Target, list[WorkerConnection]] = {}
        self.wanted: set[Target] | None = None  # targets in use; None: all
        self.opening: dict[asyncio.Task[None], Exchange] = {}
        self.opened = self.reused = 0
        self.endings: Counter[Ending] = Counter()  # of connections
        self.outcomes: Counter[Ending] = Counter()  # of exchanges

    def renew(self, connect_timeout: float, conn_idle: float) -> None:
        self.connect_timeout = connect_timeout
        # The worker may close a connection at any moment near the end of its idle timeout, and a request that
        # crosses the close may have run: half of that timeout allows for delays on both sides.
        self.max_idle_s = conn_idle / 2
        # A surplus response may follow some milliseconds after the first and would be taken for that of the
        # next request. So a connection is reused only after a delay, a fraction of the connect timeout.
        self.rest_s = (
            min(connect_timeout / REUSE_DELAY_DIVISOR, self.max_idle_s / 2) if self.delay_reuse else 0.0
        )

    def start(
        self,
        target: Target,
        data: bytes,
        done: Done,
        bodiless: bool = False,
        fresh: bool = False,
        within: float = math.inf,
    ) -> Exchange:
        """Sends a request on an idle connection or, with `fresh` or where there is none, on a new one, to
        be established `within` that many seconds."""
        exchange = Exchange(self, target, data, bodiless, done)
        if not self.wants(target):  # chosen during a change of the list, or by an older list
            exchange.end(Ending.NEVER_UP)
            return exchange
        now = self.loop.time()
        idle = self.idle.get(target, []) if not fresh else []
        reusable_count = bisect_right(idle, now - self.rest_s, key=lambda connection: connection.idle_since)
        for connection in reversed(idle[:reusable_count]):
            idle.remove(connection)
            # An unread close would end this request as a reset, after which it may have run.
            usable = connection.idle_since >= now - self.max_idle_s
            if usable and not connection.unread() and connection.send(exchange):
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
            exchange.task.add_done_callback(lambda task: self.open_finished(task, connection))
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
        except OSError:  # includes TimeoutError
            ending = Ending.NEVER_UP
        connection.drop(ending)
        exchange.end(ending)

    def open_finished(self, task: asyncio.Task[None], connection: WorkerConnection) -> None:
        # A callback, as a task that is cancelled before its first step runs none of its code.
        del self.opening[task]
        if not connection.made:  # otherwise connection_lost gives the descriptor back
            self.descriptors.give_back()

    def wants(self, target: Target) -> bool:
        return self.wanted is None or target in self.wanted

    def keep(self, connection: WorkerConnection) -> None:
        if not self.wants(connection.target):
            return connection.drop(Ending.LEFT)  # its worker was removed while it was in use
        connection.idle_since = self.loop.time()
        self.idle.setdefault(connection.target, []).append(connection)

    def forget(self, connection: WorkerConnection) -> None:
        idle = self.idle.get(connection.target)
        if idle and connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle[connection.target]

    def drop_idle(self, target: Target, made_before: float = math.inf) -> None:
        """Drops idle connections to a target that are no longer needed, or may be dead without a close."""
        for connection in [c for c in self.idle.get(target, ()) if c.made_at < made_before]:
            self.forget(connection)
            connection.drop(Ending.LEFT)

    def retain(self, targets: set[Target]) -> None:
        """Drops idle connections to other targets and stops connecting to them: a connection established late
        would send its request to a worker that must not get new ones."""
        self.wanted = targets
        for target in [t for t in self.idle if t not in targets]:
            self.drop_idle(target)
        for exchange in list(self.opening.values()):
            # An exchange with a connection is already sent, although its task may not have ended yet.
            if exchange.connection is None and exchange.target not in targets:
                exchange.give_up(Ending.NEVER_UP)

    def sweep(self) -> None:
        """Drops connections that have been idle for too long."""
        since = self.loop.time() - self.max_idle_s
        for target, idle in list(self.idle.items()):
            fresh = [c for c in idle if c.idle_since >= since]
            for connection in idle[: len(idle) - len(fresh)]:  # ordered by idle_since
                connection.drop(Ending.STALE)
            self.idle[target] = fresh
            if not fresh:
                del self.idle[target]

    def shed(self) -> bool:
        """Closes the connection that has been idle longest. Returns False if there is none."""
        firsts = (idle[0] for idle in self.idle.values() if idle)  # each list is ordered by idle_since
        connection = min(firsts, key=lambda connection: connection.idle_since, default=None)
        if connection is None:
            return False
        self.forget(connection)
        connection.drop(Ending.SHED)
        return True

    def close(self) -> None:
        for target in list(self.idle):
            self.drop_idle(target)
