"""Live requests through the front of a gateway to simulated workers on loopback."""

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
    SIGNED_HEADERS,
    TEST_TIMEOUT_S,
    UNFRAMED_HEAD,
    UNFRAMED_STREAM,
    Behaviour,
    RawAnswer,
    Tier,
    abort_at_once,
    answer_failure,
    answer_misdirected,
    answer_result,
    complete_stream,
    decline,
    event,
    never_answer,
    route,
    run_scenario,
    truncated_stream,
)


def test_a_stream_is_forwarded_completely_and_its_request_unchanged() -> None:
    tier = Tier(route(RouteType.STREAMING), [complete_stream])

    async def scenario() -> None:
        answer = await tier.request()
        assert answer.body == b"".join(event(number) for number in range(1, 5))
        assert answer.head.get(b"response-signature") == b"stamp"
        ((_, request),) = tier.received_requests
        assert (request.target, request.body) == ("/p/x?", b"body")
        assert request.get(b"target-instance") == b"w0"
        assert 0 < timeout_ms_sent(request) <= TEST_TIMEOUT_S * 1000

    run_scenario(tier, scenario)


def timeout_ms_sent(request: ServerRequest) -> int:
    (value,) = [value for name, value in request.headers if name.lower() == b"request-timeout-ms"]
    return int(value)


@pytest.mark.parametrize("headers", [(), ((b"Request-Timeout-Ms", b"900"),)])
def test_a_worker_receives_the_remaining_time_as_its_timeout(
    headers: tuple[tuple[bytes, bytes], ...],
) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [answer_result], timeout_s=0.9)

    async def scenario() -> None:
        await tier.request(*headers)
        assert 0 < timeout_ms_sent(tier.received_requests[0][1]) <= 900

    run_scenario(tier, scenario)


def test_each_retry_receives_only_the_remaining_time() -> None:
    offset_s = 0.0
    tier = Tier(
        route(RouteType.IDEMPOTENT, attempts=3),
        [],
        pool=WorkerPool(now=lambda: time.monotonic() + offset_s),
        timeout_s=2.0,
    )

    async def abort_late(_request: ServerRequest, responder: Responder) -> None:
        nonlocal offset_s
        offset_s += 0.8
        responder.abort()

    tier.behaviours += [abort_late, abort_late, answer_result]

    async def scenario() -> None:
        assert (await tier.request()).head.status == 200
        first, second, third = (timeout_ms_sent(request) for _, request in tier.received_requests)
        assert first <= 2000
        assert second <= first - 800
        assert third <= second - 800

    run_scenario(tier, scenario)


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
def test_each_attempt_carries_the_clients_headers_unchanged(
    last_event_id: tuple[tuple[bytes, bytes], ...],
) -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_stream, complete_stream])

    async def scenario() -> None:
        await tier.request(*CLIENT_HEADERS, *last_event_id)
        assert len(tier.received_requests) == 2
        for _, request in tier.received_requests:
            gateway_headers = (b"request-timeout-ms", b"target-instance", b"last-event-id", b"content-length")
            passed = [header for header in request.headers if header[0].lower() not in gateway_headers]
            assert passed == [(b"Host", b"h"), (b"Request-Id", b"7"), *CLIENT_HEADERS]
            assert (request.method, request.target, request.body) == ("POST", "/p/x?", b"body")

    run_scenario(tier, scenario)


def test_a_truncated_resumable_stream_continues_at_another_worker_within_one_answer() -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_stream, complete_stream])

    async def scenario() -> None:
        answer = await tier.request()
        assert answer.body == b"".join(event(number) for number in range(1, 5))
        assert [number for number, _ in tier.received_requests] == [0, 1]
        assert tier.received_requests[1][1].get(b"last-event-id") == b"2"

    run_scenario(tier, scenario)


def test_a_truncated_stream_that_may_not_resume_does_not_look_complete() -> None:
    tier = Tier(route(RouteType.STREAMING), [truncated_stream, complete_stream])

    async def scenario() -> None:
        with pytest.raises(ExchangeError):
            await tier.request()
        assert len(tier.received_requests) == 1

    run_scenario(tier, scenario)


COMPLETE_BODY = b"".join(event(number) for number in range(1, 5))
TRUNCATED_ANSWERS = [
    RawAnswer(UNFRAMED_STREAM + event(1) + event(2) + event(3)[:-1]),  # closed within an event
    RawAnswer(UNFRAMED_STREAM + event(1) + event(2) + event(3)[:5]),
    RawAnswer(UNFRAMED_STREAM),  # closed before the first event
    RawAnswer(UNFRAMED_STREAM + event(1) + event(2), reset=True),  # reset between events
    RawAnswer(UNFRAMED_STREAM + event(1) + event(2)[:9], reset=True),
    RawAnswer(
        UNFRAMED_HEAD + b"Content-Type: text/event-stream\r\nContent-Length: 9\r\n\r\n" + event(1)[:9]
    ),  # as long as Content-Length states, but ends within an event
]


