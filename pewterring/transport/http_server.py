"""HTTP/1.1 server: h11 on asyncio transports, one task a request, one write a piece of an answer.

A request is handed over once it was read whole: none that was only read in part has been run.
"""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from enum import Enum, auto

from loguru import logger

from pewterring.transport.http_common import CLOSE_HEADER, CONTINUE, HttpConnection, encode_answer_head
from pewterring.transport.http_request import (
    RequestHead,
    RequestReader,
    RequestRejectedError,
    ServerLimits,
    ServerRequest,
)
from pewterring.transport.http_responder import Responder

__all__ = ["HttpServer", "Responder", "ServerLimits", "ServerRequest"]

BACKLOG = 1024  # connections that wait to be accepted
LINGER_S = 1.0  # for the client to read the last answer of a connection
MAX_PIPELINED_BYTES = 64 * 1024  # of later requests, kept while one is handled
STOP_FLUSH_S = 0.5  # for last answers to leave when the server stops
UNREAD_RETRY_S = 0.05  # a connection is looked at again when its time-out found unread bytes


class Phase(Enum):
    """What a connection does."""

    READING = auto()  # rests, or reads a request
    HANDLING = auto()
    LINGERING = auto()  # the last answer was written; the client is to read it
    CLOSED = auto()


class ServerConnection(HttpConnection):
    """One client's connection: requests in order, one at a time."""

    def __init__(self, server: "HttpServer") -> None:
        super().__init__()
        self._server = server
        self._loop = server.loop
        self._phase = Phase.READING
        self._reader: RequestReader | None = None
        self._responder: Responder | None = None
        self._keep_alive = True
        self._ahead = bytearray()  # read while a request is handled
        self._rested_since = 0.0
        self._deadline = 0.0
        self._whole_by = math.inf  # the request that is read must have come by then
        self._unsent_bytes = 0  # when a time-out was last looked at
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)
        self._rest()

    def data_received(self, data: bytes) -> None:
        if self._phase is Phase.READING:
            self._feed(data)
        elif self._phase is Phase.HANDLING:
            self._read_ahead(data)

    def _read_ahead(self, data: bytes) -> None:
        """Keeps the beginning of later requests. With too much of them the connection ends after this answer.

        Reading never pauses: the client's end would stay unseen behind what is not read.
        """
        self._ahead += data
        if len(self._ahead) > MAX_PIPELINED_BYTES:
            self._ahead.clear()
            self._keep_alive = False

    def eof_received(self) -> bool:
        """The client has closed, or has at least nothing more to say: it is taken to have gone."""
        if self._phase is Phase.LINGERING:
            return False  # what is written still leaves; the timer bounds it
        self._phase = Phase.CLOSED
        if self.unsent:
            self.transport.abort()
        self._detach_responder()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._phase = Phase.CLOSED
        self._server.connection_closed(self)
        if self._timer is not None:
            self._timer.cancel()
        self.resume_writing()
        self._detach_responder()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # Called by the responder.

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    async def writable(self) -> None:
        if self._writable is None:
            self._writable = self._loop.create_future()
        await asyncio.shield(self._writable)

    def closes_after_answer(self) -> bool:
        """Whether the connection closes after the answer, which is decided as the answer's head is made."""
        self._keep_alive = self._keep_alive and not self._server.draining
        return not self._keep_alive

    def answer_ended(self) -> None:
        self._responder = None
        self._server.request_ended()
        if not self._keep_alive:
            self._linger()
            return
        self._phase = Phase.READING
        ahead = bytes(self._ahead)
        self._ahead.clear()
        self._rest()
        if ahead:
            self._feed(ahead)

    def abort_answer(self, reset: bool) -> None:
        self._detach_responder()
        if reset or self.transport.get_write_buffer_size():
            self.reset()  # behind bytes that the client does not read, our end would not reach it
        else:
            self._linger()

    # Reading.

    def _rest(self) -> None:
        self._rested_since = self._server.now()
        self._arm(self._rested_since + self._server.limits().idle_timeout_s)

    def _feed(self, data: bytes) -> None:
        if self._reader is None:
            self._start_reader()
        reader = self._reader
        assert reader is not None
        had_head = reader.has_head
        try:
            request = reader.feed(data)
        except RequestRejectedError as rejection:
            self._reject(rejection.status)
            return
        if request is not None:
            self._hand_over(request, reader.surplus)
        elif reader.has_head:
            if not had_head:
                self._take_head(reader)
            self._await_body()

    def _take_head(self, reader: RequestReader) -> None:
        self._whole_by = reader.received_at + self._server.time_to_come(reader.head())
        if reader.expects_continue:
            self.write(CONTINUE)

    def _await_body(self) -> None:
        now = self._server.now()
        if now < self._whole_by:
            self._arm(min(self._whole_by, now + self._server.limits().idle_timeout_s))
        else:
            self._reject(408)

    def _start_reader(self) -> None:
        now, limits = self._server.now(), self._server.limits()
        self._reader = RequestReader(limits, now)
        self._arm(now + limits.header_timeout_s)

    def _hand_over(self, request: ServerRequest, surplus: bytes) -> None:
        self._reader = None
        self._phase = Phase.HANDLING
        self._keep_alive = request.keep_alive
        self._ahead += surplus
        self._responder = Responder(self, request)
        self._server.handle(request, self._responder)

    def _reject(self, status: int) -> None:
        self._reader = None
        self.write(encode_answer_head(status, [(b"Content-Length", b"0"), CLOSE_HEADER]))
        self._linger()

    # Timers: one a connection. It is not moved when its deadline moves later; it is set anew as it goes off.

    def _arm(self, deadline: float) -> None:
        self._deadline = deadline
        if self._timer is not None:
            if self._timer.when() <= deadline:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        if self._phase in (Phase.HANDLING, Phase.CLOSED):
            return  # set again when the answer has ended
        now = self._server.now()
        if self._phase is Phase.READING and self._reader is None:
            self._deadline = self._rested_since + self._server.limits().idle_timeout_s
        if now < self._deadline:
            self._arm(self._deadline)
        else:
            self._time_out(now)

    def _time_out(self, now: float) -> None:
        unsent, unsent_before = self.transport.get_write_buffer_size(), self._unsent_bytes
        self._unsent_bytes = unsent
        if unsent and unsent != unsent_before:
            self._arm(now + LINGER_S)  # the client still reads
        elif unsent or self._phase is Phase.LINGERING:
            self.transport.abort()
        elif self.unread():
            self._timer = self._loop.call_at(now + UNREAD_RETRY_S, self._timer_fired)
        elif self._reader is not None:
            self._reject(408)
        else:
            self._phase = Phase.CLOSED
            self.transport.close()

    # Closing.

    def _linger(self) -> None:
        """Ends our direction and waits for the client's: closing with unread bytes would reset the answer."""
        if self.transport.is_closing():
            return
        self._phase = Phase.LINGERING
        self._ahead.clear()
        self.transport.write_eof()
        self._arm(self._server.now() + LINGER_S)

    def _detach_responder(self) -> None:
        responder, self._responder = self._responder, None
        if responder is not None:
            self._server.request_ended()
            responder.detach()

    def close(self) -> None:
        """Closes after what was written has left; an answer that has not ended stays incomplete."""
        self._detach_responder()
        self._phase = Phase.CLOSED
        self.transport.close()


