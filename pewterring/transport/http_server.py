"""HTTP/1.1 server on asyncio transports and h11, with one task per request.

Each piece of an answer is sent with one write. A request goes to the handler only after it was read
completely, so a request that was read in part has not been executed.
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

BACKLOG = 1024  # connections waiting to be accepted
LINGER_S = 1.0  # time for the client to read the last answer before the connection is closed
MAX_PIPELINED_BYTES = 64 * 1024  # pipelined requests buffered while an earlier request is handled
STOP_FLUSH_S = 0.5  # time to send the last answers when the server stops
UNREAD_RETRY_S = 0.05  # delay before a timeout is rechecked when the socket has unread bytes


class Phase(Enum):
    """State of a connection."""

    READING = auto()  # idle, or reading a request
    HANDLING = auto()
    LINGERING = auto()  # the last answer was written; waiting for the client to read it
    CLOSED = auto()


class ServerConnection(HttpConnection):
    """One client connection, which handles its requests in order, one at a time."""

    def __init__(self, server: "HttpServer") -> None:
        super().__init__()
        self._server = server
        self._loop = server.loop
        self._phase = Phase.READING
        self._reader: RequestReader | None = None
        self._responder: Responder | None = None
        self._keep_alive = True
        self._pipelined = bytearray()  # bytes received while a request is handled
        self._idle_since = 0.0
        self._deadline = 0.0
        self._request_deadline = math.inf  # deadline for receiving the complete request
        self._last_unsent_bytes = 0  # size of the write buffer at the last timeout
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)
        self._become_idle()

    def data_received(self, data: bytes) -> None:
        if self._phase is Phase.READING:
            self._feed(data)
        elif self._phase is Phase.HANDLING:
            self._buffer_pipelined(data)

    def _buffer_pipelined(self, data: bytes) -> None:
        """Buffers pipelined requests; if they exceed the limit, the connection closes after this answer.

        Reading is never paused: a close by the client would go unnoticed behind unread bytes.
        """
        self._pipelined += data
        if len(self._pipelined) > MAX_PIPELINED_BYTES:
            self._pipelined.clear()
            self._keep_alive = False

    def eof_received(self) -> bool:
        """Handles the end of the client's input, which counts as a disconnect."""
        if self._phase is Phase.LINGERING:
            return False  # bytes already written are still sent; the timer limits how long
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
        """Whether the connection closes after the answer; decided when the answer's head is encoded."""
        self._keep_alive = self._keep_alive and not self._server.draining
        return not self._keep_alive

    def answer_ended(self) -> None:
        self._responder = None
        self._server.request_ended()
        if not self._keep_alive:
            self._linger()
            return
        self._phase = Phase.READING
        pipelined = bytes(self._pipelined)
        self._pipelined.clear()
        self._become_idle()
        if pipelined:
            self._feed(pipelined)

    def abort_answer(self, reset: bool) -> None:
        self._detach_responder()
        if reset or self.transport.get_write_buffer_size():
            self.reset()  # the client would not see our EOF behind bytes that it does not read
        else:
            self._linger()

    # Reading.

    def _become_idle(self) -> None:
        self._idle_since = self._server.now()
        self._arm(self._idle_since + self._server.limits().idle_timeout_s)

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
            self._start_handling(request, reader.surplus)
        elif reader.has_head:
            if not had_head:
                self._take_head(reader)
            self._arm_body_timeout()

    def _take_head(self, reader: RequestReader) -> None:
        self._request_deadline = reader.received_at + self._server.arrival_timeout_s(reader.head())
        if reader.expects_continue:
            self.write(CONTINUE)

    def _arm_body_timeout(self) -> None:
        now = self._server.now()
        if now < self._request_deadline:
            self._arm(min(self._request_deadline, now + self._server.limits().idle_timeout_s))
        else:
            self._reject(408)

    def _start_reader(self) -> None:
        now, limits = self._server.now(), self._server.limits()
        self._reader = RequestReader(limits, now)
        self._arm(now + limits.header_timeout_s)

    def _start_handling(self, request: ServerRequest, surplus: bytes) -> None:
        self._reader = None
        self._phase = Phase.HANDLING
        self._keep_alive = request.keep_alive
        self._pipelined += surplus
        self._responder = Responder(self, request)
        self._server.handle(request, self._responder)

    def _reject(self, status: int) -> None:
        self._reader = None
        self.write(encode_answer_head(status, [(b"Content-Length", b"0"), CLOSE_HEADER]))
        self._linger()

    # Timeouts: each connection has one timer. If the deadline has moved later, it is rearmed when it fires.

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
            return  # armed again when the answer has ended
        now = self._server.now()
        if self._phase is Phase.READING and self._reader is None:
            self._deadline = self._idle_since + self._server.limits().idle_timeout_s
        if now < self._deadline:
            self._arm(self._deadline)
        else:
            self._time_out(now)

    def _time_out(self, now: float) -> None:
        unsent, last_unsent = self.transport.get_write_buffer_size(), self._last_unsent_bytes
        self._last_unsent_bytes = unsent
        if unsent and unsent != last_unsent:
            self._arm(now + LINGER_S)  # the client is still reading
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
        """Sends EOF and waits for the client's: closing with unread bytes would reset the connection."""
        if self.transport.is_closing():
            return
        self._phase = Phase.LINGERING
        self._pipelined.clear()
        self.transport.write_eof()
        self._arm(self._server.now() + LINGER_S)

    def _detach_responder(self) -> None:
        responder, self._responder = self._responder, None
        if responder is not None:
            self._server.request_ended()
            responder.detach()

    def close(self) -> None:
        """Closes after the written bytes are sent; an answer that has not ended stays incomplete."""
        self._detach_responder()
        self._phase = Phase.CLOSED
        self.transport.close()


