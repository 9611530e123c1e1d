"""Runs one item at one worker over HTTP and reads the events of its answer.

Owns the exchange with the worker. What may go wrong: a worker stalls (the timeouts below end the exchange),
or its answer is truncated or malformed. Each of these is returned as a `Failure`; nothing is raised.
"""

import asyncio
import base64
import binascii
from collections.abc import Callable
from functools import partial

from pewterring.batch.execution import EventHandler
from pewterring.batch.items import Failure, QueuedItem
from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.load_report import LOAD_HEADER, Load, parse_load
from pewterring.standalone.http.messages import HOP_BY_HOP
from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_common import MISDIRECTED, Headers
from pewterring.transport.http_exchange import (
    REQUEST_ID,
    Exchange,
    ExchangeError,
    NoFreeConnectionError,
    SendRequest,
    StaleConnectionError,
)
from pewterring.transport.sse import EventSplitter, StreamEvent

FIRST_EVENT_TIMEOUT_S = 5.0  # from sending an item to its first event; a slower worker counts as failed
NEXT_EVENT_TIMEOUT_S = 3.0  # between events; a healthy worker takes far less than a second per token

EXPECT_VERSION = "expect-version"
OK = 200
UNPROCESSABLE = 422
SERVER_ERROR = 500

_FAILURES_BY_STATUS = {
    OK: Failure.TRUNCATED,
    UNPROCESSABLE: Failure.IMPOSSIBLE,
    SERVER_ERROR: Failure.FAILED,
}

LoadHandler = Callable[[QueuedItem, Load], None]

# Headers that this program sets, or that concern one connection only; those of an item are not sent.
OWN_HEADERS = HOP_BY_HOP | {b"host", b"content-length", REQUEST_ID, b"target-instance", b"last-event-id"}


class HttpItemRunner:
    """Implements `ItemRunner` with the pool of connections to workers.

    Args:
        pool: The connections to workers.
        on_load: Called with an item and the load that its worker reports in the head of the answer.
    """

    def __init__(self, pool: WorkerPool, on_load: LoadHandler | None = None) -> None:
        self._pool = pool
        self._on_load = on_load

    async def run(self, item: QueuedItem, worker: WorkerRecord, on_event: EventHandler) -> Failure | None:
        """See `ItemRunner`. On cancellation the connection is closed at once."""
        try:
            request = item_request(item, worker)
        except (binascii.Error, UnicodeError):
            return Failure.REJECTED
        answer = _ItemAnswer(item, on_event, partial(self._report_load, item))
        try:
            answer.exchange = self._pool.send(worker.address, request, answer, max(1, worker.capacity))
        except NoFreeConnectionError:
            return Failure.NOT_SENT
        try:
            return await answer.outcome
        finally:
            answer.stop()

    def _report_load(self, item: QueuedItem, head: AnswerHead) -> None:
        load = parse_load(head.get(LOAD_HEADER))
        if load is not None and self._on_load is not None:
            self._on_load(item, load)


def item_request(item: QueuedItem, worker: WorkerRecord) -> SendRequest:
    """The request that runs an item, or resumes it after the last event received (`Last-Event-Id`).

    Raises:
        binascii.Error: The body is not valid base64.
        UnicodeError: A header cannot be written in Latin-1.
    """
    spec = item.spec
    item_id = spec.id.encode("latin-1")
    headers: Headers = [(b"Host", item.route[0].encode("latin-1")), (b"Request-Id", item_id)]
    for name, value in spec.headers.items():
        raw_name = name.encode("latin-1")
        if raw_name.lower() not in OWN_HEADERS:
            headers.append((raw_name, value.encode("latin-1")))
    if item.last_event_id:
        headers.append((b"Last-Event-Id", item.last_event_id.encode("latin-1")))
    headers.append((b"Target-Instance", worker.id.encode("latin-1")))
    body = base64.b64decode(spec.body, validate=True)
    return SendRequest("POST", spec.path, headers, body, request_id=item_id)


