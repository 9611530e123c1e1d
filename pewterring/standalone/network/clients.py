"""Clients' connections: requests come in one at a time on each, and each gets one answer."""

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
ACCEPT_RETRY_S = 0.05  # after the system refused a descriptor; accepting also goes on when one comes free
LINGER_S = 1.0  # how long a client that sent something unreadable may take to read what it is told
DISCARD = 1024 * 1024  # bytes of it that are read and dropped meanwhile; the rest waits in the socket
WHOLE_S = 2.0  # for a request to come whole: from its first byte, the first on a connection from connecting
IDLE_S = 2.0  # a connection without a request is closed after this, the least that the protocol allows
RESTED_S = 0.5  # and after this where descriptors get fewer; who asks again or at all mostly does so sooner
LEFT_S = 0.1  # who left is looked for so often where nothing is read: nothing is begun for it 0.3 s later
ERROR_PAUSE_S = 0.1  # after an error a connection's next request is read this much later: sent again and
# again at full speed, what cannot be used would take the loop's time from all others


class Sink(Protocol):
    """Who takes the requests."""

    def requested(self, client: "Client", request: Request) -> None: ...

    def gone(self, client: "Client") -> None:
        """The client went away; its request, if it has one, needs no answer."""


class Client(Connection):
    def __init__(self, listener: "Listener") -> None:
        super().__init__()
        self.listener = listener
        self.reader = RequestReader()
        self.busy = False  # a request was handed over and is not answered
        self.keep_alive = True
        self.since = 0.0  # when it began to wait for (the rest of) a request, or for its answer to be taken
        self.asked = False  # whether a whole request ever came
        self.lingering = False
        self.discarded = self.holding = 0  # bytes dropped; bytes of requests that have not come whole
        self.resting: asyncio.TimerHandle | None = None  # the pause after an error
        self.watching: asyncio.TimerHandle | None = None  # for its end, while nothing is read
        self.ending: Ending | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.since = self.listener.loop.time()
        self.listener.clients.add(self)
        self.rest()

    def rest(self) -> None:
        if not self.reader.started:
            self.listener.idle[self] = None

    def received(self, data: memoryview) -> None:
        if self.ending is not None:
            return self.discard(len(data))
        self.listener.idle.pop(self, None)
        # Once a message, and not for the first: bytes that trickle in, or come late, win no further time.
        if not self.reader.started and self.asked:
            self.since = self.listener.loop.time()
        self.reader.feed(data)
        self.advance()
        if self.resting or self.ahead:  # what follows waits in the socket
            self.pause()
        self.hold()

    @property
    def ahead(self) -> bool:
        """Whether so much was sent ahead that what follows has to wait in the socket."""
        return len(self.reader.data) > MAX_HEAD + MAX_BODY

    def pause(self) -> None:
        self.transport.pause_reading()
        if not self.watching:
            self.watching = self.listener.loop.call_later(LEFT_S, self.watch)

    def watch(self) -> None:
        """A client that leaves while nothing is read of it is not told of by its bytes' end."""
        self.watching = None
        if self.up and self.ending is None and not self.transport.is_reading():
            if self.hung_up():
                return self.drop()
            self.watching = self.listener.loop.call_later(LEFT_S, self.watch)

    def advance(self) -> None:
        if self.busy or self.resting or self.ending is not None:
            return
        try:
            request = self.reader.next()
        except Malformed as fault:
            return self.reject(fault.status, Ending.UNREADABLE)
        if request is None:
            if self.reader.wants_continue():
                self.transport.write(CONTINUE)
            self.transport.resume_reading()
            return self.rest()
        if self.hung_up():  # it waited in the socket for longer than its client did: nothing begins for it
            return self.drop()
        self.busy = self.asked = True
        self.keep_alive = request.keep_alive
        self.listener.sink.requested(self, request)

    def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes, head_only: bool = False
    ) -> None:
        """The one answer to the request handed over."""
        if not self.busy or not self.up or self.ending is not None:
            return
        # Where descriptors are few, a connection that ends with its answer crosses no further request.
        stays = self.keep_alive and not self.listener.closing and not self.listener.descriptors.crowded
        self.busy, self.since = False, self.listener.loop.time()
        self.transport.write(write_response(status, headers, body, stays, head_only))
        if not stays:
            return self.end(Ending.DONE)
        if not self.ahead:
            self.transport.resume_reading()
        self.rest()
        self.hold()
        if self.reader.started:  # not at once: a chain of requests sent ahead would run down the stack
            self.listener.loop.call_soon(self.advance)

    def hold(self) -> None:
        """Books what is buffered. Where all clients' unfinished requests fill their part of the memory, who
        adds to it is sent away."""
        size = 0 if self.ending else len(self.reader.data) + len(self.reader.body)
        self.listener.held += size - self.holding
        self.holding = size
        if self.listener.held > self.listener.room and self.ending is None and not self.busy:
            self.reject(503, Ending.NO_ROOM)
            self.hold()

    def turn_away(self, status: int, why: str) -> None:
        """An error for a request that could be read and can't be used, and a pause before the next."""
        self.answer(status, [], why.encode())
        if self.up and self.ending is None and not self.resting:
            self.resting = self.listener.loop.call_later(ERROR_PAUSE_S, self.resume)

    def resume(self) -> None:
        self.resting = None
        if not self.up or self.ending is not None:
            return
        self.advance()
        if not self.ahead:
            self.transport.resume_reading()

    def discard(self, size: int) -> None:
        self.discarded += size
        if self.discarded > DISCARD:
            self.transport.pause_reading()

    def reject(self, status: int, ending: Ending) -> None:
        """Says what was wrong and closes. What the client still sends is read and dropped for a while:
        closing on unread bytes would reset the connection and take the answer with it."""
        self.ending, self.lingering = ending, True
        self.listener.rejected[str(status)] += 1
        self.reader = RequestReader()  # what it holds is nobody's any more
        self.since = self.listener.loop.time()
        self.transport.write(write_response(status, [], keep_alive=False))
        if not self.transport.is_closing():
            self.transport.write_eof()

    def evict(self) -> None:
        """Its descriptor is needed. The last byte of its request may be on its way: it is told that trying
        again is harmless, and finds no close without a word."""
        if self.ending is not None:  # it was told something else before
            return self.drop()
        self.listener.rejected["503"] += 1
        self.transport.write(write_response(503, [], keep_alive=False))
        self.end(Ending.SHED)

    def end(self, ending: Ending) -> None:
        """Closes when what was written has gone out."""
        if self.ending is None:
            self.ending = ending
            self.listener.idle.pop(self, None)
            self.transport.close()

    def drop(self) -> None:
        if self.up:
            self.transport.abort()

    def eof_received(self) -> bool:
        self.leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.leave()
        self.listener.lost(self)

    def leave(self) -> None:
        """The client has gone: said once, and only where an answer is still due."""
        for timer in (self.resting, self.watching):
            if timer:
                timer.cancel()
        self.listener.held -= self.holding
        self.holding = 0
        self.listener.idle.pop(self, None)
        if self.ending is None:  # what it sent ahead is nobody's any more
            self.ending = Ending.CLIENT_GONE if self.busy else Ending.CLOSED
        if self.busy:
            self.busy = False
            self.listener.sink.gone(self)

    def overdue(self, now: float, patience: float) -> bool:
        """Whether the rest of a request, the taking of an answer or the close is waited for too long."""
        past = now - self.since
        if self.ending is not None:
            return past > LINGER_S if self.lingering else past > patience
        if self.busy:
            return False
        return past > (patience if self.unsent else WHOLE_S if self.reader.started else IDLE_S)


