"""Live requests through a gateway's front, at workers played on loopback."""

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial

import pytest

from pewterring.admission.service import ServiceAdmission
from pewterring.configuration.model import Route, RouteType, WeightedService
from pewterring.distribution.messages import WorkerRecord
from pewterring.edge.attempt import worker_request
from pewterring.edge.live import LiveContext, LiveRequest
from pewterring.edge.stalls import StallWatch
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.prompt import NO_PROMPT, Prompt
from pewterring.routing.worker_state import WorkerState
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch
from pewterring.transport.http_request import RequestReader, ServerLimits, ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer

Behaviour = Callable[[ServerRequest, Responder], Awaitable[None]]
LIMITS = ServerLimits(16384, 4194304, 5.0, 60.0)
SIGNED = [(b"Response-Signature", b"stamp"), (b"Content-Type", b"text/event-stream")]
PLAIN = [(b"Response-Signature", b"stamp")]
PATIENCE_S = 10.0
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nResponse-Signature: stamp\r\n"
UNFRAMED_STREAM = UNFRAMED_HEAD + b"Content-Type: text/event-stream\r\n\r\n"


def route(kind: RouteType, attempts: int = 2, resumable: bool = False) -> Route:
    services = (WeightedService("s", 1.0),)
    return Route("r", "h", "/p/", kind, services, 5000, 200, 0, attempts, True, resumable, 250)


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


