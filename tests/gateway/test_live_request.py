"""Live requests through a gateway's front, at workers played on loopback."""

import asyncio
import contextlib
import time
from dataclasses import replace
from functools import partial

import pytest

from pewterring.configuration.model import RouteType
from pewterring.gateway.worker_protocol import worker_request
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.gateway.live_tier import (
    PATIENCE_S,
    PLAIN,
    UNFRAMED_HEAD,
    UNFRAMED_STREAM,
    Behaviour,
    RawAnswer,
    Tier,
    answered,
    broken,
    complete_stream,
    event,
    failed,
    full,
    misdirected,
    play,
    route,
    truncated_stream,
    unresponsive,
)


def test_a_stream_passes_completely_with_its_request_unchanged() -> None:
    tier = Tier(route(RouteType.STREAMING), [complete_stream])

    async def story() -> None:
        answer = await tier.request()
        assert answer.body == b"".join(event(number) for number in range(1, 5))
        assert answer.head.get(b"response-signature") == b"stamp"
        ((_, request),) = tier.seen
        assert (request.target, request.body) == ("/p/x?", b"body")
        assert request.get(b"target-instance") == b"w0"
        assert 0 < timeout_ms_sent(request) <= PATIENCE_S * 1000

    play(tier, story)


def timeout_ms_sent(request: ServerRequest) -> int:
    (value,) = [value for name, value in request.headers if name.lower() == b"request-timeout-ms"]
    return int(value)


@pytest.mark.parametrize("headers", [(), ((b"Request-Timeout-Ms", b"900"),)])
def test_a_worker_gets_the_time_left_and_nothing_else(headers: tuple[tuple[bytes, bytes], ...]) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [answered], time_s=0.9)

    async def story() -> None:
        await tier.request(*headers)
        assert 0 < timeout_ms_sent(tier.seen[0][1]) <= 900

    play(tier, story)


def test_a_retry_gets_only_the_time_left_by_then() -> None:
    offset_s = 0.0
    tier = Tier(
        route(RouteType.IDEMPOTENT, attempts=3),
        [],
        pool=WorkerPool(now=lambda: time.monotonic() + offset_s),
        time_s=2.0,
    )

    async def breaks_late(_request: ServerRequest, responder: Responder) -> None:
        nonlocal offset_s
        offset_s += 0.8
        responder.abort()

    tier.behaviours += [breaks_late, breaks_late, answered]

    async def story() -> None:
        assert (await tier.request()).head.status == 200
        first, second, third = (timeout_ms_sent(request) for _, request in tier.seen)
        assert first <= 2000
        assert second <= first - 800
        assert third <= second - 800

    play(tier, story)


CLIENT_HEADERS = (
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
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_stream, complete_stream])

    async def story() -> None:
        await tier.request(*CLIENT_HEADERS, *last_event_id)
        assert len(tier.seen) == 2
        for _, request in tier.seen:
            ours = (b"request-timeout-ms", b"target-instance", b"last-event-id", b"content-length")
            passed = [header for header in request.headers if header[0].lower() not in ours]
            assert passed == [(b"Host", b"h"), (b"Request-Id", b"7"), *CLIENT_HEADERS]
            assert (request.method, request.target, request.body) == ("POST", "/p/x?", b"body")

    play(tier, story)


def test_a_resumable_stream_that_is_truncated_goes_on_elsewhere_within_one_answer() -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_stream, complete_stream])

    async def story() -> None:
        answer = await tier.request()
        assert answer.body == b"".join(event(number) for number in range(1, 5))
        assert [number for number, _ in tier.seen] == [0, 1]
        assert tier.seen[1][1].get(b"last-event-id") == b"2"

    play(tier, story)


def test_a_stream_that_may_not_resume_ends_so_that_it_does_not_look_complete() -> None:
    tier = Tier(route(RouteType.STREAMING), [truncated_stream, complete_stream])

    async def story() -> None:
        with pytest.raises(ExchangeError):
            await tier.request()
        assert len(tier.seen) == 1

    play(tier, story)


