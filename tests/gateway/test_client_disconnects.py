"""After a client disconnects, nothing more is sent to workers for it, and its worker is released."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import pytest

from pewterring.configuration.model import RouteType
from pewterring.distribution.messages import WorkerRecord
from pewterring.transport.http_connection import WorkerConnection
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.gateway.gateway import IP, Behaviour, answer_result, never_answer, route, run_gateway, slow_stream
from tests.transport.http_stand_ins import Wire
from tests.transport.virtual_time import now, run

RELEASE_S = 0.5
POST = b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 4\r\n\r\nbody"
STREAM = route(RouteType.STREAMING, timeout_ms=20_000)
Disconnect = Callable[[Wire], None]


def half_close(wire: Wire) -> None:
    wire.writer.write_eof()


def pipeline_and_close(wire: Wire) -> None:
    wire.send(POST)
    wire.close()


DISCONNECTS = [Wire.close, Wire.reset, half_close, pipeline_and_close]


async def decline(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(503, [(b"Not-Executed", b"1")])


async def wait_until_settled() -> None:
    await asyncio.sleep(2 * RELEASE_S)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("behaviour", [never_answer, slow_stream])
def test_a_client_that_disconnects_releases_its_worker_at_once(
    behaviour: Behaviour, disconnect: Disconnect
) -> None:
    async def scenario() -> None:
        async with run_gateway(behaviour, answer_result, routes=(STREAM,)) as gateway:
            gateway.program.chooser.workers["w1"].slowness = 5.0
            wire = await gateway.wire()
            wire.send(POST)
            await gateway.wait_for_requests()
            await asyncio.sleep(0.1)
            disconnected_at = now()
            disconnect(wire)
            await wait_until_settled()
            (released_at,) = gateway.released_at
            assert released_at - disconnected_at < RELEASE_S
            assert len(gateway.received_requests) == 1
            assert gateway.program.front.requests_in_flight == 0

    run(scenario())


def test_a_client_that_disconnects_before_the_first_tables_reaches_no_worker() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            await gateway.request()  # leaves an idle connection to the worker for the next request
            gateway.program.configuration.routes = None
            gateway.program.configuration.received.clear()
            wire = await gateway.wire()
            wire.send(POST)
            await asyncio.sleep(0.1)
            wire.close()
            await asyncio.sleep(0.1)
            gateway.configure()
            await wait_until_settled()
            assert len(gateway.received_requests) == 1

    run(scenario())


def test_a_client_that_disconnects_while_a_worker_is_being_connected_reaches_no_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection to the worker is established after the client has disconnected."""
    pending_connects: list[Awaitable[None]] = []
    connect_requested = asyncio.Event()

    def delay_connect(connection: WorkerConnection, timeout_s: float) -> None:
        pending_connects.append(connection._connect(timeout_s))  # noqa: SLF001 - started by `connect`
        connect_requested.set()

    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            monkeypatch.setattr(WorkerConnection, "connect", delay_connect)
            wire = await gateway.wire()
            wire.send(POST)
            await connect_requested.wait()
            wire.close()
            await asyncio.sleep(0.1)
            await pending_connects[0]
            await wait_until_settled()
            assert not gateway.received_requests

    run(scenario())


def test_no_retry_is_sent_for_a_client_that_disconnected_before_it() -> None:
    async def scenario() -> None:
        client_closed = asyncio.Event()

        async def declines_as_the_client_disconnects(request: ServerRequest, responder: Responder) -> None:
            wire.close()
            client_closed.set()
            await decline(request, responder)

        routes = (route(max_attempts=4),)
        async with run_gateway(*(3 * [declines_as_the_client_disconnects]), routes=routes) as gateway:
            wire = await gateway.wire()
            wire.send(POST)
            await client_closed.wait()
            await wait_until_settled()
            # The first retry has no pause, so it may be sent before the close is noticed.
            assert len(gateway.received_requests) <= 2
            assert gateway.program.front.requests_in_flight == 0

    run(scenario())


def test_a_partially_written_request_is_reset_when_its_client_disconnects() -> None:
    """A worker that reads late must not receive the part of the request that the socket buffers hold."""

    async def scenario() -> None:
        read_results: list[type[OSError] | None] = []

        async def read_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.0)
            try:
                while await reader.read(1024 * 1024):
                    pass
                read_results.append(None)
            except OSError as error:
                read_results.append(type(error))
            writer.close()

        async with run_gateway() as gateway:
            worker = await asyncio.start_server(read_late, IP, 0, limit=1)
            address = f"{IP}:{worker.sockets[0].getsockname()[1]}"
            gateway.workers = {"w": WorkerRecord("w", "s", address, "z", 4, "ready")}
            gateway.configure()
            wire = await gateway.wire()
            size = 4 * 1024 * 1024
            wire.send(POST.replace(b": 4\r\n\r\nbody", b": %d\r\n\r\n" % size) + b"b" * size)
            await asyncio.sleep(0.5)
            wire.close()
            await wait_until_settled()
            assert read_results == [ConnectionResetError]
            worker.close()

    run(scenario())


def test_a_disconnect_behind_much_pipelined_data_is_detected() -> None:
    """Data beyond the limit for pipelined requests is still read, so that the end of stream is noticed."""

    async def scenario() -> None:
        async with run_gateway(never_answer, routes=(STREAM,)) as gateway:
            wire = await gateway.wire()
            wire.send(POST)
            await gateway.wait_for_requests()
            wire.send(b"x" * 200_000)
            await asyncio.sleep(0.1)
            disconnected_at = now()
            wire.close()
            await wait_until_settled()
            (released_at,) = gateway.released_at
            assert released_at - disconnected_at < RELEASE_S

    run(scenario())


def test_a_slow_reader_that_disconnects_releases_its_worker() -> None:
    async def endless(_request: ServerRequest, responder: Responder) -> None:
        responder.begin(200, [(b"Response-Signature", b"s"), (b"Content-Type", b"text/event-stream")])
        number = 0
        while not responder.disconnected:
            number += 1
            responder.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * 20_000))
            await responder.drain()
            await asyncio.sleep(0)

    async def scenario() -> None:
        async with run_gateway(endless, routes=(STREAM,)) as gateway:
            wire = await gateway.wire()
            cast(asyncio.Transport, wire.writer.transport).pause_reading()
            wire.send(POST)
            await gateway.wait_for_requests()
            await asyncio.sleep(1.0)
            disconnected_at = now()
            wire.reset()
            await wait_until_settled()
            (released_at,) = gateway.released_at
            assert released_at - disconnected_at < RELEASE_S

    run(scenario())
