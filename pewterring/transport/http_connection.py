"""One HTTP/1.1 connection to a worker: one request at a time, with callbacks instead of tasks.

The connection notifies its owner, the pool of one address, when it becomes idle and when it closes. A failure
ends the exchange with an `ExchangeError`, which tells whether the request may have reached the worker.
"""

import asyncio
import socket
from collections import deque
from typing import Protocol

from loguru import logger

from pewterring.transport.http_answer import AnswerHead, AnswerReader
from pewterring.transport.http_common import HttpConnection, encode_request
from pewterring.transport.http_exchange import (
    REQUEST_ID,
    AnswerBrokenError,
    ConnectFailedError,
    Exchange,
    ExchangeError,
    SendRequest,
    StaleConnectionError,
    may_answer_request,
    repeats_request_id,
)

# A surplus answer takes the place of the next one due, so the latest id would do; a few more cost little.
REMEMBERED_IDS = 8
USER_TIMEOUT_MS = 5000  # the kernel closes the connection if sent bytes stay unacknowledged this long


class ConnectionOwner(Protocol):
    """The pool of connections to one address."""

    address: str  # `IP:port`

    def now(self) -> float:
        """Monotonic time in seconds."""
        ...

    def release(self, connection: "WorkerConnection", keep_alive_s: int | None) -> None:
        """Takes back an idle connection; `keep_alive_s` is the keep-alive timeout announced by the worker."""
        ...

    def forget(self, connection: "WorkerConnection") -> None:
        """Removes a connection that is closed or about to be closed."""
        ...


