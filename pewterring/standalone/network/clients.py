"""Client connections: each handles one request at a time, and each request gets one response."""

import asyncio
import socket
from collections import Counter
from typing import Protocol

from pewterring.standalone.http.messages import Malformed, Request
from pewterring.standalone.http.reader import MAX_BODY, MAX_HEAD, RequestReader
from pewterring.standalone.http.writer import CONTINUE, write_response
from pewterring.standalone.network.connection import Address, Connection
from pewterring.standalone.network.descriptors import Descriptors
from pewterring.standalone.network.ending import Ending

BACKLOG = 512
ACCEPT_RETRY_S = 0.05  # after accept() failed; accepting also continues when a descriptor is freed
LINGER_S = 1.0  # for a client that sent a malformed request to read its error response
DISCARD = 1024 * 1024  # bytes discarded from such a client meanwhile; more stays in the socket
WHOLE_S = 2.0  # for a request to be complete, from its first byte; for the first request from connecting
IDLE_S = 2.0  # a connection without a request is closed after this, the minimum that the protocol allows
RESTED_S = 0.5  # the same while descriptors run out; most clients send their first or next request sooner
DISCONNECT_CHECK_S = 0.1  # while reading is paused; no attempt may start 0.3 s after a client disconnected
ERROR_PAUSE_S = 0.1  # delay before the next request is read after an error: invalid requests
# repeated at full speed would take the event loop's time from all other clients


class Sink(Protocol):
    """Receives the requests."""

    def requested(self, client: "Client", request: Request) -> None: ...

    def gone(self, client: "Client") -> None:
        """The client disconnected; its request needs no response."""


