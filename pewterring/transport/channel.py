"""A connection between two processes that carries JSON lines in both directions."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from loguru import logger

from pewterring.transport.line_codec import MAX_GREETING_BYTES, Envelope, MessageCodec
from pewterring.transport.line_errors import (
    ChannelClosedError,
    RequestFailedError,
    RequestNotSentError,
    RequestTimeoutError,
    UndecodableLineError,
)
from pewterring.transport.send_queue import SendQueue

MAX_LINE_BYTES = 32 * 1024 * 1024
MAX_BACKLOG_BYTES = 4 * 1024 * 1024  # not yet accepted by the kernel, beside a long line that is being sent
# Time within which the peer's greeting must arrive. Greetings are sent on connect, so only a stalled process,
# a network partition or a foreign program takes longer. Without the limit, a client that connects and sends
# nothing would occupy a connection and its file descriptor forever.
GREETING_S = 10.0
USER_TIMEOUT_MS = 2000  # the kernel closes the connection if sent bytes stay unacknowledged this long
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3

Message = msgspec.Struct
Answer = Message | None
MessageHandler = Callable[["Channel", Any], Answer | Awaitable[Answer]]


class PeerWarnings:
    """Logs at most one warning per peer."""

    def __init__(self) -> None:
        self._warned: set[str] = set()

    def warn(self, ip: str, problem: str) -> None:
        """Logs the problem unless there was a warning about this peer before."""
        if ip in self._warned:
            return
        self._warned.add(ip)
        logger.warning("connection with {} closed: {}", ip, problem)


def set_liveness_options(sock: Any) -> None:
    """Makes the kernel close connections to unresponsive peers, where the platform supports it."""
    options = (
        (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
        (socket.IPPROTO_TCP, "TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, "TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, "TCP_KEEPCNT", KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
    )
    for level, name, value in options:
        option = getattr(socket, name, None)
        if option is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(level, option, value)


def _call_soon(callback: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(callback)


class Channel(asyncio.Protocol):
    """One side of a connection. asyncio itself sets TCP_NODELAY.

    `on_message` is called with each message that is not a reply. Its result is sent as the reply if the
    sender requested one; awaitables run as tasks, other results are sent at once.

    Each side first sends the greeting of its cluster, without waiting for that of the peer. No other line is
    accepted before the peer's greeting; if it does not arrive within `GREETING_S`, the connection closes.

    A reply is matched to its request by the connection and the request id. Ids increase and are never reused
    on a connection. A reply is ignored if its request was abandoned or already answered, or if the connection
    has ended.
    """

    def __init__(
        self,
        codec: MessageCodec,
        on_message: MessageHandler | None = None,
        warnings: PeerWarnings | None = None,
    ) -> None:
        self.remote_ip = ""
        self.closed = False
        self.on_close: list[Callable[[Channel], None]] = []
        self._codec = codec
        self._on_message = on_message
        self._warnings = warnings or PeerWarnings()
        self._transport: asyncio.Transport | None = None
        self._send_queue = SendQueue(self._write_to_transport, _call_soon)
        self._partial = bytearray()  # an incomplete line
        self._greeted = False  # whether the peer's greeting was received
        self._greeting_timer: asyncio.TimerHandle | None = None
        self._request_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Message]] = {}
        self._tasks: set[asyncio.Future[Answer]] = set()

    # Sending

    def send(self, message: Message) -> bool:
        """Sends a one-way message; False if it was dropped."""
        return self.send_line(self._codec.line(message)) if self._can_write() else False

    def send_line(self, line: bytes) -> bool:
        """Sends a line from `MessageCodec.line`, which many channels may share; False if it was dropped."""
        if not self._can_write():
            return False
        self._write(line)
        return True

    async def request(self, message: Message, timeout_s: float) -> Message:
        """Sends a message and waits for its reply.

        Raises `RequestNotSentError`, `ChannelClosedError`, `RequestTimeoutError` or `RequestFailedError`.
        """
        if not self._can_write():
            raise RequestNotSentError(f"no connection with {self.remote_ip}, or its backlog is full")
        request_id = next(self._request_ids)
        line = self._codec.line(message, request_id)
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Message] = loop.create_future()
        self._pending[request_id] = reply
        timer = loop.call_later(timeout_s, self._time_out_request, request_id)
        try:
            self._write(line)
            return await reply
        finally:
            timer.cancel()
            self._pending.pop(request_id, None)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait to be passed to the transport."""
        return self._send_queue.waiting_bytes

    def close(self) -> None:
        """Closes the connection after written bytes are sent; pending requests fail at once."""
        if self._transport is not None:
            self._send_queue.flush()
            self._transport.close()
        self._end("closed here")

    def abort(self) -> None:
        """Closes the connection at once and drops unsent bytes."""
        if self._transport is not None:
            self._transport.abort()
        self._end("closed here")

    def cancel_handlers(self) -> None:
        """Cancels running handlers of this channel."""
        for task in tuple(self._tasks):
            task.cancel()

    def _can_write(self) -> bool:
        if self.closed or self._transport is None:
            return False
        backlog_bytes = self._transport.get_write_buffer_size() + self._send_queue.backlog_bytes
        return backlog_bytes <= MAX_BACKLOG_BYTES

    def _write(self, line: bytes) -> None:
        self._send_queue.send(line)

    def _write_to_transport(self, data: bytes | memoryview) -> None:
        assert self._transport is not None
        self._transport.write(data)

    def _time_out_request(self, request_id: int) -> None:
        reply = self._pending.pop(request_id, None)
        if reply is not None and not reply.done():
            reply.set_exception(RequestTimeoutError(f"{self.remote_ip} did not answer in time"))

    # Called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.remote_ip = transport.get_extra_info("peername", ("",))[0]
        set_liveness_options(transport.get_extra_info("socket"))
        transport.write(self._codec.greeting)
        self._greeting_timer = asyncio.get_running_loop().call_later(GREETING_S, self._on_greeting_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        """Part of `asyncio.Protocol`."""
        self._end(str(error) if error else "closed by the peer")

    def pause_writing(self) -> None:
        """Part of `asyncio.Protocol`."""
        self._send_queue.pause()

    def resume_writing(self) -> None:
        """Part of `asyncio.Protocol`."""
        self._send_queue.resume()

    def data_received(self, data: bytes) -> None:
        """Part of `asyncio.Protocol`."""
        if self.closed:
            return
        if self._partial:
            end, line_feed, data = data.partition(b"\n")
            self._partial += end
            if not line_feed:
                self._check_length()
                return
            line = bytes(self._partial)
            self._partial.clear()
            self._receive(line)
        *lines, incomplete_line = data.split(b"\n")
        for line in lines:
            if self.closed:
                return
            self._receive(line)
        self._partial += incomplete_line
        self._check_length()

    def _check_length(self) -> None:
        if len(self._partial) > self._max_line_bytes:
            self._reject(f"a line is longer than {self._max_line_bytes} bytes")

    @property
    def _max_line_bytes(self) -> int:
        return MAX_LINE_BYTES if self._greeted else MAX_GREETING_BYTES

    # Receiving

    def _check_line(self, line: bytes) -> None:
        if len(line) > self._max_line_bytes:
            raise UndecodableLineError(f"a line is longer than {self._max_line_bytes} bytes")

    def _receive(self, line: bytes) -> None:
        try:
            self._check_line(line)
            if not self._greeted:
                self._codec.check_greeting(line)
                self._greeted = True
                self._stop_greeting_timer()
                return
            envelope = self._codec.decode_line(line)
            if envelope.reply_to:
                self._complete_request(envelope)
                return
            message = self._codec.decode(envelope.body)
        except UndecodableLineError as error:
            self._reject(str(error))
            return
        if self._on_message is not None:
            self._handle(self._on_message, envelope.id, message)

    def _complete_request(self, envelope: Envelope) -> None:
        reply = self._pending.pop(envelope.reply_to, None)
        if reply is None or reply.done():
            return
        if envelope.is_failure:
            reply.set_exception(RequestFailedError(f"{self.remote_ip} could not answer"))
            return
        try:
            reply.set_result(self._codec.decode(envelope.body))
        except UndecodableLineError:
            reply.set_exception(ChannelClosedError(f"{self.remote_ip} sent a reply that is no message"))
            raise

    def _handle(self, handler: MessageHandler, request_id: int, message: Message) -> None:
        try:
            result = handler(self, message)
        except Exception:  # noqa: BLE001 - an error in a handler fails its request only
            logger.exception("handling {} from {} failed", type(message).__name__, self.remote_ip)
            self._answer_failure(request_id)
            return
        if result is None or isinstance(result, msgspec.Struct):
            self._answer(request_id, result)
            return
        task = asyncio.ensure_future(result)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish(request_id, done))

    def _finish(self, request_id: int, task: asyncio.Future[Answer]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            self._answer_failure(request_id)
            return
        error = task.exception()
        if error is None:
            self._answer(request_id, task.result())
            return
        logger.opt(exception=error).error("handling a message from {} failed", self.remote_ip)
        self._answer_failure(request_id)

    def _answer(self, request_id: int, answer: Answer) -> None:
        """Sends a reply, even past the backlog limit, because the peer waits for it."""
        if request_id and answer is not None and not self.closed:
            self._write(self._codec.line(answer, reply_to=request_id))

    def _answer_failure(self, request_id: int) -> None:
        if request_id and not self.closed:
            self._write(self._codec.failure_line(request_id))

    # Ending

    def _on_greeting_timeout(self) -> None:
        self._reject(f"no greeting within {GREETING_S:g} s")

    def _stop_greeting_timer(self) -> None:
        if self._greeting_timer is not None:
            self._greeting_timer.cancel()
            self._greeting_timer = None

    def _reject(self, problem: str) -> None:
        self._warnings.warn(self.remote_ip, problem)
        self.abort()

    def _end(self, reason: str) -> None:
        if self.closed:
            return
        self.closed = True
        self._stop_greeting_timer()
        self._partial.clear()
        self._send_queue.clear()
        pending, self._pending = self._pending, {}
        for reply in pending.values():
            if not reply.done():
                reply.set_exception(ChannelClosedError(f"connection with {self.remote_ip}: {reason}"))
        for callback in tuple(self.on_close):
            callback(self)
