"""The HTTP server, tested through raw loopback connections."""

import asyncio
from dataclasses import replace

import pytest

from pewterring.transport.http_server import Responder, ServerRequest
from tests.transport.http_stand_ins import LIMITS, PATIENCE_S, Handler, Wire, serving

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def echo(request: ServerRequest, responder: Responder) -> None:
    await responder.respond(200, [], request.target.encode() + b"|" + request.body)


async def read_answer(wire: Wire) -> tuple[bytes, bytes]:
    """Reads the head and body of an answer with a Content-Length."""
    head = await wire.read_until(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return head, await wire.read(length)


async def received_after(sent: bytes, handler: Handler = echo, limits: object = LIMITS) -> bytes:
    """Sends bytes on one connection and returns everything received until it closes."""
    assert limits is LIMITS or isinstance(limits, type(LIMITS))
    async with serving(handler, limits) as server:
        wire = await server.connect()
        wire.send(sent)
        return await wire.read_to_end()


def status(raw: bytes) -> int:
    return int(raw.split(b" ", 2)[1])


def closing_request(target: bytes = b"/a", extra_headers: bytes = b"") -> bytes:
    return b"GET " + target + b" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + extra_headers + b"\r\n"


def test_the_handler_receives_the_request_as_sent() -> None:
    seen: list[ServerRequest] = []

    async def handler(request: ServerRequest, responder: Responder) -> None:
        seen.append(request)
        await responder.respond(204, [])

    head = b"POST /x? HTTP/1.1\r\nHost: Ab.Example:80\r\nX-Odd: 1\r\nx-odd: 2\r\nConnection: close\r\n"
    raw = asyncio.run(received_after(head + b"Content-Length: 3\r\n\r\nabc", handler))
    assert raw == b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
    request = seen[0]
    assert (request.method, request.target, request.host, request.body) == (
        "POST",
        "/x?",
        "ab.example",
        b"abc",
    )
    assert request.headers[1:3] == [(b"X-Odd", b"1"), (b"x-odd", b"2")]
    assert request.get(b"x-odd") == b"1"
    assert {type(part) for header in request.headers for part in header} == {bytes}
    assert type(request.body) is bytes


def test_pipelined_requests_are_answered_in_order() -> None:
    async def handler(request: ServerRequest, responder: Responder) -> None:
        if request.target == "/1":
            await asyncio.sleep(0)
        await echo(request, responder)

    async def run_scenario() -> None:
        async with serving(handler) as server:
            wire = await server.connect()
            requests = [b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number for number in (1, 2, 3)]
            wire.send(b"".join(requests))
            assert [(await read_answer(wire))[1] for _ in requests] == [b"/1|", b"/2|", b"/3|"]
            assert server.requests_in_flight == 0
            assert server.open_connections == 1

    asyncio.run(run_scenario())


def test_a_connection_with_too_many_pipelined_bytes_closes_after_its_answer() -> None:
    """Requests that were dropped unread can be retried elsewhere; the pending answer is complete."""

    async def run_scenario() -> None:
        proceed = asyncio.Event()

        async def handler(request: ServerRequest, responder: Responder) -> None:
            await proceed.wait()
            await echo(request, responder)

        async with serving(handler) as server:
            wire = await server.connect()
            wire.send(GET + 3000 * GET)
            await wire.writer.drain()
            connection = next(iter(server.connections))
            while connection._keep_alive:
                await asyncio.sleep(0)
            proceed.set()
            head, _, body = (await wire.read_to_end()).partition(b"\r\n\r\n")
            assert (status(head), body) == (200, b"/a|")
            assert b"Connection: close" in head

    asyncio.run(run_scenario())


def test_a_request_may_be_split_at_every_byte() -> None:
    chunked = (
        b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )

    async def run_scenario() -> None:
        async with serving(echo) as server:
            wire = await server.connect()
            for split in range(1, len(chunked)):
                wire.send(chunked[:split])
                await wire.writer.drain()
                await asyncio.sleep(0)
                wire.send(chunked[split:])
                assert (await read_answer(wire))[1] == b"/c|abcde"

    asyncio.run(run_scenario())


def test_an_answer_in_pieces_is_chunked() -> None:
    async def handler(_request: ServerRequest, responder: Responder) -> None:
        responder.begin(200, [(b"X-A", b"1")])
        responder.write(b"one")
        await asyncio.sleep(0)
        responder.write(b"two")
        responder.end()

    raw = asyncio.run(received_after(closing_request(), handler))
    head, _, body = raw.partition(b"\r\n\r\n")
    assert head == b"HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\nConnection: close"
    assert body == b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"


def test_the_head_is_sent_before_the_first_piece() -> None:
    async def run_scenario() -> None:
        proceed = asyncio.Event()

        async def handler(_request: ServerRequest, responder: Responder) -> None:
            responder.begin(200, [])
            await proceed.wait()
            responder.end()

        async with serving(handler) as server:
            wire = await server.connect()
            wire.send(GET)
            assert status(await wire.read_until(b"\r\n\r\n")) == 200
            proceed.set()
            assert await wire.read(5) == b"0\r\n\r\n"

    asyncio.run(run_scenario())


@pytest.mark.parametrize("failure_mode", ["abort", "return", "raise"])
def test_an_unfinished_answer_has_no_last_chunk(failure_mode: str) -> None:
    async def handler(_request: ServerRequest, responder: Responder) -> None:
        responder.begin(200, [])
        responder.write(b"one")
        if failure_mode == "abort":
            responder.abort()
            assert responder.disconnected
        elif failure_mode == "raise":
            raise ValueError(failure_mode)

    raw = asyncio.run(received_after(GET, handler))
    assert raw.endswith(b"\r\n\r\n3\r\none\r\n")


def test_an_unfinished_answer_to_an_http_1_0_client_is_reset() -> None:
    async def handler(_request: ServerRequest, responder: Responder) -> None:
        responder.begin(200, [])
        responder.write(b"one")

    with pytest.raises(ConnectionResetError):
        asyncio.run(received_after(b"GET /a HTTP/1.0\r\n\r\n", handler))


@pytest.mark.parametrize("raises", [False, True])
def test_a_handler_without_an_answer_gives_500(raises: bool) -> None:
    async def handler(_request: ServerRequest, _responder: Responder) -> None:
        if raises:
            raise ValueError("failed")

    assert status(asyncio.run(received_after(closing_request(), handler))) == 500


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + b"a" * 1000 + b"\r\n\r\n", 431),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + b"a" * 1000, 431),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + b"a" * 101, 413),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 101\r\n\r\n", 413),
        (b"\r\n" * 40, 400),
    ],
)
def test_invalid_requests_are_rejected(sent: bytes, expected: int) -> None:
    raw = asyncio.run(received_after(sent))
    assert status(raw) == expected
    assert b"Connection: close" in raw