class Client(Connection):
    """One connection of a client."""

    def __init__(self, listener: "Listener") -> None:
        super().__init__()
        self.listener = listener
        self.reader = RequestReader()
        self.busy = False  # a request was passed to the sink and has no response yet
        self.keep_alive = True
        self.since = 0.0  # start of the wait for a request, or for the client to read
        self.had_request = False  # whether a complete request was ever received
        self.lingering = False
        self.discarded = self.holding = 0  # bytes dropped; bytes of incomplete requests
        self.resting: asyncio.TimerHandle | None = None  # runs during the delay after an error
        self.disconnect_check: asyncio.TimerHandle | None = None  # while reading is paused
        self.ending: Ending | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.since = self.listener.loop.time()
        self.listener.clients.add(self)
        self.mark_idle()

    def mark_idle(self) -> None:
        if not self.reader.started:
            self.listener.idle[self] = None

    def received(self, data: memoryview) -> None:
        if self.ending is not None:
            return self.discard(len(data))
        self.listener.idle.pop(self, None)
        # Once per message and not for the first: bytes that arrive slowly or late do not extend the time
        # limit.
        if not self.reader.started and self.had_request:
            self.since = self.listener.loop.time()
        self.reader.feed(data)
        self.advance()
        if self.resting or self.read_ahead_full:  # further data stays in the socket
            self.pause()
        self.update_buffered()

    @property
    def read_ahead_full(self) -> bool:
        """Whether so much pipelined data is buffered that the rest has to stay in the socket."""
        return len(self.reader.data) > MAX_HEAD + MAX_BODY

    def pause(self) -> None:
        self.transport.pause_reading()
        if not self.disconnect_check:
            self.disconnect_check = self.listener.loop.call_later(DISCONNECT_CHECK_S, self.check_disconnect)

    def check_disconnect(self) -> None:
        """Detects a disconnect while reading is paused, as the transport does not report it then."""
        self.disconnect_check = None
        if self.up and self.ending is None and not self.transport.is_reading():
            if self.hung_up():
                return self.drop()
            self.disconnect_check = self.listener.loop.call_later(DISCONNECT_CHECK_S, self.check_disconnect)

    def advance(self) -> None:
        if self.busy or self.resting or self.ending is not None:
            return
        try:
            request = self.reader.next()
        except Malformed as error:
            return self.reject(error.status, Ending.UNREADABLE)
        if request is None:
            if self.reader.wants_continue():
                self.transport.write(CONTINUE)
            self.transport.resume_reading()
            return self.mark_idle()
        if self.hung_up():  # the client left while its request was in the socket: do not start it
            return self.drop()
        self.busy = self.had_request = True
        self.keep_alive = request.keep_alive
        self.listener.sink.requested(self, request)

    def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes, head_only: bool = False
    ) -> None:
        """Writes the response to the request that was passed to the sink."""
        if not self.busy or not self.up or self.ending is not None:
            return
        # Where few descriptors are left, closing right after the response does not cross another request.
        stays = self.keep_alive and not self.listener.closing and not self.listener.descriptors.crowded
        self.busy, self.since = False, self.listener.loop.time()
        self.transport.write(write_response(status, headers, body, stays, head_only))
        if not stays:
            return self.end(Ending.DONE)
        if not self.read_ahead_full:
            self.transport.resume_reading()
        self.mark_idle()
        self.update_buffered()
        if self.reader.started:  # not directly: many pipelined requests would overflow the stack
            self.listener.loop.call_soon(self.advance)

    def update_buffered(self) -> None:
        """Updates the count of buffered bytes. Where the incomplete requests of all clients exceed the limit,
        the client that adds to them is rejected."""
        size = 0 if self.ending else len(self.reader.data) + len(self.reader.body)
        self.listener.held += size - self.holding
        self.holding = size
        if self.listener.held > self.listener.room and self.ending is None and not self.busy:
            self.reject(503, Ending.NO_ROOM)
            self.update_buffered()

    def turn_away(self, status: int, why: str) -> None:
        """Sends an error for a well-formed but unusable request, and delays the next request."""
        self.answer(status, [], why.encode())
        if self.up and self.ending is None and not self.resting:
            self.resting = self.listener.loop.call_later(ERROR_PAUSE_S, self.resume)

    def resume(self) -> None:
        self.resting = None
        if not self.up or self.ending is not None:
            return
        self.advance()
        if not self.read_ahead_full:
            self.transport.resume_reading()

    def discard(self, size: int) -> None:
        self.discarded += size
        if self.discarded > DISCARD:
            self.transport.pause_reading()

    def reject(self, status: int, ending: Ending) -> None:
        """Sends an error and closes. Further data is read and dropped for a while: closing with unread data
        would reset the connection, and the client might lose the response."""
        self.ending, self.lingering = ending, True
        self.listener.rejected[str(status)] += 1
        self.reader = RequestReader()  # discards the buffered data
        self.since = self.listener.loop.time()
        self.transport.write(write_response(status, [], keep_alive=False))
        if not self.transport.is_closing():
            self.transport.write_eof()

    def evict(self) -> None:
        """Closes the connection to free its descriptor. The end of its request may be in transit, so the
        client gets a 503, which says that a retry is safe, and not just a close."""
        if self.ending is not None:  # another response was already sent
            return self.drop()
        self.listener.rejected["503"] += 1
        self.transport.write(write_response(503, [], keep_alive=False))
        self.end(Ending.SHED)

    def end(self, ending: Ending) -> None:
        """Closes after the buffered data is sent."""
        if self.ending is None:
            self.ending = ending
            self.listener.idle.pop(self, None)
            self.transport.close()

    def drop(self) -> None:
        if self.up:
            self.transport.abort()

    def eof_received(self) -> bool:
        self.disconnected()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.disconnected()
        self.listener.lost(self)

    def disconnected(self) -> None:
        """Handles a disconnect. Notifies the sink at most once, and only if a response is still due."""
        for timer in (self.resting, self.disconnect_check):
            if timer:
                timer.cancel()
        self.listener.held -= self.holding
        self.holding = 0
        self.listener.idle.pop(self, None)
        if self.ending is None:  # pipelined requests are dropped
            self.ending = Ending.CLIENT_GONE if self.busy else Ending.CLOSED
        if self.busy:
            self.busy = False
            self.listener.sink.gone(self)

    def overdue(self, now: float, patience: float) -> bool:
        """Whether the rest of a request, the reading of a response or the close takes too long (seconds)."""
        past = now - self.since
        if self.ending is not None:
            return past > LINGER_S if self.lingering else past > patience
        if self.busy:
            return False
        return past > (patience if self.unsent else WHOLE_S if self.reader.started else IDLE_S)