@dataclass(frozen=True)
class RawAnswer:
    """Bytes that a worker answers with before it ends the connection, in good order or by a reset."""

    data: bytes
    reset: bool = False

    async def serve(
        self, saw: Callable[[ServerRequest], None], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = RequestReader(LIMITS, 0.0)
        while (request := parser.feed(await reader.read(65536))) is None:
            pass
        saw(request)
        writer.write(self.data)
        await writer.drain()
        if self.reset:
            option = struct.pack("ii", 1, 0)  # closing discards what is unsent and resets the connection
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        writer.close()


@dataclass
class Tier:
    """One front and the workers behind it."""

    route: Route
    behaviours: list[Behaviour | RawAnswer]
    seen: list[tuple[int, ServerRequest]] = field(default_factory=list)
    watch: StallWatch = field(default_factory=StallWatch)
    pool: WorkerPool = field(default_factory=WorkerPool)
    admission: ServiceAdmission = field(default_factory=lambda: ServiceAdmission(1))
    time_s: float = PATIENCE_S  # that the request may take
    servers: list[HttpServer] = field(default_factory=list)
    raw_servers: list[asyncio.Server] = field(default_factory=list)

    async def start(self) -> None:
        records = {}
        for number, behaviour in enumerate(self.behaviours):
            port = await self._start_worker(number, behaviour)
            address = f"127.0.0.1:{port}"
            records[f"w{number}"] = WorkerRecord(f"w{number}", "s", address, "z", 4, "ready")
        chooser = WorkerChooser("z", random.Random(1))
        chooser.update(records, None)
        for number in range(len(self.behaviours)):  # the first worker is chosen first
            chooser.workers[f"w{number}"].slowness = 1.0 + number
        self.context = LiveContext(self.pool, chooser, self.watch, lambda worker, tokens, prompt: None)
        self.front = HttpServer(self._front, lambda: LIMITS)
        await self.front.start("127.0.0.1", 0)
        self.servers.append(self.front)

    async def _start_worker(self, number: int, behaviour: Behaviour | RawAnswer) -> int:
        if isinstance(behaviour, RawAnswer):
            raw = await asyncio.start_server(
                partial(behaviour.serve, lambda request: self.seen.append((number, request))), "127.0.0.1", 0
            )
            self.raw_servers.append(raw)
            port: int = raw.sockets[0].getsockname()[1]
            return port
        server = HttpServer(self._worker(number, behaviour), lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        self.servers.append(server)
        return server.port

    def _worker(self, number: int, behaviour: Behaviour) -> Behaviour:
        async def handle(request: ServerRequest, responder: Responder) -> None:
            self.seen.append((number, request))
            await behaviour(request, responder)

        return handle

    async def _front(self, request: ServerRequest, responder: Responder) -> None:
        deadline = self.pool.now() + self.time_s
        await LiveRequest(
            self.context, request, responder, self.route, "s", NO_PROMPT, deadline, self.admission, 10
        ).run()

    async def ask(self, *more: tuple[bytes, bytes]) -> WholeAnswer:
        headers = [(b"Host", b"h"), (b"Request-Id", b"7"), *more]
        request = SendRequest("POST", "/p/x?", headers, b"body", request_id=b"7")
        return await fetch(self.pool, f"127.0.0.1:{self.front.port}", request, 10, PATIENCE_S)

    async def stop(self) -> None:
        self.pool.close()
        for server in self.servers:
            await server.stop()
        for raw in self.raw_servers:
            raw.close()
            await raw.wait_closed()


def play(tier: Tier, story: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await tier.start()
        try:
            await asyncio.wait_for(story(), PATIENCE_S)
        finally:
            await tier.stop()

    asyncio.run(run())


async def whole_stream(request: ServerRequest, responder: Responder) -> None:
    first = int(request.get(b"last-event-id") or b"0") + 1
    responder.begin(200, [(b"Request-Id", b"7"), *SIGNED])
    for number in range(first, 5):
        responder.write(event(number))
    responder.end()


async def cut_stream(request: ServerRequest, responder: Responder) -> None:
    responder.begin(200, [(b"Request-Id", b"7"), *SIGNED])
    responder.write(event(1) + event(2) + event(3)[:7])
    responder.abort()


async def full(request: ServerRequest, responder: Responder) -> None:
    await responder.respond(503, [(b"Not-Executed", b"1")])


async def misdirected(request: ServerRequest, responder: Responder) -> None:
    await responder.respond(421, [])


async def broken(request: ServerRequest, responder: Responder) -> None:
    responder.abort()


async def answered(request: ServerRequest, responder: Responder) -> None:
    await responder.respond(200, PLAIN, b"result")


async def failed(request: ServerRequest, responder: Responder) -> None:
    await responder.respond(500, PLAIN, b"failure")


async def silent(request: ServerRequest, responder: Responder) -> None:
    await responder.finished()


def test_a_stream_passes_whole_with_what_was_asked_unchanged() -> None:
    tier = Tier(route(RouteType.STREAMING), [whole_stream])

    async def story() -> None:
        answer = await tier.ask()
        assert answer.body == b"".join(event(n) for n in range(1, 5))
        assert answer.head.get(b"response-signature") == b"stamp"
        ((_, request),) = tier.seen
        assert (request.target, request.body) == ("/p/x?", b"body")
        assert request.get(b"target-instance") == b"w0"
        assert 0 < told_ms(request) <= PATIENCE_S * 1000

    play(tier, story)


def told_ms(request: ServerRequest) -> int:
    (value,) = [value for name, value in request.headers if name.lower() == b"request-timeout-ms"]
    return int(value)


@pytest.mark.parametrize("headers", [(), ((b"Request-Timeout-Ms", b"900"),)])
def test_a_worker_is_told_the_time_left_and_nothing_else(headers: tuple[tuple[bytes, bytes], ...]) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [answered], time_s=0.9)

    async def story() -> None:
        await tier.ask(*headers)
        assert 0 < told_ms(tier.seen[0][1]) <= 900

    play(tier, story)


def test_a_repeat_is_told_only_what_is_left_by_then() -> None:
    offset_s = 0.0
    tier = Tier(
        route(RouteType.IDEMPOTENT, attempts=3),
        [],
        pool=WorkerPool(now=lambda: time.monotonic() + offset_s),
        time_s=2.0,
    )

    async def breaks_late(request: ServerRequest, responder: Responder) -> None:
        nonlocal offset_s
        offset_s += 0.8
        responder.abort()

    tier.behaviours += [breaks_late, breaks_late, answered]

    async def story() -> None:
        assert (await tier.ask()).head.status == 200
        first, second, third = (told_ms(request) for _, request in tier.seen)
        assert first <= 2000 and second <= first - 800 and third <= second - 800

    play(tier, story)


OF_THE_CLIENT = (
    (b"Model-Id", b"m;weights=2"),
    (b"Token-Usage", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"X-Repeated", b"one"),
    (b"x-repeated", b"two"),
    (b"X-Repeated", b"one"),
    (b"X-Empty", b""),
    (b"X-Latin", b"caf\xe9"),
)


@pytest.mark.parametrize("last_event_id", [(), ((b"Last-Event-Id", b"1"),)])
def test_each_attempt_carries_the_clients_headers_as_they_came(
    last_event_id: tuple[tuple[bytes, bytes], ...],
) -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [cut_stream, whole_stream])

    async def story() -> None:
        await tier.ask(*OF_THE_CLIENT, *last_event_id)
        assert len(tier.seen) == 2
        for _, request in tier.seen:
            ours = (b"request-timeout-ms", b"target-instance", b"last-event-id", b"content-length")
            passed = [header for header in request.headers if header[0].lower() not in ours]
            assert passed == [(b"Host", b"h"), (b"Request-Id", b"7"), *OF_THE_CLIENT]
            assert (request.method, request.target, request.body) == ("POST", "/p/x?", b"body")

    play(tier, story)


def test_a_resumable_stream_that_is_cut_goes_on_elsewhere_within_one_answer() -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [cut_stream, whole_stream])

    async def story() -> None:
        answer = await tier.ask()
        assert answer.body == b"".join(event(n) for n in range(1, 5))
        assert [number for number, _ in tier.seen] == [0, 1]
        assert tier.seen[1][1].get(b"last-event-id") == b"2"

    play(tier, story)