COMPLETE = b"".join(event(number) for number in range(1, 5))
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
def test_a_stream_that_its_worker_broke_off_never_looks_complete(broken_off: RawAnswer) -> None:
    tier = Tier(route(RouteType.STREAMING), [broken_off, complete_stream])

    async def story() -> None:
        with contextlib.suppress(ExchangeError):  # the client sees it truncated
            assert (await tier.request()).head.status == 502  # nothing of it had come
        assert len(tier.seen) == 1

    play(tier, story)


@pytest.mark.parametrize("broken_off", BROKEN_OFF)
def test_a_resumable_stream_that_its_worker_broke_off_has_each_event_once(broken_off: RawAnswer) -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [broken_off, complete_stream])

    async def story() -> None:
        assert (await tier.request()).body == COMPLETE
        assert [number for number, _ in tier.seen] == [0, 1]

    play(tier, story)


def test_a_resumed_run_is_requested_behind_the_last_complete_event() -> None:
    tier = Tier(
        route(RouteType.STREAMING, resumable=True),
        [RawAnswer(UNFRAMED_STREAM + COMPLETE[:-1]), complete_stream],
    )

    async def story() -> None:
        assert (await tier.request()).body == COMPLETE
        assert tier.seen[1][1].get(b"last-event-id") == b"3"

    play(tier, story)


@pytest.mark.parametrize("last", [b"data: x\n\n", b"id: two\ndata: x\n\n"])
def test_a_stream_is_not_taken_up_behind_an_event_that_names_no_number(last: bytes) -> None:
    truncated = RawAnswer(UNFRAMED_STREAM + event(1) + last + event(3)[:4])
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated, complete_stream])

    async def story() -> None:
        with pytest.raises(ExchangeError):
            await tier.request()
        assert len(tier.seen) == 1

    play(tier, story)


def test_an_answer_of_two_workers_keeps_the_head_and_stamp_of_the_first() -> None:
    head = UNFRAMED_STREAM.replace(b"stamp", b"first").replace(b"200 OK", b"200 OK\r\nVersions: 3")
    tier = Tier(
        route(RouteType.STREAMING, resumable=True), [RawAnswer(head + COMPLETE[:-1]), complete_stream]
    )

    async def story() -> None:
        answer = await tier.request()
        assert answer.body == COMPLETE
        assert (answer.head.get(b"response-signature"), answer.head.get(b"versions")) == (b"first", b"3")

    play(tier, story)


def test_a_resumed_run_that_begins_at_another_event_is_not_joined() -> None:
    early = RawAnswer(UNFRAMED_STREAM + event(2) + event(3) + event(4))
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_stream, early])

    async def story() -> None:
        with pytest.raises(ExchangeError):
            await tier.request()

    play(tier, story)


def one_event_early(
    request: ServerRequest, worker_id: str, deadline: float, last_event_id: int | None
) -> SendRequest:
    """Acts as a broken `worker_request` that asks for the last event that the client has once more."""
    early = None if last_event_id is None else last_event_id - 1
    return worker_request(request, worker_id, deadline, early)


def test_a_resumption_requested_one_event_early_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("pewterring.gateway.live_request.worker_request", one_event_early)
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_stream, complete_stream])

    async def story() -> None:
        with pytest.raises(ExchangeError):  # truncated, with no event twice
            await tier.request()
        assert len(tier.seen) == 2

    play(tier, story)


@pytest.mark.parametrize("tail", [b"", b"\n", b"\r\n"])
def test_a_stream_without_a_length_that_closes_between_events_is_complete(tail: bytes) -> None:
    tier = Tier(route(RouteType.STREAMING), [RawAnswer(UNFRAMED_STREAM + COMPLETE + tail)])

    async def story() -> None:
        assert (await tier.request()).body == COMPLETE + tail

    play(tier, story)


