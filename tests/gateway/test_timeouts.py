"""Each request is answered or ended within the `timeout_ms` of its route plus a small tolerance."""

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from pewterring.configuration.model import RouteType
from pewterring.transport.http_connection import WorkerConnection
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.gateway.gateway import (
    EVENT_STREAM_HEADERS,
    Gateway,
    answer_result,
    event,
    never_answer,
    route,
    run_gateway,
    slow_stream,
)
from tests.transport.virtual_time import now, run

TIMEOUT_MS, TIMEOUT_S = 2000, 2.0
SLACK_S = 0.25  # the tolerance beyond which a late end is penalized; the guaranteed bound is twice that
KINDS = [RouteType.IDEMPOTENT, RouteType.NON_IDEMPOTENT, RouteType.STREAMING]
HEAD = b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 4\r\n\r\n"


async def final_status(gateway: Gateway, sent: bytes = HEAD + b"body") -> int:
    """Sends bytes and returns the status of the answer, which must arrive in time."""
    wire = await gateway.wire()
    started_at = now()
    wire.send(sent)
    head = await wire.read_until(b"\r\n\r\n")
    assert now() - started_at < TIMEOUT_S + SLACK_S
    return int(head.split(b" ")[1])


async def endless(_request: ServerRequest, responder: Responder) -> None:
    """Sends events without end, more than the socket buffers of a client that does not read can hold."""
    responder.begin(200, EVENT_STREAM_HEADERS)
    number = 0
    while not responder.disconnected:
        number += 1
        responder.write(event(number).replace(b"token", b"t" * 20_000))
        await responder.drain()
        await asyncio.sleep(0)


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_at_an_unresponsive_worker_is_answered_in_time(kind: RouteType) -> None:
    async def scenario() -> None:
        async with run_gateway(
            never_answer, never_answer, routes=(route(kind, timeout_ms=TIMEOUT_MS),)
        ) as gateway:
            assert await final_status(gateway) == 504

    run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_to_a_worker_that_does_not_accept_connections_is_answered_in_time(
    kind: RouteType, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(WorkerConnection, "connect", lambda *_: None)

    async def scenario() -> None:
        async with run_gateway(answer_result, routes=(route(kind, timeout_ms=TIMEOUT_MS),)) as gateway:
            assert await final_status(gateway) == 503

    run(scenario())


def test_a_request_before_the_first_tables_is_answered_in_time() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, configured=False) as gateway:
            assert await final_status(gateway) == 503

    run(scenario())


def test_an_endless_stream_is_ended_at_its_timeout() -> None:
    async def scenario() -> None:
        streaming = route(RouteType.STREAMING, timeout_ms=TIMEOUT_MS)
        async with run_gateway(slow_stream, routes=(streaming,)) as gateway:
            wire = await gateway.wire()
            started_at = now()
            wire.send(HEAD + b"body")
            received = await wire.read_to_end()
            assert now() - started_at < TIMEOUT_S + SLACK_S
            assert b"id: 2" in received
            assert not received.endswith(b"0\r\n\r\n")

    run(scenario())


def test_a_client_that_does_not_read_is_disconnected_at_its_timeout() -> None:
    """The end of the stream could not be sent past the unread data, so the connection is reset."""

    async def scenario() -> None:
        streaming = route(RouteType.STREAMING, timeout_ms=TIMEOUT_MS)
        async with run_gateway(endless, routes=(streaming,)) as gateway:
            wire = await gateway.wire()
            cast(asyncio.Transport, wire.writer.transport).pause_reading()
            wire.send(HEAD + b"body")
            await asyncio.sleep(TIMEOUT_S + SLACK_S)
            assert gateway.program.front.requests_in_flight == 0
            assert gateway.program.front.open_connections == 0
            assert len(gateway.released_at) == 1

    run(scenario())


@pytest.mark.parametrize("pause_s", [0.3, 30.0])
def test_a_body_that_is_not_complete_in_time_is_rejected(pause_s: float) -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, routes=(route(timeout_ms=TIMEOUT_MS),)) as gateway:
            wire = await gateway.wire()
            started_at = now()
            wire.send(HEAD.replace(b": 4", b": 400"))
            send_task = asyncio.create_task(send_slowly(wire.send, pause_s))
            head = await wire.read_until(b"\r\n\r\n")
            assert b" 408 " in head
            assert b"Connection: close" in head
            assert now() - started_at < TIMEOUT_S + SLACK_S
            assert not gateway.received_requests
            send_task.cancel()

    run(scenario())


async def send_slowly(send: Callable[[bytes], None], pause_s: float) -> None:
    while True:
        await asyncio.sleep(pause_s)
        send(b"b")


def test_a_slow_body_that_is_complete_in_time_is_served() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, routes=(route(timeout_ms=TIMEOUT_MS),)) as gateway:
            wire = await gateway.wire()
            wire.send(HEAD + b"bo")
            await asyncio.sleep(1.5)
            wire.send(b"dy")
            assert b" 200 " in await wire.read_until(b"\r\n\r\n")

    run(scenario())