@pytest.mark.parametrize("truncated_answer", TRUNCATED_ANSWERS)
def test_a_stream_truncated_by_its_worker_never_looks_complete(truncated_answer: RawAnswer) -> None:
    tier = Tier(route(RouteType.STREAMING), [truncated_answer, complete_stream])

    async def scenario() -> None:
        with contextlib.suppress(ExchangeError):  # the client receives a truncated stream
            assert (await tier.request()).head.status == 502  # the worker sent no complete event
        assert len(tier.received_requests) == 1

    run_scenario(tier, scenario)


@pytest.mark.parametrize("truncated_answer", TRUNCATED_ANSWERS)
def test_a_resumable_stream_truncated_by_its_worker_has_each_event_once(truncated_answer: RawAnswer) -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_answer, complete_stream])

    async def scenario() -> None:
        assert (await tier.request()).body == COMPLETE_BODY
        assert [number for number, _ in tier.received_requests] == [0, 1]

    run_scenario(tier, scenario)


def test_a_stream_is_resumed_after_the_last_complete_event() -> None:
    tier = Tier(
        route(RouteType.STREAMING, resumable=True),
        [RawAnswer(UNFRAMED_STREAM + COMPLETE_BODY[:-1]), complete_stream],
    )

    async def scenario() -> None:
        assert (await tier.request()).body == COMPLETE_BODY
        assert tier.received_requests[1][1].get(b"last-event-id") == b"3"

    run_scenario(tier, scenario)


@pytest.mark.parametrize("last", [b"data: x\n\n", b"id: two\ndata: x\n\n"])
def test_a_stream_is_not_resumed_after_an_event_without_a_numeric_id(last: bytes) -> None:
    truncated = RawAnswer(UNFRAMED_STREAM + event(1) + last + event(3)[:4])
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated, complete_stream])

    async def scenario() -> None:
        with pytest.raises(ExchangeError):
            await tier.request()
        assert len(tier.received_requests) == 1

    run_scenario(tier, scenario)


def test_an_answer_of_two_workers_keeps_the_head_and_signature_of_the_first() -> None:
    head = UNFRAMED_STREAM.replace(b"stamp", b"first").replace(b"200 OK", b"200 OK\r\nVersions: 3")
    tier = Tier(
        route(RouteType.STREAMING, resumable=True), [RawAnswer(head + COMPLETE_BODY[:-1]), complete_stream]
    )

    async def scenario() -> None:
        answer = await tier.request()
        assert answer.body == COMPLETE_BODY
        assert (answer.head.get(b"response-signature"), answer.head.get(b"versions")) == (b"first", b"3")

    run_scenario(tier, scenario)


def test_a_resumed_stream_that_begins_with_another_event_is_rejected() -> None:
    early_stream = RawAnswer(UNFRAMED_STREAM + event(2) + event(3) + event(4))
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_stream, early_stream])

    async def scenario() -> None:
        with pytest.raises(ExchangeError):
            await tier.request()

    run_scenario(tier, scenario)


def one_event_early(
    request: ServerRequest, worker_id: str, deadline: float, last_event_id: int | None
) -> SendRequest:
    """A faulty `worker_request` that resumes one event too early, repeating the client's last event."""
    previous_event_id = None if last_event_id is None else last_event_id - 1
    return worker_request(request, worker_id, deadline, previous_event_id)


def test_a_resumption_requested_one_event_too_early_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("pewterring.gateway.live_request.worker_request", one_event_early)
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated_stream, complete_stream])

    async def scenario() -> None:
        with pytest.raises(ExchangeError):  # truncated rather than with a repeated event
            await tier.request()
        assert len(tier.received_requests) == 2

    run_scenario(tier, scenario)


@pytest.mark.parametrize("tail", [b"", b"\n", b"\r\n"])
def test_a_stream_without_a_length_that_closes_between_events_is_complete(tail: bytes) -> None:
    tier = Tier(route(RouteType.STREAMING), [RawAnswer(UNFRAMED_STREAM + COMPLETE_BODY + tail)])

    async def scenario() -> None:
        assert (await tier.request()).body == COMPLETE_BODY + tail

    run_scenario(tier, scenario)


def test_a_body_without_a_length_is_complete_if_its_connection_closes_normally() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [RawAnswer(UNFRAMED_HEAD + b"\r\nresult")])

    async def scenario() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (200, b"result")

    run_scenario(tier, scenario)


