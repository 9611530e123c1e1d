"""Each request has its final answer, or its end, within its route's `timeout_ms` and a little."""

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from pewterring.configuration.model import RouteType
from pewterring.transport.http_connection import WorkerConnection
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.gateway.gateway import EVENTS, Gateway, answered, event, gateway, route, slow_stream, unresponsive
from tests.transport.virtual_time import now, run

TIMEOUT_MS, TIMEOUT_S = 2000, 2.0
SLACK_S = 0.25  # the price of what is held longer begins here; the rule's bound is twice that
KINDS = [RouteType.IDEMPOTENT, RouteType.NON_IDEMPOTENT, RouteType.STREAMING]
HEAD = b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 4\r\n\r\n"


async def final_status(tier: Gateway, sent: bytes = HEAD + b"body") -> int:
    """Sends bytes and returns the status of the answer, which must come in time."""
    wire = await tier.wire()
    began = now()
    wire.send(sent)
    head = await wire.until(b"\r\n\r\n")
    assert now() - began < TIMEOUT_S + SLACK_S
    return int(head.split(b" ")[1])


async def endless(_request: ServerRequest, responder: Responder) -> None:
    """More than a client's socket takes that is not read."""
    responder.begin(200, EVENTS)
    number = 0
    while not responder.disconnected:
        number += 1
        responder.write(event(number).replace(b"token", b"t" * 20_000))
        await responder.drain()
        await asyncio.sleep(0)


@pytest.mark.parametrize("kind", KINDS)
def test_an_unresponsive_worker(kind: RouteType) -> None:
    async def play() -> None:
        async with gateway(unresponsive, unresponsive, routes=(route(kind, timeout_ms=TIMEOUT_MS),)) as tier:
            assert await final_status(tier) == 504

    run(play())


@pytest.mark.parametrize("kind", KINDS)
def test_a_worker_that_does_not_take_the_connection(kind: RouteType, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(WorkerConnection, "connect", lambda *_: None)

    async def play() -> None:
        async with gateway(answered, routes=(route(kind, timeout_ms=TIMEOUT_MS),)) as tier:
            assert await final_status(tier) == 503

    run(play())


def test_a_process_without_tables() -> None:
    async def play() -> None:
        async with gateway(answered, configured=False) as tier:
            assert await final_status(tier) == 503

    run(play())


def test_a_stream_that_goes_on_is_ended() -> None:
    async def play() -> None:
        streaming = route(RouteType.STREAMING, timeout_ms=TIMEOUT_MS)
        async with gateway(slow_stream, routes=(streaming,)) as tier:
            wire = await tier.wire()
            began = now()
            wire.send(HEAD + b"body")
            got = await wire.rest()
            assert now() - began < TIMEOUT_S + SLACK_S
            assert b"id: 2" in got
            assert not got.endswith(b"0\r\n\r\n")

    run(play())


def test_a_client_that_does_not_read_is_not_waited_for() -> None:
    """Its end would stay behind what it does not read: the connection is reset."""

    async def play() -> None:
        streaming = route(RouteType.STREAMING, timeout_ms=TIMEOUT_MS)
        async with gateway(endless, routes=(streaming,)) as tier:
            wire = await tier.wire()
            cast(asyncio.Transport, wire.writer.transport).pause_reading()
            wire.send(HEAD + b"body")
            await asyncio.sleep(TIMEOUT_S + SLACK_S)
            assert tier.program.front.requests_in_flight == 0
            assert tier.program.front.open_connections == 0
            assert len(tier.released_at) == 1

    run(play())


@pytest.mark.parametrize("pause_s", [0.3, 30.0])
def test_a_body_that_is_not_complete_in_time_is_refused(pause_s: float) -> None:
    async def play() -> None:
        async with gateway(answered, routes=(route(timeout_ms=TIMEOUT_MS),)) as tier:
            wire = await tier.wire()
            began = now()
            wire.send(HEAD.replace(b": 4", b": 400"))
            sending = asyncio.create_task(send_slowly(wire.send, pause_s))
            head = await wire.until(b"\r\n\r\n")
            assert b" 408 " in head
            assert b"Connection: close" in head
            assert now() - began < TIMEOUT_S + SLACK_S
            assert not tier.seen
            sending.cancel()

    run(play())


async def send_slowly(send: Callable[[bytes], None], pause_s: float) -> None:
    while True:
        await asyncio.sleep(pause_s)
        send(b"b")


def test_a_slow_body_that_comes_in_time_is_served_with_what_is_left() -> None:
    async def play() -> None:
        async with gateway(answered, routes=(route(timeout_ms=TIMEOUT_MS),)) as tier:
            wire = await tier.wire()
            wire.send(HEAD + b"bo")
            await asyncio.sleep(1.5)
            wire.send(b"dy")
            assert b" 200 " in await wire.until(b"\r\n\r\n")

    run(play())