class Listener:
    """Accepts connections while there are descriptors for them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        descriptors: Descriptors,
        sink: Sink,
        room: int = 64 * MAX_BODY,
    ) -> None:
        self.held, self.room = 0, room  # bytes of requests that have not come whole, and how many may be held
        self.loop, self.descriptors, self.sink = loop, descriptors, sink
        self.clients: set[Client] = set()
        self.idle: dict[Client, None] = {}  # in the order in which they came to rest
        self.opening: set[asyncio.Task[None]] = set()
        self.closing = False  # every answer from now on closes its connection
        self.rejected: Counter[str] = Counter()  # what could not be read, by status
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
        """Takes one that waits. Where descriptors run out it pauses: the system's queue holds the rest."""
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
        except OSError:  # no descriptor after all, or no memory
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
        """Closes the connection that has been without a request for longest, if that is long."""
        until = self.loop.time() - RESTED_S
        client = next(iter(self.idle), None)  # they lie in the order in which they came to rest
        if client is None or client.since > until or client.unread():
            return False
        client.end(Ending.SHED)
        return True

    def shed(self) -> bool:
        """Closes one connection on which no request is held: the one that has idled longest, or else the one
        whose request has been coming in for longest, so that clients that never finish shut nobody out."""
        # Not one with a request unread: closed on it, the client would send it again, but only once.
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
            elif not client.unread():  # its next request may just have come
                client.end(Ending.STALE)

    @property
    def stays(self) -> bool:
        """Whether some connection has not come to its end."""
        return any(c.ending is None for c in self.clients)

    def close_idle(self, idle_s: float) -> bool:
        """Closes what has idled for so long; whether there was any."""
        until = self.loop.time() - idle_s
        ended = [c for c in self.idle if c.since <= until and not c.unread()]
        for client in ended:
            client.end(Ending.LEFT)
        return bool(ended)

    def close(self) -> None:
        """No more connections. What waits to be accepted is accepted first."""
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