class Listener:
    """Accepts client connections while descriptors are available."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        descriptors: Descriptors,
        sink: Sink,
        room: int = 64 * MAX_BODY,
    ) -> None:
        self.held, self.room = 0, room  # bytes of incomplete requests, and their limit
        self.loop, self.descriptors, self.sink = loop, descriptors, sink
        self.clients: set[Client] = set()
        self.idle: dict[Client, None] = {}  # in the order in which they became idle
        self.opening: set[asyncio.Task[None]] = set()
        self.closing = False  # every further response closes its connection
        self.rejected: Counter[str] = Counter()  # rejected requests and connections by status
        self.accepting = False
        self.accepted_at = loop.time()
        self.socket: socket.socket | None = listen(address)

    @property
    def address(self) -> Address:
        assert self.socket is not None
        return Address(*self.socket.getsockname()[:2])

    def start(self) -> None:
        if self.socket and not self.accepting:
            self.accepting = True
            self.loop.add_reader(self.socket.fileno(), self.accept)

    def pause(self) -> None:
        if self.socket and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket.fileno())

    def accept(self) -> bool:
        """Accepts one connection. Without a free descriptor it pauses; others stay in the kernel's queue."""
        if self.socket is None:
            return False
        if not self.descriptors.take(accepting=True):
            self.pause()
            return False
        try:
            peer, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            self.descriptors.used -= 1
            return False
        except OSError:  # no descriptor in spite of the budget, or no memory
            self.descriptors.used -= 1
            self.pause()
            self.descriptors.shed()
            self.loop.call_later(ACCEPT_RETRY_S, self.start)
            return False
        self.accepted_at = self.loop.time()
        peer.setblocking(False)
        task = self.loop.create_task(self.open(peer))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)
        return True

    async def open(self, peer: socket.socket) -> None:
        client = Client(self)
        try:
            await self.loop.connect_accepted_socket(lambda: client, peer)
        except OSError:
            peer.close()
        finally:
            if not client.made:
                self.descriptors.give_back()

    def lost(self, client: Client) -> None:
        self.clients.discard(client)
        self.descriptors.give_back()

    def shed_rested(self) -> bool:
        """Closes the connection that has been idle longest, if it has been idle for RESTED_S."""
        until = self.loop.time() - RESTED_S
        client = next(iter(self.idle), None)  # ordered by the time they became idle
        if client is None or client.since > until or client.unread():
            return False
        client.end(Ending.SHED)
        return True

    def shed(self) -> bool:
        """Closes one connection without a complete request: the one idle longest, or else the one that
        has an incomplete request for longest, so that clients that never finish do not block others."""
        # Not one with an unread request: its client would retry after the close, but only once.
        client = next((client for client in self.idle if not client.unread()), None)
        if client:
            client.end(Ending.SHED)
            return True
        slow = [c for c in self.clients if c.lingering or (c.reader.started and not c.busy)]
        slow = [c for c in slow if c.up and not c.transport.is_closing() and not c.unread()]
        if slow:
            min(slow, key=lambda c: c.since).evict()
        return bool(slow)

    def sweep(self, patience: float) -> None:
        now = self.loop.time()
        for client in [c for c in self.clients if c.overdue(now, patience)]:
            if client.ending is not None or client.unsent:
                client.drop()
            elif client.reader.started:
                client.reject(408, Ending.UNFINISHED)
            elif not client.unread():  # its next request may have just arrived
                client.end(Ending.STALE)

    @property
    def stays(self) -> bool:
        """Whether any connection has not ended yet."""
        return any(c.ending is None for c in self.clients)

    def close_idle(self, idle_s: float) -> bool:
        """Closes connections idle for at least `idle_s`. Returns whether there were any."""
        until = self.loop.time() - idle_s
        ended = [c for c in self.idle if c.since <= until and not c.unread()]
        for client in ended:
            client.end(Ending.LEFT)
        return bool(ended)

    def close(self) -> None:
        """Stops listening, after accepting the connections in the kernel's queue."""
        if self.socket:
            while self.accept():
                pass
            self.pause()
            self.socket.close()
            self.socket = None


def listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