def test_a_stream_that_may_not_resume_ends_so_that_it_does_not_look_whole() -> None:
    tier = Tier(route(RouteType.STREAMING), [cut_stream, whole_stream])

    async def story() -> None:
        with pytest.raises(ExchangeError):
            await tier.ask()
        assert len(tier.seen) == 1

    play(tier, story)


WHOLE = b"".join(event(number) for number in range(1, 5))
BROKEN_OFF = [
    RawAnswer(UNFRAMED_STREAM + event(1) + event(2) + event(3)[:-1]),  # closed amid an event
    RawAnswer(UNFRAMED_STREAM + event(1) + event(2) + event(3)[:5]),
    RawAnswer(UNFRAMED_STREAM),  # closed before the first event
    RawAnswer(UNFRAMED_STREAM + event(1) + event(2), reset=True),  # reset between events
    RawAnswer(UNFRAMED_STREAM + event(1) + event(2)[:9], reset=True),
    RawAnswer(
        UNFRAMED_HEAD + b"Content-Type: text/event-stream\r\nContent-Length: 9\r\n\r\n" + event(1)[:9]
    ),  # of the length that was told, but amid an event
]


@pytest.mark.parametrize("broken_off", BROKEN_OFF)
def test_a_stream_that_its_worker_broke_off_never_looks_whole(broken_off: RawAnswer) -> None:
    tier = Tier(route(RouteType.STREAMING), [broken_off, whole_stream])

    async def story() -> None:
        with contextlib.suppress(ExchangeError):  # the client sees it cut
            assert (await tier.ask()).head.status == 502  # nothing of it had come
        assert len(tier.seen) == 1

    play(tier, story)


@pytest.mark.parametrize("broken_off", BROKEN_OFF)
def test_a_resumable_stream_that_its_worker_broke_off_has_each_event_once(broken_off: RawAnswer) -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [broken_off, whole_stream])

    async def story() -> None:
        assert (await tier.ask()).body == WHOLE
        assert [number for number, _ in tier.seen] == [0, 1]

    play(tier, story)


def test_a_resumed_run_is_asked_for_behind_the_last_whole_event() -> None:
    tier = Tier(
        route(RouteType.STREAMING, resumable=True), [RawAnswer(UNFRAMED_STREAM + WHOLE[:-1]), whole_stream]
    )

    async def story() -> None:
        assert (await tier.ask()).body == WHOLE
        assert tier.seen[1][1].get(b"last-event-id") == b"3"

    play(tier, story)


