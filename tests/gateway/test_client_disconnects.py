"""A client that has left: nothing more is sent for it, and workers are let go."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import pytest

from pewterring.configuration.model import RouteType
from pewterring.distribution.messages import WorkerRecord
from pewterring.transport.http_connection import WorkerConnection
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.gateway.gateway import IP, Behaviour, answered, gateway, route, slow_stream, unresponsive
from tests.transport.http_stand_ins import Wire
from tests.transport.virtual_time import now, run

RELEASE_S = 0.5
POST = b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 4\r\n\r\nbody"
STREAM = route(RouteType.STREAMING, timeout_ms=20_000)
Leave = Callable[[Wire], None]


def half_close(wire: Wire) -> None:
    wire.writer.write_eof()


def pipeline_and_close(wire: Wire) -> None:
    wire.send(POST)
    wire.close()


DISCONNECTS = [Wire.close, Wire.reset, half_close, pipeline_and_close]


async def full(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(503, [(b"Not-Executed", b"1")])


async def quiescence() -> None:
    await asyncio.sleep(2 * RELEASE_S)


@pytest.mark.parametrize("leave", DISCONNECTS)
@pytest.mark.parametrize("behaviour", [unresponsive, slow_stream])
def test_the_worker_is_released_at_once(behaviour: Behaviour, leave: Leave) -> None:
    async def play() -> None:
        async with gateway(behaviour, answered, routes=(STREAM,)) as tier:
            tier.program.chooser.workers["w1"].slowness = 5.0
            wire = await tier.wire()
            wire.send(POST)
            await tier.reached()
            await asyncio.sleep(0.1)
            left_at = now()
            leave(wire)
            await quiescence()
            (released_at,) = tier.released_at
            assert released_at - left_at < RELEASE_S
            assert len(tier.seen) == 1
            assert tier.program.front.requests_in_flight == 0

    run(play())


def test_a_client_that_disconnects_before_the_first_tables_reaches_no_worker() -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            await tier.request()  # a connection to the worker rests: the next request needs no wait
            tier.program.configuration.routes = None
            tier.program.configuration.received.clear()
            wire = await tier.wire()
            wire.send(POST)
            await asyncio.sleep(0.1)
            wire.close()
            await asyncio.sleep(0.1)
            tier.configure()
            await quiescence()
            assert len(tier.seen) == 1

    run(play())


def test_a_client_that_disconnects_while_a_connection_comes_up_reaches_no_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection comes up after the client has left."""
    connects: list[Awaitable[None]] = []
    begun = asyncio.Event()

    def delayed(connection: WorkerConnection, timeout_s: float) -> None:
        connects.append(connection._connect(timeout_s))  # noqa: SLF001 - what `connect` would start
        begun.set()

    async def play() -> None:
        async with gateway(answered) as tier:
            monkeypatch.setattr(WorkerConnection, "connect", delayed)
            wire = await tier.wire()
            wire.send(POST)
            await begun.wait()
            wire.close()
            await asyncio.sleep(0.1)
            await connects[0]
            await quiescence()
            assert not tier.seen

    run(play())


def test_a_client_that_disconnects_in_the_pause_before_another_worker_reaches_it_no_more() -> None:
    async def play() -> None:
        left = asyncio.Event()

        async def declines_as_the_client_disconnects(request: ServerRequest, responder: Responder) -> None:
            wire.close()
            left.set()
            await full(request, responder)

        routes = (route(max_attempts=4),)
        async with gateway(*(3 * [declines_as_the_client_disconnects]), routes=routes) as tier:
            wire = await tier.wire()
            wire.send(POST)
            await left.wait()
            await quiescence()
            assert len(tier.seen) <= 2  # the second is sent without a pause; the close may come just after
            assert tier.program.front.requests_in_flight == 0

    run(play())


def test_a_request_half_written_to_a_worker_is_reset() -> None:
    """A worker that reads late: what the sockets hold of the request is not delivered then."""

    async def play() -> None:
        ends: list[type[OSError] | None] = []

        async def reads_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.0)
            try:
                while await reader.read(1024 * 1024):
                    pass
                ends.append(None)
            except OSError as error:
                ends.append(type(error))
            writer.close()

        async with gateway() as tier:
            worker = await asyncio.start_server(reads_late, IP, 0, limit=1)
            address = f"{IP}:{worker.sockets[0].getsockname()[1]}"
            tier.workers = {"w": WorkerRecord("w", "s", address, "z", 4, "ready")}
            tier.configure()
            wire = await tier.wire()
            size = 4 * 1024 * 1024
            wire.send(POST.replace(b": 4\r\n\r\nbody", b": %d\r\n\r\n" % size) + b"b" * size)
            await asyncio.sleep(0.5)
            wire.close()
            await quiescence()
            assert ends == [ConnectionResetError]
            worker.close()

    run(play())


def test_a_client_that_disconnects_with_much_sent_ahead_is_noticed() -> None:
    """More than is kept of later requests: what lies behind it is read all the same, its end too."""

    async def play() -> None:
        async with gateway(unresponsive, routes=(STREAM,)) as tier:
            wire = await tier.wire()
            wire.send(POST)
            await tier.reached()
            wire.send(b"x" * 200_000)
            await asyncio.sleep(0.1)
            left_at = now()
            wire.close()
            await quiescence()
            (released_at,) = tier.released_at
            assert released_at - left_at < RELEASE_S

    run(play())


def test_a_client_that_disconnects_while_it_reads_too_slowly_releases_its_worker() -> None:
    async def endless(_request: ServerRequest, responder: Responder) -> None:
        responder.begin(200, [(b"Response-Signature", b"s"), (b"Content-Type", b"text/event-stream")])
        number = 0
        while not responder.disconnected:
            number += 1
            responder.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * 20_000))
            await responder.drain()
            await asyncio.sleep(0)

    async def play() -> None:
        async with gateway(endless, routes=(STREAM,)) as tier:
            wire = await tier.wire()
            cast(asyncio.Transport, wire.writer.transport).pause_reading()
            wire.send(POST)
            await tier.reached()
            await asyncio.sleep(1.0)
            left_at = now()
            wire.reset()
            await quiescence()
            (released_at,) = tier.released_at
            assert released_at - left_at < RELEASE_S

    run(play())