def test_a_body_without_a_length_is_complete_where_its_connection_closes_in_good_order() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [RawAnswer(UNFRAMED_HEAD + b"\r\nresult")])

    async def story() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (200, b"result")

    play(tier, story)


def test_a_body_without_a_length_is_not_complete_where_its_connection_is_reset() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [RawAnswer(UNFRAMED_HEAD + b"\r\nresu", reset=True)])

    async def story() -> None:
        assert (await tier.request()).head.status == 502

    play(tier, story)


def test_a_client_takes_its_stream_up_and_the_system_goes_on_from_there() -> None:
    truncated = RawAnswer(UNFRAMED_STREAM + event(3) + event(4)[:6])
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated, complete_stream])

    async def story() -> None:
        assert (await tier.request((b"Last-Event-Id", b"2"))).body == event(3) + event(4)
        assert [request.get(b"last-event-id") for _, request in tier.seen] == [b"2", b"3"]

    play(tier, story)


def test_a_clients_own_last_event_id_goes_to_the_second_worker_where_the_first_said_nothing() -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [broken, complete_stream])

    async def story() -> None:
        assert (await tier.request((b"Last-Event-Id", b"2"))).body == event(3) + event(4)
        assert [request.get(b"last-event-id") for _, request in tier.seen] == [b"2", b"2"]

    play(tier, story)


@pytest.mark.parametrize("declines", [full, misdirected])
def test_what_a_worker_did_not_run_goes_elsewhere(declines: Behaviour) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT, attempts=1), [declines, answered])

    async def story() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (200, b"result")

    play(tier, story)


@pytest.mark.parametrize(("headers", "excluded"), [((), True), (((b"Expect-Version", b"4"),), False)])
def test_a_worker_of_another_version_is_not_taken_for_failing(
    headers: tuple[tuple[bytes, bytes], ...], excluded: bool
) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [misdirected, answered])

    async def story() -> None:
        assert (await tier.request(*headers)).head.status == 200
        first = tier.context.chooser.workers["w0"]
        assert first.is_suspect(time.monotonic()) is excluded
        assert tier.seen[1][1].get(b"expect-version") == (None if excluded else b"4")

    play(tier, story)


def test_where_no_worker_has_the_version_the_answer_says_that_nothing_ran() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [misdirected, misdirected])

    async def story() -> None:
        assert (await tier.request((b"Expect-Version", b"4"))).head.status == 503

    play(tier, story)


def test_an_attempt_that_ends_in_an_error_of_our_own_keeps_nothing_counted() -> None:
    def fails(*_: object) -> None:
        raise ValueError("unforeseen")

    tier = Tier(route(RouteType.IDEMPOTENT), [answered])

    async def story() -> None:
        tier.context = replace(tier.context, announce_prompt=fails)
        with contextlib.suppress(ExchangeError):
            await tier.request()
        worker = tier.context.chooser.workers["w0"]
        assert (worker.in_flight, worker.pending_tokens) == (0, 0)

    play(tier, story)


@pytest.mark.parametrize("spoilt", [broken, failed, truncated_stream])
@pytest.mark.parametrize("attempts", [0, 1, 2, 3])
def test_no_more_workers_run_a_request_than_its_route_allows(spoilt: Behaviour, attempts: int) -> None:
    tier = Tier(route(RouteType.STREAMING, attempts, resumable=True), [full, *5 * [spoilt]])

    async def story() -> None:
        with contextlib.suppress(ExchangeError):
            await tier.request()
        ran = [number for number, _ in tier.seen if number]
        assert len(ran) == len(set(ran)) <= max(1, attempts)

    play(tier, story)


def test_refused_with_a_time_to_come_back_where_no_worker_ran_it() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [full, full])

    async def story() -> None:
        answer = await tier.request()
        assert answer.head.status == 503
        assert float(answer.head.get(b"retry-after") or b"0") > 0

    play(tier, story)


def test_what_may_have_run_once_is_not_repeated_and_promises_nothing() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [broken, answered])

    async def story() -> None:
        assert (await tier.request()).head.status == 502
        assert len(tier.seen) == 1

    play(tier, story)