def test_a_body_without_a_length_is_incomplete_if_its_connection_is_reset() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [RawAnswer(UNFRAMED_HEAD + b"\r\nresu", reset=True)])

    async def scenario() -> None:
        assert (await tier.request()).head.status == 502

    run_scenario(tier, scenario)


def test_a_stream_resumed_by_the_client_is_resumed_again_by_the_gateway() -> None:
    truncated = RawAnswer(UNFRAMED_STREAM + event(3) + event(4)[:6])
    tier = Tier(route(RouteType.STREAMING, resumable=True), [truncated, complete_stream])

    async def scenario() -> None:
        assert (await tier.request((b"Last-Event-Id", b"2"))).body == event(3) + event(4)
        assert [request.get(b"last-event-id") for _, request in tier.received_requests] == [b"2", b"3"]

    run_scenario(tier, scenario)


def test_the_clients_last_event_id_is_sent_to_the_second_worker_if_the_first_sent_no_event() -> None:
    tier = Tier(route(RouteType.STREAMING, resumable=True), [abort_at_once, complete_stream])

    async def scenario() -> None:
        assert (await tier.request((b"Last-Event-Id", b"2"))).body == event(3) + event(4)
        assert [request.get(b"last-event-id") for _, request in tier.received_requests] == [b"2", b"2"]

    run_scenario(tier, scenario)


@pytest.mark.parametrize("declining", [decline, answer_misdirected])
def test_a_request_that_a_worker_declined_is_sent_to_another(declining: Behaviour) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT, attempts=1), [declining, answer_result])

    async def scenario() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (200, b"result")

    run_scenario(tier, scenario)


@pytest.mark.parametrize(("headers", "excluded"), [((), True), (((b"Expect-Version", b"4"),), False)])
def test_a_worker_of_another_version_does_not_count_as_failed(
    headers: tuple[tuple[bytes, bytes], ...], excluded: bool
) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [answer_misdirected, answer_result])

    async def scenario() -> None:
        assert (await tier.request(*headers)).head.status == 200
        first = tier.context.chooser.workers["w0"]
        assert first.is_suspect(time.monotonic()) is excluded
        assert tier.received_requests[1][1].get(b"expect-version") == (None if excluded else b"4")

    run_scenario(tier, scenario)


def test_a_request_for_a_version_that_no_worker_has_is_answered_as_not_run() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [answer_misdirected, answer_misdirected])

    async def scenario() -> None:
        assert (await tier.request((b"Expect-Version", b"4"))).head.status == 503

    run_scenario(tier, scenario)


def test_an_attempt_that_fails_by_an_internal_error_is_no_longer_counted() -> None:
    def raise_error(*_: object) -> None:
        raise ValueError("unexpected")

    tier = Tier(route(RouteType.IDEMPOTENT), [answer_result])

    async def scenario() -> None:
        tier.context = replace(tier.context, announce_prompt=raise_error)
        with contextlib.suppress(ExchangeError):
            await tier.request()
        worker = tier.context.chooser.workers["w0"]
        assert (worker.in_flight, worker.pending_tokens) == (0, 0)

    run_scenario(tier, scenario)


@pytest.mark.parametrize("failing", [abort_at_once, answer_failure, truncated_stream])
@pytest.mark.parametrize("attempts", [0, 1, 2, 3])
def test_no_more_workers_run_a_request_than_its_route_allows(failing: Behaviour, attempts: int) -> None:
    tier = Tier(route(RouteType.STREAMING, attempts, resumable=True), [decline, *5 * [failing]])

    async def scenario() -> None:
        with contextlib.suppress(ExchangeError):
            await tier.request()
        ran = [number for number, _ in tier.received_requests if number]
        assert len(ran) == len(set(ran)) <= max(1, attempts)

    run_scenario(tier, scenario)


def test_a_request_that_every_worker_declined_is_refused_with_retry_after() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [decline, decline])

    async def scenario() -> None:
        answer = await tier.request()
        assert answer.head.status == 503
        assert float(answer.head.get(b"retry-after") or b"0") > 0

    run_scenario(tier, scenario)


def test_a_non_idempotent_request_that_may_have_run_is_not_retried() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [abort_at_once, answer_result])

    async def scenario() -> None:
        assert (await tier.request()).head.status == 502
        assert len(tier.received_requests) == 1

    run_scenario(tier, scenario)


def test_an_idempotent_request_is_retried_after_a_failure() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [abort_at_once, answer_result])

    async def scenario() -> None:
        assert (await tier.request()).head.status == 200
        assert len(tier.received_requests) == 2

    run_scenario(tier, scenario)


def test_a_failure_answered_by_a_worker_is_forwarded_with_its_signature() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [answer_failure])

    async def scenario() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (500, b"failure")
        assert answer.head.get(b"response-signature") == b"stamp"

    run_scenario(tier, scenario)