@pytest.mark.parametrize("last", [b"data: x\n\n", b"id: two\ndata: x\n\n"])
def test_a_stream_is_not_taken_up_behind_an_event_that_names_no_number(last: bytes) -> None:
    cut = RawAnswer(UNFRAMED_STREAM + event(1) + last + event(3)[:4])
    tier = Tier(route(RouteType.STREAMING, resumable=True), [cut, whole_stream])

    async def story() -> None:
        with pytest.raises(ExchangeError):
            await tier.ask()
        assert len(tier.seen) == 1

    play(tier, story)


def test_an_answer_of_two_workers_keeps_the_head_and_stamp_of_the_first() -> None:
    head = UNFRAMED_STREAM.replace(b"stamp", b"first").replace(b"200 OK", b"200 OK\r\nVersions: 3")
    tier = Tier(route(RouteType.STREAMING, resumable=True), [RawAnswer(head + WHOLE[:-1]), whole_stream])

    async def story() -> None:
        answer = await tier.ask()
        assert answer.body == WHOLE
        assert (answer.head.get(b"response-signature"), answer.head.get(b"versions")) == (b"first", b"3")

    play(tier, story)


def test_a_resumed_run_that_begins_at_another_event_is_not_joined() -> None:
    early = RawAnswer(UNFRAMED_STREAM + event(2) + event(3) + event(4))
    tier = Tier(route(RouteType.STREAMING, resumable=True), [cut_stream, early])

    async def story() -> None:
        with pytest.raises(ExchangeError):
            await tier.ask()

    play(tier, story)


def one_event_early(
    request: ServerRequest, worker_id: str, deadline: float, last_event_id: int | None
) -> SendRequest:
    """A broken `worker_request`: asks for the last event that the client has once more."""
    early = None if last_event_id is None else last_event_id - 1
    return worker_request(request, worker_id, deadline, early)


def test_a_resumption_asked_for_one_event_early_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("pewterring.edge.live.worker_request", one_event_early)
    tier = Tier(route(RouteType.STREAMING, resumable=True), [cut_stream, whole_stream])

    async def story() -> None:
        with pytest.raises(ExchangeError):  # cut, with no event twice
            await tier.ask()
        assert len(tier.seen) == 2

    play(tier, story)


@pytest.mark.parametrize("tail", [b"", b"\n", b"\r\n"])
def test_a_stream_without_a_length_that_closes_between_events_is_whole(tail: bytes) -> None:
    tier = Tier(route(RouteType.STREAMING), [RawAnswer(UNFRAMED_STREAM + WHOLE + tail)])

    async def story() -> None:
        assert (await tier.ask()).body == WHOLE + tail

    play(tier, story)


def test_a_body_without_a_length_is_whole_where_its_connection_closes_in_good_order() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [RawAnswer(UNFRAMED_HEAD + b"\r\nresult")])

    async def story() -> None:
        answer = await tier.ask()
        assert (answer.head.status, answer.body) == (200, b"result")

    play(tier, story)


def test_a_body_without_a_length_is_not_whole_where_its_connection_is_reset() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [RawAnswer(UNFRAMED_HEAD + b"\r\nresu", reset=True)])

    async def story() -> None:
        assert (await tier.ask()).head.status == 502

    play(tier, story)


def test_a_client_takes_its_stream_up_and_the_system_goes_on_from_there() -> None:
    cut = RawAnswer(UNFRAMED_STREAM + event(3) + event(4)[:6])
    tier = Tier(route(RouteType.STREAMING, resumable=True), [cut, whole_stream])

    async def story() -> None:
        assert (await tier.ask((b"Last-Event-Id", b"2"))).body == event(3) + event(4)
        assert [request.get(b"last-event-id") for _, request in tier.seen] == [b"2", b"3"]

    play(tier, story)