def test_an_idempotent_request_is_repeated_within_its_attempts() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [broken, answered])

    async def story() -> None:
        assert (await tier.request()).head.status == 200
        assert len(tier.seen) == 2

    play(tier, story)


def test_a_workers_own_failure_is_passed_on_with_its_stamp() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [failed])

    async def story() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (500, b"failure")
        assert answer.head.get(b"response-signature") == b"stamp"

    play(tier, story)


def answers(status: int, *headers: tuple[bytes, bytes]) -> Behaviour:
    async def behave(_request: ServerRequest, responder: Responder) -> None:
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
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (502, b"")
        assert answer.head.get(b"response-signature") is None
        assert len(tier.seen) == 1  # it may have run

    play(tier, story)


@pytest.mark.parametrize("unusable", [(), (*PLAIN, (b"Content-Encoding", b"gzip"))])
def test_what_cannot_be_used_is_not_waited_for(unusable: tuple[tuple[bytes, bytes], ...]) -> None:
    async def endless(_request: ServerRequest, responder: Responder) -> None:
        responder.begin(200, [(b"Request-Id", b"7"), (b"Content-Type", b"text/event-stream"), *unusable])
        responder.write(event(1))
        await responder.finished()

    tier = Tier(route(RouteType.STREAMING, resumable=True), [endless, complete_stream])

    async def story() -> None:
        assert (await tier.request()).body == COMPLETE

    play(tier, story)


@pytest.mark.parametrize("unusable", UNUSABLE_ANSWERS)
def test_an_unusable_answer_of_what_may_be_repeated_goes_elsewhere(unusable: Behaviour) -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [unusable, answered])

    async def story() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (200, b"result")

    play(tier, story)


def test_a_failure_keeps_its_own_stamp_and_status_where_a_second_worker_does_no_better() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [failed, answers(200)])

    async def story() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (500, b"failure")
        assert answer.head.get(b"response-signature") == b"stamp"

    play(tier, story)


def test_an_unresponsive_worker_is_found_by_a_check_and_the_request_goes_elsewhere() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [unresponsive, answered])

    async def story() -> None:
        requesting = asyncio.create_task(tier.request())
        await tier.arrived.wait()
        now = time.monotonic()
        for step in range(200):  # the clock that looks is told, not waited for
            tier.stalls.check(now + step * 0.05)
        assert (await requesting).head.status == 200
        assert tier.context.chooser.workers["w0"].is_suspect(time.monotonic())

    play(tier, story)


def test_a_request_that_may_not_run_again_waits_for_an_unresponsive_worker() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [unresponsive, answered])

    async def story() -> None:
        requesting = asyncio.create_task(tier.request())
        await tier.arrived.wait()
        now = time.monotonic()
        for step in range(200):
            tier.stalls.check(now + step * 0.05)
        for _ in range(20):
            await asyncio.sleep(0)
        assert not requesting.done()
        assert len(tier.seen) == 1
        requesting.cancel()

    play(tier, story)


def test_a_client_that_disconnects_ends_the_workers_exchange() -> None:
    gone = asyncio.Event()

    async def watched(_request: ServerRequest, responder: Responder) -> None:
        responder.on_disconnect(gone.set)
        await responder.finished()

    tier = Tier(route(RouteType.NON_IDEMPOTENT), [watched])

    async def story() -> None:
        requesting = asyncio.create_task(tier.request())
        await tier.arrived.wait()
        requesting.cancel()
        await gone.wait()

    # The front cancels the request's task as the program does.
    serve = tier.serve

    def cancel(task: asyncio.Task[None]) -> None:
        task.cancel()

    async def front(request: ServerRequest, responder: Responder) -> None:
        task = asyncio.current_task()
        assert task is not None
        responder.on_disconnect(partial(cancel, task))
        await serve(request, responder)

    tier.serve = front  # type: ignore[method-assign]  # this test has a front of its own
    play(tier, story)
