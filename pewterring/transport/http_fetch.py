"""Coroutine interface to the callback-based client: read an answer completely or as a stream."""

import asyncio
from collections import deque
from dataclasses import dataclass

from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import AnswerBrokenError, Exchange, ExchangeError, SendRequest

MAX_UNREAD_BYTES = 256 * 1024  # received but not consumed; above this, reading pauses
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class AnswerTimeoutError(ExchangeError):
    """The answer was not complete within the timeout."""

    def __init__(self, sent: bool) -> None:
        super().__init__("no whole answer in time")
        self.sent = sent


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer."""

    head: AnswerHead
    body: bytes


AnswerPart = AnswerHead | bytes | None


class AnswerStream:
    """An answer as a sequence of parts: the head, pieces of the body, then None."""

    def __init__(self, pool: WorkerPool, address: str, request: SendRequest, limit: int) -> None:
        """Sends the request. Raises NoFreeConnectionError."""
        self._parts: deque[AnswerPart | ExchangeError] = deque()
        self._unread_bytes = 0
        self._arrival: asyncio.Future[None] | None = None
        self.exchange: Exchange = pool.send(address, request, self, limit)

    async def next_part(self) -> AnswerPart:
        """Returns the next part. Raises ExchangeError; there is no timeout if the worker sends nothing."""
        while not self._parts:
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        part = self._parts.popleft()
        if isinstance(part, ExchangeError):
            raise part
        if isinstance(part, bytes):
            self._count_consumed(len(part))
        return part

    def cancel(self) -> None:
        """Closes the connection at once if the answer has not ended."""
        self.exchange.cancel()

    def interrupt(self, error: ExchangeError) -> None:
        """Closes the connection at once; `next_part` raises `error` after the parts already received."""
        self.exchange.cancel()
        self._put(error)

    def on_head(self, head: AnswerHead) -> None:
        """Called by the exchange."""
        self._put(head)

    def on_data(self, data: bytes) -> None:
        """Called by the exchange."""
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES:
            self.exchange.pause()
        self._put(data)

    def on_end(self, error: ExchangeError | None) -> None:
        """Called by the exchange."""
        self._put(error)

    def _count_consumed(self, size: int) -> None:
        if self._unread_bytes > MAX_UNREAD_BYTES >= self._unread_bytes - size:
            self.exchange.resume()
        self._unread_bytes -= size

    def _put(self, part: AnswerPart | ExchangeError) -> None:
        self._parts.append(part)
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)


async def fetch(
    pool: WorkerPool, address: str, request: SendRequest, limit: int, timeout_s: float
) -> WholeAnswer:
    """Sends a request and reads the complete answer. Raises ExchangeError."""
    stream = AnswerStream(pool, address, request, limit)
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_complete(stream)
    except TimeoutError:
        raise AnswerTimeoutError(stream.exchange.sent) from None
    finally:
        stream.cancel()


async def _read_complete(stream: AnswerStream) -> WholeAnswer:
    head: AnswerHead | None = None
    pieces: list[bytes] = []
    size = 0
    while (part := await stream.next_part()) is not None:
        if isinstance(part, AnswerHead):
            head = part
            continue
        pieces.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise AnswerBrokenError("the answer is too long")
    assert head is not None
    return WholeAnswer(head, b"".join(pieces))
