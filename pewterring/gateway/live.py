"""One live request at a gateway: attempts at workers within its time, and the answer to the client."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from pewterring.admission.service import ServiceAdmission
from pewterring.configuration.model import Route
from pewterring.gateway.attempt import (
    Verdict,
    answer_headers,
    is_event_stream,
    is_misdirected,
    judge,
    read_load,
    worker_request,
)
from pewterring.gateway.drain import Drain
from pewterring.gateway.metrics import Limit
from pewterring.gateway.request_trace import RequestTrace
from pewterring.gateway.stalls import GAP_SHARE, StallWatch, WatchedAttempt, WorkerSilent
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.prompt import Prompt
from pewterring.routing.worker_state import WorkerState
from pewterring.standalone.policy import interface as i
from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_client import AnswerBroken, ExchangeError, StaleConnection, WorkerPool
from pewterring.transport.http_fetch import AnswerStream
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.sse import EventSplitter, StreamEvent

MAX_SENDS = 4  # tries that certainly did not run count here only
RETRY_PAUSE_S = 0.01  # before a request goes elsewhere that no worker took
LEAST_LEFT_S = 0.005  # with less time left nothing is begun
PATIENCE = 1.5  # times the expected time to the first byte, before a worker's silence begins to count
CLEAN_WAIT = 0.25  # of the expected time: with more waiting ahead a sample says little of the reading itself


class End(Enum):
    """How an attempt ended."""

    DONE = auto()  # the client has its answer
    NOT_RUN = auto()
    MAY_HAVE_RUN = auto()


@dataclass(slots=True)
class Failure:
    """A worker's own failure, kept as the answer if no further attempt does better."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class LiveContext:
    """What all live requests of a gateway share."""

    pool: WorkerPool
    chooser: WorkerChooser
    watch: StallWatch
    tell_prompt: Callable[[WorkerState, int, Prompt], None]  # a worker was given so many tokens to read
    drain: Drain = field(default_factory=Drain)