def test_a_clients_own_last_event_id_goes_to_the_second_worker_where_the_first_said_nothing() -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [broken, whole_stream])

    async def story() -> None:
        assert (await tier.ask((b"Last-Event-Id", b"2"))).body == event(3) + event(4)
        assert [request.get(b"last-event-id") for _, request in tier.seen] == [b"2", b"2"]

    play(tier, story)


@pytest.mark.parametrize("declines", [full, misdirected])
def test_what_a_worker_did_not_run_goes_elsewhere(declines: Behaviour) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT, attempts=1), [declines, answered])

    async def story() -> None:
        answer = await tier.ask()
        assert (answer.head.status, answer.body) == (200, b"result")

    play(tier, story)


@pytest.mark.parametrize(("headers", "kept_away"), [((), True), (((b"Expect-Version", b"4"),), False)])
def test_a_worker_of_another_version_is_not_taken_for_failing(
    headers: tuple[tuple[bytes, bytes], ...], kept_away: bool
) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [misdirected, answered])

    async def story() -> None:
        assert (await tier.ask(*headers)).head.status == 200
        first = tier.context.chooser.workers["w0"]
        assert first.suspect(time.monotonic()) is kept_away
        assert tier.seen[1][1].get(b"expect-version") == (None if kept_away else b"4")

    play(tier, story)


def test_where_no_worker_has_the_version_the_client_is_told_that_nothing_ran() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [misdirected, misdirected])

    async def story() -> None:
        assert (await tier.ask((b"Expect-Version", b"4"))).head.status == 503

    play(tier, story)


def test_an_attempt_that_ends_in_an_error_of_our_own_leaves_nothing_counted() -> None:
    def fails(worker: WorkerState, tokens: int, prompt: Prompt) -> None:
        raise ValueError("unforeseen")

    tier = Tier(route(RouteType.IDEMPOTENT), [answered])

    async def story() -> None:
        tier.context = replace(tier.context, tell_prompt=fails)
        with contextlib.suppress(ExchangeError):
            await tier.ask()
        worker = tier.context.chooser.workers["w0"]
        assert (worker.out, worker.pending_tokens) == (0, 0)

    play(tier, story)


@pytest.mark.parametrize("spoilt", [broken, failed, cut_stream])
@pytest.mark.parametrize("attempts", [0, 1, 2, 3])
def test_no_more_workers_run_a_request_than_its_route_allows(spoilt: Behaviour, attempts: int) -> None:
    tier = Tier(route(RouteType.STREAMING, attempts, resumable=True), [full, *5 * [spoilt]])

    async def story() -> None:
        with contextlib.suppress(ExchangeError):
            await tier.ask()
        ran = [number for number, _ in tier.seen if number]
        assert len(ran) == len(set(ran)) <= max(1, attempts)

    play(tier, story)


def test_refused_with_a_time_to_come_back_where_no_worker_ran_it() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [full, full])

    async def story() -> None:
        answer = await tier.ask()
        assert answer.head.status == 503
        assert float(answer.head.get(b"retry-after") or b"0") > 0

    play(tier, story)


def test_what_may_have_run_once_is_not_repeated_and_promises_nothing() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [broken, answered])

    async def story() -> None:
        assert (await tier.ask()).head.status == 502
        assert len(tier.seen) == 1

    play(tier, story)


def test_an_idempotent_request_is_repeated_within_its_attempts() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [broken, answered])

    async def story() -> None:
        assert (await tier.ask()).head.status == 200
        assert len(tier.seen) == 2

    play(tier, story)


def test_a_workers_own_failure_is_passed_on_with_its_stamp() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [failed])

    async def story() -> None:
        answer = await tier.ask()
        assert (answer.head.status, answer.body) == (500, b"failure")
        assert answer.head.get(b"response-signature") == b"stamp"

    play(tier, story)


def answers(status: int, *headers: tuple[bytes, bytes]) -> Behaviour:
    async def behave(request: ServerRequest, responder: Responder) -> None:
        await responder.respond(status, list(headers), b"of a worker")

    return behave


