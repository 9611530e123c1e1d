"""Interface through which a handler answers one request."""

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from pewterring.transport.http_common import (
    BODILESS_STATUSES,
    CHUNKED_HEADER,
    CLOSE_HEADER,
    LAST_CHUNK,
    Headers,
    encode_answer_head,
    encode_chunk,
)
from pewterring.transport.http_request import ServerRequest


class AnswerConnection(Protocol):
    """The connection that carries the answer."""

    unsent: bool  # whether unsent bytes exceed the limit, so that writers should wait

    def write(self, data: bytes) -> None:
        """Sends bytes, or buffers them until they can be sent."""

    async def writable(self) -> None:
        """Waits while `unsent` is true."""

    def closes_after_answer(self) -> bool:
        """Whether the connection closes after this answer; decided when its head is encoded."""

    def answer_ended(self) -> None:
        """Called when the answer is complete."""

    def abort_answer(self, reset: bool) -> None:
        """Closes with an incomplete answer; `reset` if a normal close would make it look complete."""


class AnswerState(Enum):
    """Progress of an answer."""

    NOT_STARTED = auto()
    STREAMING = auto()
    ENDED = auto()


class Responder:
    """Sends the answer to one request. After the client has disconnected, calls have no effect."""

    __slots__ = ("_callbacks", "_chunked", "_connection", "_finished", "_head", "_request", "_state")

    def __init__(self, connection: AnswerConnection, request: ServerRequest) -> None:
        self._connection: AnswerConnection | None = connection
        self._request = request
        self._state = AnswerState.NOT_STARTED
        self._chunked = False
        self._head: bytes | None = None  # sent with the first body piece or in the next loop iteration
        self._callbacks: list[Callable[[], None]] = []
        self._finished: asyncio.Future[None] | None = None

    @property
    def started(self) -> bool:
        """Whether an answer has begun."""
        return self._state is not AnswerState.NOT_STARTED

    @property
    def disconnected(self) -> bool:
        """Whether the client disconnected, or the answer was aborted, before the end of the answer."""
        return self._connection is None and self._state is not AnswerState.ENDED

    @property
    def paused(self) -> bool:
        """Whether `drain` would wait because the client reads too slowly."""
        return self._connection is not None and self._connection.unsent

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Calls `callback` if the client disconnects before the answer ends; at once if it already has."""
        if self.disconnected:
            callback()
        else:
            self._callbacks.append(callback)

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Sends a complete answer."""
        if self.started:
            raise RuntimeError("the answer has begun already")
        connection = self._connection
        if connection is None:
            return
        length = [] if status in BODILESS_STATUSES else [(b"Content-Length", b"%d" % len(body))]
        head = self._encode_head(status, headers + length)
        connection.write(head if self._has_no_body(status) else head + body)
        self._end_answer()

    def begin(self, status: int, headers: Headers) -> None:
        """Starts an answer whose body is sent in pieces. `headers` has no framing headers."""
        if self.started:
            raise RuntimeError("the answer has begun already")
        self._state = AnswerState.STREAMING
        connection = self._connection
        if connection is None:
            return
        self._chunked = self._request.http_version != b"1.0" and not self._has_no_body(status)
        self._head = self._encode_head(status, [*headers, CHUNKED_HEADER] if self._chunked else headers)
        asyncio.get_running_loop().call_soon(self._flush_head)

    def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if self._state is not AnswerState.STREAMING:
            raise RuntimeError("the answer has not begun or is over")
        if self._connection is None or not data or self._request.method == "HEAD":
            return
        self._connection.write(self._take_head() + (encode_chunk(data) if self._chunked else data))

    def end(self) -> None:
        """Ends an answer started with `begin`."""
        if self._state is not AnswerState.STREAMING:
            raise RuntimeError("the answer has not begun or is over")
        if self._connection is None:
            return
        last = self._take_head() + (LAST_CHUNK if self._chunked else b"")
        if last:
            self._connection.write(last)
        self._end_answer()

    def abort(self) -> None:
        """Closes the connection so that an unfinished answer does not look complete."""
        connection = self._connection
        if connection is None:
            return
        unsent_head = self._take_head()
        connection.abort_answer(reset=self.started and not self._chunked and not unsent_head)

    async def drain(self) -> None:
        """Waits while the client reads too slowly."""
        if self._connection is not None and self._connection.unsent:
            await self._connection.writable()

    async def finished(self) -> None:
        """Waits until the answer ends or is aborted, or the client disconnects."""
        if self._connection is None:
            return
        if self._finished is None:
            self._finished = asyncio.get_running_loop().create_future()
        await self._finished

    def detach(self) -> None:
        """Called by the connection when it closes before the answer ends."""
        self._connection = None
        self._resolve_finished()
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def _has_no_body(self, status: int) -> bool:
        return self._request.method == "HEAD" or status in BODILESS_STATUSES

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        assert self._connection is not None
        if self._connection.closes_after_answer():
            headers = [*headers, CLOSE_HEADER]
        return encode_answer_head(status, headers)

    def _take_head(self) -> bytes:
        head, self._head = self._head, None
        return head or b""

    def _flush_head(self) -> None:
        if self._head is not None and self._connection is not None:
            self._connection.write(self._take_head())

    def _end_answer(self) -> None:
        connection, self._connection = self._connection, None
        self._state = AnswerState.ENDED
        self._callbacks.clear()
        self._resolve_finished()
        assert connection is not None
        connection.answer_ended()

    def _resolve_finished(self) -> None:
        if self._finished is not None and not self._finished.done():
            self._finished.set_result(None)