class WorkerConnection(HttpConnection):
    """One connection to a worker."""

    def __init__(self, owner: ConnectionOwner, exchange: Exchange) -> None:
        super().__init__()
        self.reuse_until = 0.0
        self._owner = owner
        self._exchange: Exchange | None = exchange
        self._reader = AnswerReader(exchange.request.method)
        self._answer_started = False
        self._connecting: asyncio.Task[None] | None = None
        self._carried_ids: deque[bytes] = deque(maxlen=REMEMBERED_IDS)
        exchange.attach(self)

    # Connecting.

    def connect(self, timeout_s: float) -> None:
        """Starts connecting; the request is written once the connection is established."""
        self._connecting = asyncio.get_running_loop().create_task(self._connect(timeout_s))

    async def _connect(self, timeout_s: float) -> None:
        ip, _, port = self._owner.address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: self, ip, int(port))
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            if not self.made:
                self._finish(ConnectFailedError(f"cannot connect to {self._owner.address}: {error!r}"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of `HttpConnection`."""
        super().connection_made(transport)
        exchange = self._exchange
        if exchange is None:  # cancelled while connecting
            self.transport.abort()
            return
        _set_user_timeout(self.transport)
        self._write(exchange.request)

    # Sending.

    def has_carried(self, request: SendRequest) -> bool:
        """Whether a request with the same id was sent on this connection recently.

        A late second answer to it would be taken for the answer to this request, as only the id tells answers
        apart, and all attempts of a request have the same one.
        """
        return request.request_id in self._carried_ids

    def reuse(self, exchange: Exchange) -> bool:
        """Sends another request. Returns False if the connection is closed and no byte of it was sent."""
        if self.transport.is_closing() or self.unread():
            return False
        self._write(exchange.request)
        if self.transport.is_closing():  # the first write failed
            return False
        self._exchange = exchange
        self._reader = AnswerReader(exchange.request.method)
        self._answer_started = False
        exchange.reused = True
        exchange.attach(self)
        return True

    def _write(self, request: SendRequest) -> None:
        if request.request_id is not None:
            self._carried_ids.append(request.request_id)
        headers = request.headers_at(self._owner.now())
        self.transport.write(encode_request(request.method, request.target, headers, request.body))

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Part of `HttpConnection`."""
        exchange, reader = self._exchange, self._reader
        if exchange is None:
            _log_surplus(self._owner.address, "", "")
            self.close()
            return
        self._answer_started = True
        had_head = reader.head is not None
        body = reader.feed(data)
        if reader.head is not None and not had_head and not self._take_head(exchange, reader.head):
            return
        if body and self._exchange is exchange:
            exchange.listener.on_data(body)
        if self._exchange is exchange:
            self._check_end()

    def _take_head(self, exchange: Exchange, head: AnswerHead) -> bool:
        if not may_answer_request(head, exchange.request, exchange.reused):
            answered = _text(head.get(REQUEST_ID))
            _log_surplus(self._owner.address, _text(exchange.request.request_id), answered)
            self._abort_with_error(AnswerBrokenError("the answer is that to another request"))
            return False
        exchange.listener.on_head(head)
        return True

    def _check_end(self) -> None:
        reader = self._reader
        if reader.error is not None:
            self._abort_with_error(AnswerBrokenError(reader.error))
        elif reader.complete:
            self._complete()

    def _complete(self) -> None:
        exchange, head = self._exchange, self._reader.head
        assert exchange is not None
        assert head is not None
        if not self._can_be_reused(exchange, head):
            self._finish(None)
            return
        self.transport.resume_reading()
        self._exchange = None
        self._owner.release(self, head.keep_alive_s)
        exchange.finish(None)

    def _can_be_reused(self, exchange: Exchange, head: AnswerHead) -> bool:
        """Whether the connection can be reused without mixing this exchange with the next one.

        A worker may answer before it has read a long body. Body bytes already in the socket buffer precede
        the next request. If some are still in the transport's write buffer, they are sent and the connection
        closes.
        """
        if (
            not self._reader.reusable
            or self._reader.surplus
            or not repeats_request_id(head, exchange.request)
        ):
            return False
        return self.up and not self.transport.get_write_buffer_size()

    def eof_received(self) -> bool:
        """Part of `HttpConnection`."""
        if self._exchange is not None:
            if self._is_stale():
                self._abort_with_error(StaleConnectionError("the reused connection was closed"))
            else:
                self._reader.end_of_input()
                self._check_end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Part of `HttpConnection`."""
        super().connection_lost(exc)
        if self._exchange is not None and self._is_stale():
            self._finish(StaleConnectionError(f"the reused connection was lost: {exc!r}"))
        else:
            self._finish(AnswerBrokenError(f"the connection was lost: {exc!r}"))

    def _is_stale(self) -> bool:
        return self._exchange is not None and self._exchange.reused and not self._answer_started

    # Ending.

    def cancel(self) -> None:
        """Drops the exchange and resets the connection, which discards undelivered bytes of the request.

        Without the reset, a request delayed by a slow link or a slow worker would reach the worker long after
        its client has disconnected.
        """
        self._exchange = None
        if self._connecting is not None and not self.made:
            self._connecting.cancel()
        if self.up:
            self.reset()
        self._owner.forget(self)

    def pause_reading(self) -> None:
        """Stops reading; received bytes stay in the socket buffer."""
        if self.up:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading."""
        if self.up:
            self.transport.resume_reading()

    def close(self) -> None:
        """Closes an idle connection."""
        self._owner.forget(self)
        self.transport.close()

    def _abort_with_error(self, error: ExchangeError) -> None:
        self.transport.abort()
        self._finish(error)

    def _finish(self, error: ExchangeError | None) -> None:
        """Ends the exchange, if there is one, and closes the connection."""
        self._owner.forget(self)
        exchange, self._exchange = self._exchange, None
        if self.made:
            self.transport.close()
        if exchange is not None:
            exchange.finish(error)


def _text(request_id: bytes | None) -> str:
    return (request_id or b"").decode("latin-1")


def _log_surplus(address: str, request: str, answered: str) -> None:
    """Logs bytes that answer no request: while `request` waited, or on an idle connection if it is empty."""
    logger.bind(event="surplus_answer", address=address, request=request, answered=answered).info(
        "A worker sent an answer that no request waited for; its connection is closed."
    )


def _set_user_timeout(transport: asyncio.Transport) -> None:
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