def test_limits_are_exact_and_read_for_each_request() -> None:
    body_head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"

    async def run_scenario() -> None:
        async with serving(echo) as server:
            wire = await server.connect()
            wire.send(body_head % 100 + b"b" * 100)
            assert len((await read_answer(wire))[1]) == 103
            server.limits = lambda: replace(LIMITS, max_body_bytes=99)
            wire.send(body_head % 100 + b"b" * 100)
            assert status(await wire.read_to_end()) == 413

    asyncio.run(run_scenario())


def test_a_large_body_does_not_count_as_head() -> None:
    async def run_scenario() -> None:
        async with serving(echo, replace(LIMITS, max_body_bytes=5000)) as server:
            wire = await server.connect()
            wire.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + b"b" * 5000)
            assert len((await read_answer(wire))[1]) == 5003

    asyncio.run(run_scenario())


def test_expect_continue_is_answered_before_the_body() -> None:
    async def run_scenario() -> None:
        async with serving(echo) as server:
            wire = await server.connect()
            wire.send(b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
            assert status(await wire.read_until(b"\r\n\r\n")) == 100
            wire.send(b"ok")
            assert (await read_answer(wire))[1] == b"/a|ok"

    asyncio.run(run_scenario())


def test_the_answer_to_head_has_a_length_and_no_body() -> None:
    async def handler(_request: ServerRequest, responder: Responder) -> None:
        await responder.respond(200, [], b"four")

    raw = asyncio.run(received_after(b"HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", handler))
    assert raw == b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"


def test_an_upgrade_is_ignored() -> None:
    upgrade = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n\r\n"

    async def run_scenario() -> None:
        async with serving(echo) as server:
            wire = await server.connect()
            for sent in (upgrade, GET):
                wire.send(sent)
                assert (await read_answer(wire))[1] == b"/a|"

    asyncio.run(run_scenario())


@pytest.mark.parametrize("reset", [False, True])
def test_the_handler_is_notified_of_a_client_disconnect(reset: bool) -> None:
    async def run_scenario() -> None:
        disconnected_event, handled = asyncio.Event(), asyncio.Event()

        async def handler(_request: ServerRequest, responder: Responder) -> None:
            responder.on_disconnect(disconnected_event.set)
            handled.set()
            await responder.finished()
            assert responder.disconnected
            responder.begin(200, [])
            responder.write(b"unheard")
            responder.end()

        async with serving(handler) as server, asyncio.timeout(PATIENCE_S):
            wire = await server.connect()
            wire.send(GET)
            await handled.wait()
            assert server.requests_in_flight == 1
            if reset:
                wire.reset()
            else:
                wire.close()
            await disconnected_event.wait()
            assert server.requests_in_flight == 0

    asyncio.run(run_scenario())


def test_no_disconnect_is_reported_after_the_end_of_the_answer() -> None:
    calls: list[int] = []

    async def handler(_request: ServerRequest, responder: Responder) -> None:
        responder.on_disconnect(lambda: calls.append(1))
        await responder.respond(200, [])
        assert not responder.disconnected

    asyncio.run(received_after(closing_request(), handler))
    assert calls == []


def test_a_drain_closes_connections_after_their_next_answer() -> None:
    async def run_scenario() -> None:
        async with serving(echo) as server:
            idle, busy = await server.connect(), await server.connect()
            busy.send(GET)
            assert b"close" not in (await read_answer(busy))[0]
            server.begin_drain()
            busy.send(GET)
            raw = await busy.read_to_end()
            assert b"Connection: close" in raw
            idle.send(GET)
            assert b"Connection: close" in await idle.read_to_end()

    asyncio.run(run_scenario())


def test_stop_closes_connections_with_partial_or_unanswered_requests() -> None:
    async def run_scenario() -> None:
        handled = asyncio.Event()

        async def handler(_request: ServerRequest, responder: Responder) -> None:
            responder.begin(200, [])
            responder.write(b"one")
            handled.set()
            await asyncio.Event().wait()

        async with serving(handler) as server:
            partial, streaming = await server.connect(), await server.connect()
            partial.send(GET[:10])
            streaming.send(GET)
            await handled.wait()
            await streaming.read_until(b"one\r\n")
            await server.stop()
            assert (await partial.read_to_end(), await streaming.read_to_end()) == (b"", b"")
            assert (server.open_connections, server.requests_in_flight) == (0, 0)

    asyncio.run(run_scenario())


def test_an_incomplete_head_is_answered_408_after_the_timeout() -> None:
    limits = replace(LIMITS, header_timeout_s=0.02)
    assert status(asyncio.run(received_after(GET[:-2], limits=limits))) == 408


def test_an_idle_connection_is_closed() -> None:
    limits = replace(LIMITS, idle_timeout_s=0.02)
    assert asyncio.run(received_after(b"", limits=limits)) == b""


# Guards against a connection that is closed by an idle timeout that has been raised meanwhile.
def test_a_raised_idle_timeout_holds_for_connections_that_are_idle() -> None:
    async def run_scenario() -> None:
        async with serving(echo, replace(LIMITS, idle_timeout_s=5.0)) as server:
            wire = await server.connect()
            wire.send(GET)
            await read_answer(wire)
            connection = next(iter(server.connections))
            server.limits = lambda: replace(LIMITS, idle_timeout_s=60.0)
            rested_s = 6.0
            server.now = lambda: asyncio.get_running_loop().time() + rested_s
            connection._timer_fired()
            wire.send(GET)
            assert status((await read_answer(wire))[0]) == 200

    asyncio.run(run_scenario())


def test_an_expired_idle_connection_with_unread_bytes_is_read_first() -> None:
    async def run_scenario() -> None:
        async with serving(echo) as server:
            wire = await server.connect()
            wire.send(GET)
            await read_answer(wire)
            connection = next(iter(server.connections))
            connection.transport.pause_reading()
            wire.send(GET)
            await wire.writer.drain()
            while not connection.unread():
                await asyncio.sleep(0)
            server.limits = lambda: replace(LIMITS, idle_timeout_s=0.0)
            connection._timer_fired()
            connection.transport.resume_reading()
            server.limits = lambda: LIMITS
            assert status((await read_answer(wire))[0]) == 200

    asyncio.run(run_scenario())


def test_the_last_answer_is_not_reset_by_unread_bytes() -> None:
    """A client that keeps sending after its request was rejected can still read the answer."""

    async def run_scenario() -> None:
        async with serving(echo) as server:
            wire = await server.connect()
            wire.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + b"b" * 1000000)
            assert status(await wire.read_to_end()) == 413

    asyncio.run(run_scenario())


def test_drain_waits_for_a_slow_client() -> None:
    size = 8 * 1024 * 1024

    async def run_scenario() -> None:
        paused = asyncio.Event()

        async def handler(_request: ServerRequest, responder: Responder) -> None:
            responder.begin(200, [])
            responder.write(b"x" * size)
            assert responder.paused
            paused.set()
            await responder.drain()
            assert not responder.paused
            responder.end()

        async with serving(handler) as server:
            wire = await server.connect()
            wire.send(closing_request())
            async with asyncio.timeout(PATIENCE_S):
                await paused.wait()
            raw = await wire.read_to_end()
            assert raw.endswith(b"\r\n0\r\n\r\n")
            assert len(raw) > size

    asyncio.run(run_scenario())
