"""One request to a worker and its answer, as the client's callers see them, and what can go wrong."""

from dataclasses import dataclass
from typing import Protocol

from pewterring.durations import MILLISECONDS_PER_SECOND
from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_common import Headers
from pewterring.transport.line_errors import TransportError

TIMEOUT_HEADER = b"Request-Timeout-Ms"
LEAST_TIMEOUT_MS = 1  # none at all could be read as no limit


class ExchangeError(TransportError):
    """No whole answer. `sent` says whether the worker may have got the request."""

    sent = True


class ConnectFailedError(ExchangeError):
    """No connection came up: the request was certainly not sent."""

    sent = False


class NoFreeConnectionError(ConnectFailedError):
    """All connections that the caller allows are in use: the request was certainly not sent."""


class StaleConnectionError(ExchangeError):
    """A reused connection closed before a byte of the answer: the request may or may not have been run."""


class AnswerBrokenError(ExchangeError):
    """The answer ended early, was not HTTP, or was that to another request."""


@dataclass(frozen=True, slots=True)
class SendRequest:
    """A request to a worker. `headers` holds no framing."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""
    request_id: bytes | None = None  # an answer with another `Request-Id` belongs to another request
    deadline: float | None = None  # steady clock; what is left then goes out as `Request-Timeout-Ms`

    def headers_at(self, now: float) -> Headers:
        """The headers of a request that is written at `now`.

        Symptom answered: a connection that took long to come up handed its worker time that had passed.
        """
        if self.deadline is None:
            return self.headers
        left_ms = max(LEAST_TIMEOUT_MS, int((self.deadline - now) * MILLISECONDS_PER_SECOND))
        return [*self.headers, (TIMEOUT_HEADER, b"%d" % left_ms)]


REQUEST_ID = b"request-id"


def names_request(head: AnswerHead, request: SendRequest) -> bool:
    """Whether an answer repeats the id of the request that it is taken for."""
    return request.request_id is not None and head.get(REQUEST_ID) == request.request_id


def may_belong(head: AnswerHead, request: SendRequest, reused: bool) -> bool:
    """Whether an answer may be that to the request.

    Symptom answered: a worker sends more than one answer, and the surplus one comes when the next request of
    the connection is out. It shows its id; only workers that decline leave the id out at times, and no
    connection is used again after an answer without it. So a success without the id on a connection that
    carried another request is not taken.
    """
    if names_request(head, request):
        return True
    answered = head.get(REQUEST_ID)
    if answered is not None:
        return request.request_id is None and not reused
    return not reused or not 200 <= head.status < 300


class AnswerListener(Protocol):
    """Who takes the answer. After `on_end`, and after the exchange was cancelled, nothing more is called."""

    def on_head(self, head: AnswerHead) -> None:
        """The head has come; interim answers are left out."""

    def on_data(self, data: bytes) -> None:
        """A part of the body, as much as was read at once."""

    def on_end(self, error: ExchangeError | None) -> None:
        """The answer is complete, or what went wrong."""


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    made: bool  # whether it has come up, and the request was written

    def cancel(self) -> None:
        """Drops the exchange and the connection."""

    def pause_reading(self) -> None:
        """Leaves what comes in the socket."""

    def resume_reading(self) -> None:
        """Reads again."""


class Exchange:
    """One request and its answer."""

    __slots__ = ("_connection", "address", "listener", "request", "reused")

    def __init__(self, address: str, request: SendRequest, listener: AnswerListener) -> None:
        self.address = address
        self.request = request
        self.listener = listener
        self.reused = False  # whether the connection carried a request before
        self._connection: ExchangeConnection | None = None

    @property
    def sent(self) -> bool:
        """Whether the worker may have got the request."""
        return self._connection is None or self._connection.made

    def cancel(self) -> None:
        """Closes the connection at once, if the exchange has not ended."""
        if self._connection is not None:
            self._connection.cancel()

    def pause(self) -> None:
        """Reads no more of the answer until `resume`."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume(self) -> None:
        """Goes on reading."""
        if self._connection is not None:
            self._connection.resume_reading()

    def attach(self, connection: ExchangeConnection) -> None:
        """Called by the connection that carries the exchange."""
        self._connection = connection

    def finish(self, error: ExchangeError | None) -> None:
        """Called by the connection at the exchange's end."""
        self._connection = None
        self.listener.on_end(error)