Handler = Callable[[ServerRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections on one address and runs `handler` for each request in its own task.

    `limits` is called for each request. If a handler raises or returns without an answer, the answer is 500;
    an answer that it leaves unfinished is aborted. `arrival_timeout_s` returns, given the request's head, how
    many seconds from its first byte the request may take to arrive completely; after that the answer is 408.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        now: Callable[[], float] = time.monotonic,
        arrival_timeout_s: Callable[[RequestHead], float] = lambda _head: math.inf,
    ) -> None:
        self.limits = limits
        self.now = now  # clock of the event loop, in seconds
        self.arrival_timeout_s = arrival_timeout_s
        self.draining = False
        self.requests_in_flight = 0  # requests read completely and not answered
        self.connections: set[ServerConnection] = set()
        self.loop: asyncio.AbstractEventLoop
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._all_closed: asyncio.Event = asyncio.Event()
        self._all_answered: asyncio.Event = asyncio.Event()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self.connections)

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, ip: str, port: int) -> None:
        """Starts listening. Raises OSError if the address cannot be bound."""
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), ip, port, backlog=BACKLOG, reuse_address=True
        )

    def begin_drain(self) -> None:
        """Makes each answer close its connection. Idle ones stay open for requests already on their way."""
        self.draining = True

    async def wait_until_idle(self) -> None:
        """Waits until every request that was read completely has been answered."""
        while self.requests_in_flight:
            self._all_answered.clear()
            await self._all_answered.wait()

    async def stop(self) -> None:
        """Closes the listener and all connections, including those with an unanswered request."""
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
        """Called by a connection after it has closed."""
        self.connections.discard(connection)
        if not self.connections:
            self._all_closed.set()

    def request_ended(self) -> None:
        """Called by a connection when its request was answered or abandoned."""
        self.requests_in_flight -= 1
        if not self.requests_in_flight:
            self._all_answered.set()

    def handle(self, request: ServerRequest, responder: Responder) -> None:
        """Starts the handler; called by a connection that has read a complete request."""
        self.requests_in_flight += 1
        task = self.loop.create_task(self._run_handler(request, responder))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_handler(self, request: ServerRequest, responder: Responder) -> None:
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            responder.abort()
            raise
        except Exception as error:  # noqa: BLE001 - an error in a handler fails its request only
            logger.opt(exception=error).error("the handler of {} {} failed", request.method, request.target)
        if not responder.started:
            await responder.respond(500, [])
        else:
            responder.abort()  # no effect if the answer has ended