Handler = Callable[[ServerRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections at one address and hands each request to `handler` in a task of its own.

    `limits` is asked anew for each request. Where a handler raises or returns without an answer, the answer
    is 500; one that it leaves unfinished is aborted. `time_to_come` says by its head how long a request may
    take to come whole, in seconds from its first byte; past it the answer is 408.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        now: Callable[[], float] = time.monotonic,
        time_to_come: Callable[[RequestHead], float] = lambda _head: math.inf,
    ) -> None:
        self.limits = limits
        self.now = now  # the clock of the event loop
        self.time_to_come = time_to_come
        self.draining = False
        self.requests_held = 0  # read whole and not answered
        self.connections: set[ServerConnection] = set()
        self.loop: asyncio.AbstractEventLoop
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._all_closed: asyncio.Event = asyncio.Event()
        self._all_answered: asyncio.Event = asyncio.Event()

    @property
    def open_connections(self) -> int:
        """Connections that are open."""
        return len(self.connections)

    @property
    def port(self) -> int:
        """The port that is listened at."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, ip: str, port: int) -> None:
        """Listens. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), ip, port, backlog=BACKLOG, reuse_address=True
        )

    def begin_drain(self) -> None:
        """From now on each answer closes its connection. Connections at rest stay for what is on its way."""
        self.draining = True

    async def wait_until_idle(self) -> None:
        """Returns once no request is held that was read whole and not answered."""
        while self.requests_held:
            self._all_answered.clear()
            await self._all_answered.wait()

    async def stop(self) -> None:
        """Closes the listener and all connections, also those whose request is not answered."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
        for task in self._tasks:
            task.cancel()
        if not self.connections:
            return
        self._all_closed.clear()
        try:
            async with asyncio.timeout(STOP_FLUSH_S):
                await self._all_closed.wait()
        except TimeoutError:
            for connection in list(self.connections):
                connection.transport.abort()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Called by a connection that has closed."""
        self.connections.discard(connection)
        if not self.connections:
            self._all_closed.set()

    def request_ended(self) -> None:
        """Called by a connection whose request was answered, or is given up."""
        self.requests_held -= 1
        if not self.requests_held:
            self._all_answered.set()

    def handle(self, request: ServerRequest, responder: Responder) -> None:
        """Called by a connection that has read a request."""
        self.requests_held += 1
        task = self.loop.create_task(self._run_handler(request, responder))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_handler(self, request: ServerRequest, responder: Responder) -> None:
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            responder.abort()
            raise
        except Exception as error:  # noqa: BLE001 - a handler's fault ends its request, not the connection
            logger.opt(exception=error).error("the handler of {} {} failed", request.method, request.target)
        if not responder.started:
            await responder.respond(500, [])
        else:
            responder.abort()  # does nothing after the answer's end
