"""One attempt of a live request at one worker: sends it, watches it for stalls, and forwards the answer.

An attempt counts at its worker (requests in flight, pending prefill tokens) and is registered with the stall
detector; both are undone however the attempt ends. The attempts of one request share its `Progress`.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from pewterring.admission.service import ServiceAdmission
from pewterring.configuration.model import Route
from pewterring.gateway.drain import Drain
from pewterring.gateway.metrics import Limit
from pewterring.gateway.request_trace import AttemptStart, RequestTrace
from pewterring.gateway.stall_detector import (
    TOKEN_GAP_FRACTION,
    StallDetector,
    WatchedAttempt,
    WorkerUnresponsiveError,
)
from pewterring.gateway.worker_protocol import (
    AnswerClass,
    classify_answer,
    client_headers,
    is_event_stream,
    is_misdirected,
    read_load,
)
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.prompt import Prompt
from pewterring.routing.worker_state import WorkerState
from pewterring.standalone.policy.interface import RequestClass
from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_client import (
    AnswerBrokenError,
    ExchangeError,
    StaleConnectionError,
    WorkerPool,
)
from pewterring.transport.http_fetch import AnswerStream
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.sse import EventSplitter, StreamEvent

FIRST_BYTE_TIMEOUT_FACTOR = 1.5  # multiple of the expected time to first byte, added to the idle time-out
# A measured time to first byte counts as a sample of prefill speed only if the expected wait for earlier
# prompts is at most this fraction of the expected time: after a longer wait it says little about prefill.
MAX_SAMPLE_WAIT_FRACTION = 0.25
MIN_EXPECTED_S = 1e-4  # lower bound of divisors


class AttemptOutcome(Enum):
    """How an attempt ended."""

    DONE = auto()  # the client has received its answer
    NOT_RUN = auto()  # the worker certainly did not run the request
    MAY_HAVE_RUN = auto()


@dataclass(slots=True)
class WorkerFailure:
    """A failure that a worker answered; the client gets it if no later attempt succeeds."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class LiveContext:
    """Dependencies shared by all live requests of a gateway."""

    pool: WorkerPool
    chooser: WorkerChooser
    stalls: StallDetector
    announce_prompt: Callable[[WorkerState, int, Prompt], None]  # called with the tokens to be prefilled
    drain: Drain = field(default_factory=Drain)


@dataclass(slots=True)
class AdmittedRequest:
    """A request that holds one admission slot, which the caller that acquired it releases."""

    request: ServerRequest
    responder: Responder
    route: Route
    service: str
    prompt: Prompt
    deadline: float  # monotonic time
    admission: ServiceAdmission
    max_connections: int  # limit per worker
    trace: RequestTrace | None = None


@dataclass(slots=True)
class Progress:
    """The state shared by the attempts of one request."""

    possible_runs: int = 0  # number of attempts that may have run
    answer_begun: bool = False  # the client has received the head of an answer
    last_event_id: int | None = None  # id of the last event sent to the client
    failure: WorkerFailure | None = None
    limit: Limit | None = None  # the limit that prevents an answer from a worker

    @property
    def resume_after(self) -> int | None:
        """Id of the event after which the next attempt resumes; None if it starts from the beginning."""
        return self.last_event_id if self.answer_begun else None


