"""Runs one item at one worker over HTTP and reads the events of its answer.

Owns the exchange with the worker. What may go wrong: a worker stalls (the time-outs below end the exchange),
or its answer breaks off or makes no sense; each way has its `Failure`, and nothing is raised.
"""

import asyncio
import base64
import binascii
from collections.abc import Callable
from functools import partial

from pewterring.batch.execution import EventHandler
from pewterring.batch.scheduler import Failure, QueuedItem
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

FIRST_EVENT_TIMEOUT_S = 5.0  # from sending an item to its first event; longer: the worker counts as dead
NEXT_EVENT_TIMEOUT_S = 3.0  # between events: token gaps of a healthy worker are far below a second

EXPECT_VERSION = "expect-version"
OK = 200
UNPROCESSABLE = 422
SERVER_ERROR = 500

LoadHandler = Callable[[WorkerRecord, Load], None]

# Written by this program; an item's own headers of these names are left out.
OWN_HEADERS = HOP_BY_HOP | {b"host", b"content-length", REQUEST_ID, b"target-instance", b"last-event-id"}


class HttpItemRunner:
    """Implements `ItemRunner` on the pool of connections to workers."""

    def __init__(self, pool: WorkerPool, on_load: LoadHandler | None = None) -> None:
        self._pool = pool
        self._on_load = on_load

    async def run(self, item: QueuedItem, worker: WorkerRecord, on_event: EventHandler) -> Failure | None:
        """See `ItemRunner`. On cancellation the connection is closed at once."""
        try:
            request = item_request(item, worker)
        except (binascii.Error, UnicodeError):
            return Failure.REFUSED
        answer = _ItemAnswer(item, on_event, partial(self._report_load, worker))
        try:
            answer.exchange = self._pool.send(worker.address, request, answer, max(1, worker.capacity))
        except NoFreeConnectionError:
            return Failure.REFUSED
        try:
            return await answer.outcome
        finally:
            answer.stop()

    def _report_load(self, worker: WorkerRecord, head: AnswerHead) -> None:
        load = parse_load(head.get(LOAD_HEADER))
        if load is not None and self._on_load is not None:
            self._on_load(worker, load)


def item_request(item: QueuedItem, worker: WorkerRecord) -> SendRequest:
    """The request that runs an item, continued behind its last event (`Last-Event-Id`).

    Raises:
        binascii.Error: The body is not base64.
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
    """Reads one answer; `outcome` is set at its end, or when it stalls or makes no sense.

    Implements `AnswerListener`; `stop` ends its timer and its exchange.
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
        self._events = 0
        self._status = 0
        self._is_stream = False
        self._not_executed = False
        self._framed = True
        self._expects_version = any(name.lower() == EXPECT_VERSION for name in item.spec.headers)
        self._deadline = loop.time() + FIRST_EVENT_TIMEOUT_S
        self._timer = loop.call_at(self._deadline, self._check_stall)

    # Called by the exchange

    def on_head(self, head: AnswerHead) -> None:
        """Part of `AnswerListener`."""
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
            self._end(Failure.TRUNCATED)  # nothing of it may become the item's text

    def on_data(self, data: bytes) -> None:
        """Part of `AnswerListener`."""
        if not self._is_stream or self.outcome.done():
            return
        self._take_events(self._splitter.feed(data))

    def on_end(self, error: ExchangeError | None) -> None:
        """Part of `AnswerListener`."""
        self.exchange = None
        if self.outcome.done():
            return
        if error is None:
            self._take_events(self._splitter.finish())
            self._end(self._completed_outcome())
        elif isinstance(error, StaleConnectionError):
            self._end(Failure.STALE)
        else:
            self._end(Failure.TRUNCATED if error.sent else Failure.REFUSED)

    # Events

    def _follows(self, event: StreamEvent) -> bool:
        """Whether an event may follow those read so far: ids rise, and a continued run begins at the next."""
        if event.id is None or self._last_id is None:
            return not self._resumed or self._events > 0
        if self._resumed and not self._events:
            return event.id == self._last_id + 1
        return event.id > self._last_id

    def _take_events(self, events: list[StreamEvent]) -> None:
        for event in events:
            if not self._follows(event):
                self._end(Failure.TRUNCATED)
                return
            self._take(event)

    def _take(self, event: StreamEvent) -> None:
        self._events += 1
        self._last_id = event.id
        self._deadline = self._loop.time() + NEXT_EVENT_TIMEOUT_S
        self._on_event("" if event.id is None else str(event.id), event.data)

    # The end

    def stop(self) -> None:
        """Closes the connection, unless the answer has ended."""
        self._timer.cancel()
        if self.exchange is not None:
            self.exchange.cancel()
            self.exchange = None

    def _completed_outcome(self) -> Failure | None:
        """What an answer that ended in good order means; None where the item is done."""
        if self._is_stream:
            # No event behind the one asked for is a complete rest, but only where the head frames an empty
            # body: a worker that breaks off at once closes its connection too.
            has_rest = self._events > 0 or (self._resumed and self._framed)
            return None if has_rest and not self._splitter.amid_event else Failure.TRUNCATED
        if self._status == MISDIRECTED and self._expects_version:
            return Failure.OTHER_VERSION
        if self._not_executed:
            return Failure.REFUSED
        if self._status == UNPROCESSABLE:
            return Failure.IMPOSSIBLE
        if self._status == SERVER_ERROR:
            return Failure.FAILED
        return Failure.TRUNCATED if self._status == OK else Failure.REFUSED

    def _check_stall(self) -> None:
        if self._loop.time() >= self._deadline:
            self._end(Failure.TRUNCATED)
        else:
            self._timer = self._loop.call_at(self._deadline, self._check_stall)

    def _end(self, outcome: Failure | None) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)