class _ItemAnswer:
    """Reads one answer; `outcome` is set when the answer ends, stalls or is malformed.

    Implements `AnswerListener`. A timer detects a stalled answer; `stop` ends the timer and the exchange.
    """

    def __init__(
        self, item: QueuedItem, on_event: EventHandler, on_head: Callable[[AnswerHead], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        self.exchange: Exchange | None = None
        self.outcome: asyncio.Future[Failure | None] = loop.create_future()
        self._loop = loop
        self._on_event = on_event
        self._on_head = on_head
        self._splitter = EventSplitter()
        self._last_id = int(item.last_event_id) if item.last_event_id else None
        self._resumed = self._last_id is not None
        self._event_count = 0
        self._status = 0
        self._is_stream = False
        self._not_executed = False
        self._framed = True
        self._expects_version = any(name.lower() == EXPECT_VERSION for name in item.spec.headers)
        self._deadline = loop.time() + FIRST_EVENT_TIMEOUT_S
        self._timer = loop.call_at(self._deadline, self._check_stall)

    # Called by the exchange

    def on_head(self, head: AnswerHead) -> None:
        """See `AnswerListener`."""
        self._on_head(head)
        self._status = head.status
        self._not_executed = head.get(b"not-executed") is not None
        self._framed = head.framed
        self._is_stream = (
            head.status == OK
            and head.get(b"response-signature") is not None
            and head.get(b"content-encoding") is None
        )
        if head.status == OK and not self._is_stream:
            self._end(Failure.TRUNCATED)  # no part of this answer may become the item's text

    def on_data(self, data: bytes) -> None:
        """See `AnswerListener`."""
        if not self._is_stream or self.outcome.done():
            return
        self._take_events(self._splitter.feed(data))

    def on_end(self, error: ExchangeError | None) -> None:
        """See `AnswerListener`."""
        self.exchange = None
        if self.outcome.done():
            return
        if error is None:
            self._take_events(self._splitter.finish())
            self._end(self._completed_outcome())
        elif isinstance(error, StaleConnectionError):
            self._end(Failure.STALE)
        else:
            self._end(Failure.TRUNCATED if error.sent else Failure.UNREACHABLE)

    # Events

    def _is_in_sequence(self, event: StreamEvent) -> bool:
        """Whether the event may follow those read so far: ids increase, and a resumed stream has no gap."""
        if event.id is None or self._last_id is None:
            return not self._resumed or self._event_count > 0
        if self._resumed and not self._event_count:
            return event.id == self._last_id + 1
        return event.id > self._last_id

    def _take_events(self, events: list[StreamEvent]) -> None:
        for event in events:
            if not self._is_in_sequence(event):
                self._end(Failure.TRUNCATED)
                return
            self._take_event(event)

    def _take_event(self, event: StreamEvent) -> None:
        self._event_count += 1
        self._last_id = event.id
        self._deadline = self._loop.time() + NEXT_EVENT_TIMEOUT_S
        self._on_event("" if event.id is None else str(event.id), event.data)

    # End of the exchange

    def stop(self) -> None:
        """Stops the timer, and closes the connection unless the answer has ended."""
        self._timer.cancel()
        if self.exchange is not None:
            self.exchange.cancel()
            self.exchange = None

    def _completed_outcome(self) -> Failure | None:
        """The outcome of an answer that ended without a transport error; None if the item is done."""
        if self._is_stream:
            # A resumed stream without further events is complete, but only if its head frames an empty body:
            # otherwise the end of the connection may also mean that the worker failed at once.
            is_complete = self._event_count > 0 or (self._resumed and self._framed)
            return None if is_complete and not self._splitter.has_partial_event else Failure.TRUNCATED
        if self._status == MISDIRECTED:
            return Failure.OTHER_VERSION if self._expects_version else Failure.UNREACHABLE
        if self._not_executed:
            return Failure.DECLINED
        if self._status > SERVER_ERROR:
            return Failure.SERVER_ERROR
        return _FAILURES_BY_STATUS.get(self._status, Failure.REJECTED)

    def _check_stall(self) -> None:
        if self._loop.time() >= self._deadline:
            self._end(Failure.STALLED)
        else:
            self._timer = self._loop.call_at(self._deadline, self._check_stall)

    def _end(self, outcome: Failure | None) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)