class LiveRequest:
    """Carries one request to its end. The slot of admission is held by the caller."""

    def __init__(
        self,
        context: LiveContext,
        request: ServerRequest,
        responder: Responder,
        route: Route,
        service: str,
        prompt: Prompt,
        deadline: float,
        admission: ServiceAdmission,
        max_connections: int,
        trace: RequestTrace | None = None,
    ) -> None:
        self._context = context
        self._request = request
        self._responder = responder
        self._route = route
        self._service = service
        self._prompt = prompt
        self._deadline = deadline
        self._chooser = context.chooser
        self._admission = admission
        self._max_connections = max_connections
        self._trace = trace
        self._now = context.pool.now
        self._tried: set[str] = set()
        self._runs = 0  # attempts that may have run
        self._last_event_id: int | None = None
        self._begun = False
        self._failure: Failure | None = None
        self.limit: Limit | None = None  # what kept it from a worker's answer

    async def run(self) -> None:
        """Answers the client, unless it goes away first."""
        sends = 0
        while sends < MAX_SENDS and self._left_s() > LEAST_LEFT_S and not self._responder.disconnected:
            worker = self._chooser.choose(self._now(), self._service, self._prompt, self._tried)
            if worker is None:
                self.limit = self.limit or Limit.NO_WORKER
                break
            sends += 1
            end = await self._attempt(worker)
            if end is End.DONE:
                self.limit = None
                if self._trace is not None:
                    self._trace.done = True
                return
            self._tried.add(worker.record.id)
            if end is End.MAY_HAVE_RUN:
                self._runs += 1
                if not self._may_run_again():
                    break
            elif sends > 1:
                await asyncio.sleep(RETRY_PAUSE_S)
        await self._give_up()

    def _left_s(self) -> float:
        """Seconds until the deadline, or until this process ends."""
        return min(self._deadline, self._context.drain.ends_at) - self._now()

    def _may_run_again(self) -> bool:
        if not self._route.is_idempotent or self._runs >= self._route.max_attempts:
            return False
        return not self._begun or self._last_event_id is not None

    async def _give_up(self) -> None:
        responder = self._responder
        if self._left_s() <= LEAST_LEFT_S:
            self.limit = Limit.DEADLINE
        if self._begun:
            responder.abort()
        elif self._failure is not None:
            head = self._failure.head
            await responder.respond(head.status, answer_headers(head), self._failure.body)
        elif not self._runs:
            after = b"%.2f" % max(0.05, min(1.0, 0.25 * self._route.target_latency_ms / 1000))
            await responder.respond(503, [(b"Retry-After", after)])
        else:
            await responder.respond(504 if self._left_s() <= LEAST_LEFT_S else 502, [])

    async def _attempt(self, worker: WorkerState) -> End:
        now = self._now()
        message = worker_request(self._request, worker.record.id, self._deadline, self._resume_id())
        tokens = worker.uncached(self._prompt)
        times = self._chooser.times_of(self._service)
        wait_s = self._chooser.wait_s(now, worker, times)
        try:
            stream = AnswerStream(self._context.pool, worker.record.address, message, self._max_connections)
        except ExchangeError:
            self.limit = Limit.CONNECTIONS
            return End.NOT_RUN
        if self._trace is not None:
            read_s = times.per_token_s * tokens
            self._trace.sent(now, worker.record.id, tokens, read_s, wait_s, worker.out)
        worker.out += 1
        worker.pending_tokens += tokens
        worker.expect_reading(now, times.per_token_s * tokens)
        watched = self._watched(worker, stream, now, times.expected(tokens) + wait_s)
        clean = wait_s < CLEAN_WAIT * times.expected(tokens) and not worker.congested_s(now)
        reading = _Reading(tokens, now, wait_s, watched, clean)
        self._context.watch.add(watched)
        try:
            self._context.tell_prompt(worker, tokens, self._prompt)
            async with self._context.drain.timeout_at(self._deadline):
                return await self._read(worker, stream, reading)
        except ExchangeError as error:
            if self._trace is not None:
                self._trace.failure = type(error).__name__
            if not isinstance(error, WorkerSilent):  # the watch has told of that
                worker.failed(self._now(), certain=not isinstance(error, AnswerBroken | StaleConnection))
            return End.MAY_HAVE_RUN if error.sent else End.NOT_RUN
        except TimeoutError:
            return End.MAY_HAVE_RUN if stream.exchange.sent else End.NOT_RUN
        finally:
            worker.out -= 1
            worker.pending_tokens -= reading.pending_tokens
            self._context.watch.remove(watched)
            stream.cancel()

    def _watched(
        self, worker: WorkerState, stream: AnswerStream, now: float, expected_s: float
    ) -> WatchedAttempt:
        reading_s = worker.reading_after(now)  # which the watch allows for
        patience_s = max(0.0, PATIENCE * expected_s - reading_s) + self._silence_s() + worker.congested_s(now)
        repeatable = self._route.is_idempotent and self._runs + 1 < self._route.max_attempts
        return WatchedAttempt(worker, stream, patience_s, now, repeatable, expected_s)

    def _silence_s(self) -> float:
        """The silence of a worker that is borne: past it the answer would be late."""
        if self._route.token_gap_target_ms > 0:
            return GAP_SHARE * self._route.token_gap_target_ms / 1000
        return self._route.target_latency_ms / 1000

    def _resume_id(self) -> int | None:
        return self._last_event_id if self._begun else None

    async def _read(self, worker: WorkerState, stream: AnswerStream, reading: "_Reading") -> End:
        head = await stream.next_part()
        assert isinstance(head, AnswerHead)
        worker.heard(self._now())
        load = read_load(head)
        if load is not None:
            worker.take_report(worker.heard_at, load.running, load.waiting)
        verdict = judge(head)
        if verdict is Verdict.UNUSABLE:
            raise AnswerBroken(f"an answer of status {head.status} that may not reach the client")
        if verdict is Verdict.SUCCESS and is_event_stream(head):
            return await self._read_events(worker, stream, head, reading)
        body = await self._read_whole(stream)
        if verdict is Verdict.NOT_RUN:
            if is_misdirected(self._request, head):
                worker.misdirected(self._now())
            return End.NOT_RUN
        if verdict is Verdict.FAILURE or self._begun:
            if self._trace is not None:
                self._trace.failure = f"status {head.status}"
            self._failure = Failure(head, body)
            return End.MAY_HAVE_RUN
        self._first_byte(worker, reading)
        worker.answered()
        self._note_event(worker.heard_at)
        await self._responder.respond(head.status, answer_headers(head), body)
        return End.DONE

    @staticmethod
    async def _read_whole(stream: AnswerStream) -> bytes:
        pieces: list[bytes] = []
        while (part := await stream.next_part()) is not None:
            if isinstance(part, bytes):
                pieces.append(part)
        return b"".join(pieces)

    async def _read_events(
        self, worker: WorkerState, stream: AnswerStream, head: AnswerHead, reading: "_Reading"
    ) -> End:
        splitter = EventSplitter()
        reading.resumed_after = self._resume_id()
        while (part := await stream.next_part()) is not None:
            if not isinstance(part, bytes):
                continue
            worker.heard(self._now())
            self._pass_on(splitter.feed(part), worker, head, reading)
            if self._responder.paused:
                await self._responder.drain()
        self._pass_on(splitter.finish(), worker, head, reading)
        _check_end(head, splitter, reading)
        if not self._begun:
            self._responder.begin(head.status, answer_headers(head))
            self._begun = True
        self._responder.write(splitter.pending)  # empty lines at most
        self._responder.end()
        worker.answered()
        return End.DONE

    def _pass_on(
        self, events: list[StreamEvent], worker: WorkerState, head: AnswerHead, reading: "_Reading"
    ) -> None:
        """Gives whole events to the client. Raises AnswerBroken where a resumed run begins elsewhere."""
        if not events:
            return
        if not reading.done:
            self._first_byte(worker, reading)
        if reading.resumed_after is not None:
            if events[0].id != reading.resumed_after + 1:
                raise AnswerBroken("the stream does not go on behind the event that it was asked for")
            reading.resumed_after = None
        if not self._begun:
            self._begun = True
            self._responder.begin(head.status, answer_headers(head))
        self._note_event(worker.heard_at)
        self._responder.write(b"".join(event.raw for event in events))
        self._last_event_id = events[-1].id

    def _note_event(self, now: float) -> None:
        if self._trace is not None:
            self._trace.event(now)

    def _first_byte(self, worker: WorkerState, reading: "_Reading") -> None:
        """Learns from the time to the first byte: the service's times, the worker's speed, the ceiling."""
        reading.done = True
        now = self._now()
        seconds = now - reading.sent_at
        worker.pending_tokens -= reading.pending_tokens
        reading.pending_tokens = 0
        reading.watched.patience_s = self._silence_s()
        reading.watched.expected_s = math.inf
        worker.keep(self._prompt)
        times = self._chooser.times_of(self._service)
        expected = times.expected(reading.tokens)
        if reading.clean:
            times.learn(reading.tokens, seconds - reading.wait_s)
        expected += reading.wait_s
        ratio = seconds / max(1e-4, expected)
        worker.note_ratio(ratio)
        aim = self._route.target_latency_ms / 1000 / max(1e-4, expected)
        kind = i.RequestClass(self._route.name, aim, aim)
        self._admission.observe(now, kind, ratio)


def _check_end(head: AnswerHead, splitter: EventSplitter, reading: "_Reading") -> None:
    """Raises AnswerBroken where a stream that ended in good order is not whole.

    Symptom answered: a worker that breaks off closes its connection in good order, which ends an answer
    without a length. The middle of an event, and an end before the first one, are where no whole stream ends.
    """
    if splitter.amid_event:
        raise AnswerBroken("the stream ended in the middle of an event")
    if not head.framed and not reading.done:
        raise AnswerBroken("the stream ended with its connection before its first event")


class _Reading:
    """What an attempt waits for: the first byte, and on a resumed stream the event behind the last."""

    __slots__ = ("clean", "done", "pending_tokens", "resumed_after", "sent_at", "tokens", "wait_s", "watched")

    def __init__(
        self, tokens: int, sent_at: float, wait_s: float, watched: WatchedAttempt, clean: bool
    ) -> None:
        self.watched = watched
        self.clean = clean  # its time to the first byte says how long reading takes
        self.wait_s = wait_s  # expected wait for prompts sent before
        self.tokens = tokens
        self.pending_tokens = tokens
        self.sent_at = sent_at
        self.done = False
        self.resumed_after: int | None = None  # the event behind which the run must go on