def answers(status: int, *headers: tuple[bytes, bytes]) -> Behaviour:
    async def answer(_request: ServerRequest, responder: Responder) -> None:
        await responder.respond(status, list(headers), b"of a worker")

    return answer


UNUSABLE_ANSWERS = [
    answers(200),
    answers(204),
    answers(206, (b"Content-Type", b"text/event-stream")),
    answers(200, *SIGNED_HEADERS, (b"Content-Encoding", b"gzip")),
    answers(500, *SIGNED_HEADERS, (b"Content-Encoding", b"gzip")),
    answers(503, *SIGNED_HEADERS),
    answers(429, *SIGNED_HEADERS),
    answers(408, *SIGNED_HEADERS),
]


@pytest.mark.parametrize("unusable", UNUSABLE_ANSWERS)
def test_an_unusable_answer_is_replaced_by_502_without_a_signature(unusable: Behaviour) -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [unusable, answer_result])

    async def scenario() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (502, b"")
        assert answer.head.get(b"response-signature") is None
        assert len(tier.received_requests) == 1  # the request may have run

    run_scenario(tier, scenario)


@pytest.mark.parametrize("unusable", [(), (*SIGNED_HEADERS, (b"Content-Encoding", b"gzip"))])
def test_a_stream_with_an_unusable_head_is_abandoned_at_once(
    unusable: tuple[tuple[bytes, bytes], ...],
) -> None:
    async def endless(_request: ServerRequest, responder: Responder) -> None:
        responder.begin(200, [(b"Request-Id", b"7"), (b"Content-Type", b"text/event-stream"), *unusable])
        responder.write(event(1))
        await responder.finished()

    tier = Tier(route(RouteType.STREAMING, resumable=True), [endless, complete_stream])

    async def scenario() -> None:
        assert (await tier.request()).body == COMPLETE_BODY

    run_scenario(tier, scenario)


@pytest.mark.parametrize("unusable", UNUSABLE_ANSWERS)
def test_an_idempotent_request_is_retried_after_an_unusable_answer(unusable: Behaviour) -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [unusable, answer_result])

    async def scenario() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (200, b"result")

    run_scenario(tier, scenario)


def test_a_failure_is_forwarded_if_the_second_worker_fails_too() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [answer_failure, answers(200)])

    async def scenario() -> None:
        answer = await tier.request()
        assert (answer.head.status, answer.body) == (500, b"failure")
        assert answer.head.get(b"response-signature") == b"stamp"

    run_scenario(tier, scenario)


def test_a_request_at_an_unresponsive_worker_is_retried_at_another() -> None:
    tier = Tier(route(RouteType.IDEMPOTENT), [never_answer, answer_result])

    async def scenario() -> None:
        request_task = asyncio.create_task(tier.request())
        await tier.request_arrived.wait()
        now = time.monotonic()
        for step in range(200):  # time is passed to the checks instead of waiting for it
            tier.stalls.check(now + step * 0.05)
        assert (await request_task).head.status == 200
        assert tier.context.chooser.workers["w0"].is_suspect(time.monotonic())

    run_scenario(tier, scenario)


def test_a_non_idempotent_request_keeps_waiting_for_an_unresponsive_worker() -> None:
    tier = Tier(route(RouteType.NON_IDEMPOTENT), [never_answer, answer_result])

    async def scenario() -> None:
        request_task = asyncio.create_task(tier.request())
        await tier.request_arrived.wait()
        now = time.monotonic()
        for step in range(200):
            tier.stalls.check(now + step * 0.05)
        for _ in range(20):
            await asyncio.sleep(0)
        assert not request_task.done()
        assert len(tier.received_requests) == 1
        request_task.cancel()

    run_scenario(tier, scenario)


def test_a_client_that_disconnects_ends_the_exchange_with_the_worker() -> None:
    disconnected = asyncio.Event()

    async def wait_for_disconnect(_request: ServerRequest, responder: Responder) -> None:
        responder.on_disconnect(disconnected.set)
        await responder.finished()

    tier = Tier(route(RouteType.NON_IDEMPOTENT), [wait_for_disconnect])

    async def scenario() -> None:
        request_task = asyncio.create_task(tier.request())
        await tier.request_arrived.wait()
        request_task.cancel()
        await disconnected.wait()

    # This front cancels the task of the request on disconnect, as the program does.
    serve = tier.serve

    def cancel(task: asyncio.Task[None]) -> None:
        task.cancel()

    async def serve_until_disconnect(request: ServerRequest, responder: Responder) -> None:
        task = asyncio.current_task()
        assert task is not None
        responder.on_disconnect(partial(cancel, task))
        await serve(request, responder)

    tier.serve = serve_until_disconnect  # type: ignore[method-assign]  # replaces the front's handler
    run_scenario(tier, scenario)
