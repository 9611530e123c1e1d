"""One request to a worker and its answer, as seen by callers of the client, and the possible errors."""

from dataclasses import dataclass
from typing import Protocol

from pewterring.durations import MILLISECONDS_PER_SECOND
from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_common import Headers
from pewterring.transport.line_errors import TransportError

TIMEOUT_HEADER = b"Request-Timeout-Ms"
MIN_TIMEOUT_MS = 1  # a timeout of 0 could be interpreted as no limit


class ExchangeError(TransportError):
    """There is no complete answer. `sent` tells whether the worker may have received the request."""

    sent = True


class ConnectFailedError(ExchangeError):
    """No connection was established: the request was certainly not sent."""

    sent = False


class NoFreeConnectionError(ConnectFailedError):
    """The caller's connection limit is reached: the request was certainly not sent."""


class StaleConnectionError(ExchangeError):
    """A reused connection closed before any byte of the answer: the request may have been executed."""


class AnswerBrokenError(ExchangeError):
    """The answer was truncated, was not valid HTTP, or belongs to another request."""


@dataclass(frozen=True, slots=True)
class SendRequest:
    """A request to a worker. `headers` has no framing headers."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""
    request_id: bytes | None = None  # an answer with a different `Request-Id` is rejected
    deadline: float | None = None  # monotonic time; the time left is sent as `Request-Timeout-Ms`

    def headers_at(self, now: float) -> Headers:
        """Returns the headers of a request that is sent at `now`.

        The time left is computed only now: otherwise, after a slow connect, the worker would be given time
        that has already passed.
        """
        if self.deadline is None:
            return self.headers
        remaining_ms = max(MIN_TIMEOUT_MS, int((self.deadline - now) * MILLISECONDS_PER_SECOND))
        return [*self.headers, (TIMEOUT_HEADER, b"%d" % remaining_ms)]


REQUEST_ID = b"request-id"


def repeats_request_id(head: AnswerHead, request: SendRequest) -> bool:
    """Whether an answer repeats the id of the request."""
    return request.request_id is not None and head.get(REQUEST_ID) == request.request_id


def may_answer_request(head: AnswerHead, request: SendRequest, reused: bool) -> bool:
    """Whether an answer may belong to the request.

    Guards against a worker that sends more than one answer, when the surplus answer arrives after the next
    request was sent on the connection. Such an answer carries its id. Only workers that decline a request
    sometimes omit the id, and no connection is reused after an answer without it. Therefore a success without
    the id is rejected on a connection that has carried another request.
    """
    if repeats_request_id(head, request):
        return True
    answer_id = head.get(REQUEST_ID)
    if answer_id is not None:
        return request.request_id is None and not reused
    return not reused or not 200 <= head.status < 300


class AnswerListener(Protocol):
    """Receives the answer. No method is called after `on_end` or after the exchange was cancelled."""

    def on_head(self, head: AnswerHead) -> None:
        """Called with the head of the final answer; interim answers are skipped."""

    def on_data(self, data: bytes) -> None:
        """Called with the body bytes of one read."""

    def on_end(self, error: ExchangeError | None) -> None:
        """Called at the end: None if the answer is complete, otherwise the error."""


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    made: bool  # whether it was established, and the request written

    def cancel(self) -> None:
        """Cancels the exchange and closes the connection."""

    def pause_reading(self) -> None:
        """Stops reading; received bytes stay in the socket buffer."""

    def resume_reading(self) -> None:
        """Resumes reading."""


class Exchange:
    """One request and its answer."""

    __slots__ = ("_connection", "address", "listener", "request", "reused")

    def __init__(self, address: str, request: SendRequest, listener: AnswerListener) -> None:
        self.address = address
        self.request = request
        self.listener = listener
        self.reused = False  # whether the connection has carried a request before
        self._connection: ExchangeConnection | None = None

    @property
    def sent(self) -> bool:
        """Whether the worker may have received the request."""
        return self._connection is None or self._connection.made

    def cancel(self) -> None:
        """Closes the connection at once if the exchange has not ended."""
        if self._connection is not None:
            self._connection.cancel()

    def pause(self) -> None:
        """Stops reading the answer until `resume`."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume(self) -> None:
        """Resumes reading the answer."""
        if self._connection is not None:
            self._connection.resume_reading()

    def attach(self, connection: ExchangeConnection) -> None:
        """Called by the connection that carries the exchange."""
        self._connection = connection

    def finish(self, error: ExchangeError | None) -> None:
        """Called by the connection when the exchange ends."""
        self._connection = None
        self.listener.on_end(error)