class LiveAttempt:
    """One attempt. `stream` is the answer; its request has already been submitted."""

    __slots__ = (
        "_admitted",
        "_context",
        "_first_byte_received",
        "_is_clean_sample",
        "_now",
        "_pending_tokens",
        "_progress",
        "_resume_after",
        "_sent_at",
        "_stream",
        "_tokens",
        "_wait_s",
        "_watched",
        "_worker",
    )

    def __init__(
        self,
        context: LiveContext,
        admitted: AdmittedRequest,
        progress: Progress,
        worker: WorkerState,
        stream: AnswerStream,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._progress = progress
        self._worker = worker
        self._stream = stream
        self._now = context.pool.now
        self._resume_after = progress.resume_after
        self._first_byte_received = False

    def _start(self) -> None:
        """Counts the attempt at its worker and registers it with the stall detector."""
        worker, admitted = self._worker, self._admitted
        self._sent_at = now = self._now()
        self._tokens = self._pending_tokens = tokens = worker.uncached_tokens(admitted.prompt)
        times = self._context.chooser.times_of(admitted.service)
        self._wait_s = wait_s = self._context.chooser.prefill_wait_s(
            now, worker, times
        )  # for prompts sent earlier
        prefill_s = times.per_token_s * tokens
        if admitted.trace is not None:
            admitted.trace.add_attempt(
                AttemptStart(now, worker.record.id, tokens, prefill_s, wait_s, worker.in_flight)
            )
        worker.in_flight += 1
        worker.pending_tokens += tokens
        worker.expect_prefill(now, prefill_s)
        expected_s = times.expected(tokens)
        self._watched = self._create_watched_attempt(now, expected_s + wait_s)
        self._is_clean_sample = (
            wait_s < MAX_SAMPLE_WAIT_FRACTION * expected_s and not worker.unexplained_wait_s(now)
        )
        self._context.stalls.add(self._watched)

    def _create_watched_attempt(self, now: float, expected_s: float) -> WatchedAttempt:
        worker, route = self._worker, self._admitted.route
        prefill_s = worker.prefill_s_after(now)  # subtracted because the detector adds it again
        first_byte_s = max(0.0, FIRST_BYTE_TIMEOUT_FACTOR * expected_s - prefill_s)
        timeout_s = first_byte_s + self._idle_timeout_s() + worker.unexplained_wait_s(now)
        may_retry = route.is_idempotent and self._progress.possible_runs + 1 < route.max_attempts
        failed_before = self._progress.possible_runs > 0
        return WatchedAttempt(
            worker, self._stream, timeout_s, now, may_retry, expected_s, failed_before=failed_before
        )

    def _idle_timeout_s(self) -> float:
        """Returns how long a worker may send nothing before the answer is likely to miss its target."""
        route = self._admitted.route
        if route.token_gap_target_ms > 0:
            return TOKEN_GAP_FRACTION * route.token_gap_target_ms / 1000
        return route.target_latency_ms / 1000

    async def run(self) -> AttemptOutcome:
        """Forwards the worker's answer to the client and returns how the attempt ended."""
        context, admitted = self._context, self._admitted
        self._start()
        try:
            context.announce_prompt(self._worker, self._tokens, admitted.prompt)
            async with context.drain.timeout_at(admitted.deadline):
                return await self._read()
        except ExchangeError as error:
            self._report_error(error)
            return AttemptOutcome.MAY_HAVE_RUN if error.sent else AttemptOutcome.NOT_RUN
        except TimeoutError:
            return AttemptOutcome.MAY_HAVE_RUN if self._stream.exchange.sent else AttemptOutcome.NOT_RUN
        finally:
            self._worker.in_flight -= 1
            self._worker.pending_tokens -= self._pending_tokens
            context.stalls.remove(self._watched)
            self._stream.cancel()

    def _report_error(self, error: ExchangeError) -> None:
        if self._admitted.trace is not None:
            self._admitted.trace.failure = type(error).__name__
        if not isinstance(error, WorkerUnresponsiveError):  # the detector has already marked the worker
            certain = not isinstance(error, AnswerBrokenError | StaleConnectionError)
            self._worker.record_failure(self._now(), certain=certain)

    async def _read(self) -> AttemptOutcome:
        head = await self._stream.next_part()
        assert isinstance(head, AnswerHead)
        worker = self._worker
        worker.record_byte(self._now())
        load = read_load(head)
        if load is not None:
            worker.record_load(worker.last_byte_at, load.running, load.waiting)
        answer_class = classify_answer(head)
        if answer_class is AnswerClass.UNUSABLE:
            raise AnswerBrokenError(f"an answer with status {head.status} that must not be forwarded")
        if answer_class is AnswerClass.SUCCESS and is_event_stream(head):
            return await self._read_events(head)
        body = await self._read_body()
        if answer_class is AnswerClass.NOT_RUN:
            if is_misdirected(self._admitted.request, head):
                worker.record_wrong_worker(self._now())
            return AttemptOutcome.NOT_RUN
        if answer_class is AnswerClass.FAILURE or self._progress.answer_begun:
            return self._keep_failure(head, body)
        return await self._forward_answer(head, body)

    async def _read_body(self) -> bytes:
        chunks: list[bytes] = []
        while (chunk := await self._stream.next_part()) is not None:
            if isinstance(chunk, bytes):
                chunks.append(chunk)
        return b"".join(chunks)

    def _keep_failure(self, head: AnswerHead, body: bytes) -> AttemptOutcome:
        if self._admitted.trace is not None:
            self._admitted.trace.failure = f"status {head.status}"
        self._progress.failure = WorkerFailure(head, body)
        return AttemptOutcome.MAY_HAVE_RUN

    async def _forward_answer(self, head: AnswerHead, body: bytes) -> AttemptOutcome:
        self._record_first_byte()
        self._worker.record_success()
        if self._admitted.trace is not None:
            self._admitted.trace.add_event(self._worker.last_byte_at)
        await self._admitted.responder.respond(head.status, client_headers(head), body)
        return AttemptOutcome.DONE

    async def _read_events(self, head: AnswerHead) -> AttemptOutcome:
        splitter, responder, worker = EventSplitter(), self._admitted.responder, self._worker
        while (chunk := await self._stream.next_part()) is not None:
            if not isinstance(chunk, bytes):
                continue
            worker.record_byte(self._now())
            self._forward_events(splitter.feed(chunk), head)
            if responder.paused:
                await responder.drain()
        self._forward_events(splitter.finish(), head)
        self._check_complete(head, splitter)
        if not self._progress.answer_begun:
            self._begin_answer(head)
        responder.write(splitter.pending)  # at most blank lines
        responder.end()
        worker.record_success()
        return AttemptOutcome.DONE

    def _forward_events(self, events: list[StreamEvent], head: AnswerHead) -> None:
        """Forwards complete events to the client.

        Raises:
            AnswerBrokenError: A resumed stream does not begin with the event that was requested.
        """
        if not events:
            return
        if not self._first_byte_received:
            self._record_first_byte()
        if self._resume_after is not None:
            if events[0].id != self._resume_after + 1:
                raise AnswerBrokenError("the resumed stream does not continue after the requested event")
            self._resume_after = None
        if not self._progress.answer_begun:
            self._begin_answer(head)
        if self._admitted.trace is not None:
            self._admitted.trace.add_event(self._worker.last_byte_at)
        self._admitted.responder.write(b"".join(event.raw for event in events))
        self._progress.last_event_id = events[-1].id

    def _begin_answer(self, head: AnswerHead) -> None:
        self._progress.answer_begun = True
        self._admitted.responder.begin(head.status, client_headers(head))

    def _check_complete(self, head: AnswerHead, splitter: EventSplitter) -> None:
        """Checks that a stream whose connection was closed normally is complete.

        A worker that aborts a stream may close its connection normally, which is also how an answer without
        a length ends. A stream that ends within an event, or before its first one, is truncated.

        Raises:
            AnswerBrokenError: The stream is truncated.
        """
        if splitter.has_partial_event:
            raise AnswerBrokenError("the stream ended in the middle of an event")
        if not head.framed and not self._first_byte_received:
            raise AnswerBrokenError("the stream ended with its connection before its first event")

    def _record_first_byte(self) -> None:
        """Updates the service's timing model, the worker's slowness and the concurrency limit."""
        self._first_byte_received = True
        now = self._now()
        worker, admitted = self._worker, self._admitted
        worker.pending_tokens -= self._pending_tokens
        self._pending_tokens = 0
        self._watched.idle_timeout_s = self._idle_timeout_s()
        self._watched.expected_s = math.inf
        worker.record_cached(admitted.prompt)
        seconds = now - self._sent_at
        times = self._context.chooser.times_of(admitted.service)
        expected_s = times.expected(self._tokens) + self._wait_s
        if self._is_clean_sample:
            times.learn(self._tokens, seconds - self._wait_s)
        ratio = seconds / max(MIN_EXPECTED_S, expected_s)
        worker.record_ratio(ratio)
        target = admitted.route.target_latency_ms / 1000 / max(MIN_EXPECTED_S, expected_s)
        admitted.admission.observe(now, RequestClass(admitted.route.name, target, target), ratio)