UNUSABLE_ANSWERS = [
    answers(200),
    answers(204),
    answers(206, (b"Content-Type", b"text/event-stream")),
    answers(200, *PLAIN, (b"Content-Encoding", b"gzip")),
    answers(500, *PLAIN, (b"Content-Encoding", b"gzip")),
    answers(503, *PLAIN),
    answers(429, *PLAIN),
    answers(408, *PLAIN),
]


@pytest.mark.parametrize("unusable", UNUSABLE_ANSWERS)
def test_what_is_no_answer_for_the_client_ends_as_502_without_a_stamp(unusable: Behaviour) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [unusable, answered])

    async def story() -> None:
        answer = await tier.ask()
        assert (answer.head.status, answer.body) == (502, b"")
        assert answer.head.get(b"response-signature") is None
        assert len(tier.seen) == 1  # it may have run

    play(tier, story)


@pytest.mark.parametrize("unusable", [(), (*PLAIN, (b"Content-Encoding", b"gzip"))])
def test_what_cannot_be_used_is_not_waited_for(unusable: tuple[tuple[bytes, bytes], ...]) -> None:
    async def endless(request: ServerRequest, responder: Responder) -> None:
        responder.begin(200, [(b"Request-Id", b"7"), (b"Content-Type", b"text/event-stream"), *unusable])
        responder.write(event(1))
        await responder.finished()

    tier = Tier(route(RouteType.STREAMING, resumable=True), [endless, whole_stream])

    async def story() -> None:
        assert (await tier.ask()).body == WHOLE

    play(tier, story)


@pytest.mark.parametrize("unusable", UNUSABLE_ANSWERS)
def test_an_unusable_answer_of_what_may_be_repeated_goes_elsewhere(unusable: Behaviour) -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [unusable, answered])

    async def story() -> None:
        answer = await tier.ask()
        assert (answer.head.status, answer.body) == (200, b"result")

    play(tier, story)


def test_a_failure_keeps_its_own_stamp_and_status_where_a_second_worker_does_no_better() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [failed, answers(200)])

    async def story() -> None:
        answer = await tier.ask()
        assert (answer.head.status, answer.body) == (500, b"failure")
        assert answer.head.get(b"response-signature") == b"stamp"

    play(tier, story)


def test_a_silent_worker_is_found_by_looking_and_the_request_goes_elsewhere() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [silent, answered])

    async def story() -> None:
        asking = asyncio.create_task(tier.ask())
        while not tier.seen:
            await asyncio.sleep(0)
        now = time.monotonic()
        for step in range(200):  # the clock that looks is told, not waited for
            tier.watch.look(now + step * 0.05)
        assert (await asking).head.status == 200
        assert tier.context.chooser.workers["w0"].suspect(time.monotonic())

    play(tier, story)


def test_a_request_that_may_not_run_again_waits_for_a_silent_worker() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [silent, answered])

    async def story() -> None:
        asking = asyncio.create_task(tier.ask())
        while not tier.seen:
            await asyncio.sleep(0)
        now = time.monotonic()
        for step in range(200):
            tier.watch.look(now + step * 0.05)
        for _ in range(20):
            await asyncio.sleep(0)
        assert not asking.done() and len(tier.seen) == 1
        asking.cancel()

    play(tier, story)


def test_the_client_that_leaves_ends_the_workers_exchange() -> None:
    gone = asyncio.Event()

    async def watched(request: ServerRequest, responder: Responder) -> None:
        responder.on_disconnect(gone.set)
        await responder.finished()

    tier = Tier(route(RouteType.NON_IDEMPOTENT), [watched])

    async def story() -> None:
        asking = asyncio.create_task(tier.ask())
        while not tier.seen:
            await asyncio.sleep(0)
        asking.cancel()
        await gone.wait()

    # The front cancels the request's task as the program does.
    serve = tier._front

    async def front(request: ServerRequest, responder: Responder) -> None:
        task = asyncio.current_task()
        assert task is not None
        responder.on_disconnect(lambda: task.cancel() and None)  # type: ignore[arg-type]
        await serve(request, responder)

    tier._front = front  # type: ignore[method-assign]
    play(tier, story)
