"""The HTTP server of control at its socket: only complete calls are handled, and answers keep their order."""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from pewterring.control import http_server
from pewterring.control.api import ControlApi
from pewterring.control.calls import Answer, Call
from pewterring.control.http_server import LIMITS, ApiServer
from pewterring.node.address import Address
from tests.loopback import free_port, loopback_ip
from tests.transport.http_stand_ins import PATIENCE_S, Wire

IP = loopback_ip(31)
FIRST = b"POST /v1/Instances.Heartbeat/w HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfirst"
CHUNKED = (
    b"POST /v1/Config.Replace HTTP/1.1\r\nHost: h\r\nBase-Version: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nse\r\n4\r\ncond\r\n0\r\n\r\n"
)
LAST = b"GET /v1/Config.Get HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
MAX_BODY_BYTES = 1000


class Control:
    """Records calls, and answers each with its own path and body."""

    server: ApiServer

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.port = free_port(IP)

    async def answer(self, call: Call) -> Answer:
        self.calls.append(call)
        await asyncio.sleep(0)
        return Answer(200, call.path.encode() + b" " + call.body)

    async def connect(self) -> Wire:
        return Wire(*await asyncio.open_connection(IP, self.port))


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[Control]:
    control = Control()
    limits = dataclasses.replace(LIMITS, max_body_bytes=MAX_BODY_BYTES)
    control.server = server = ApiServer(ControlApi(control.answer), Address(IP, control.port), limits)
    await server.start()
    try:
        yield control
    finally:
        await server.stop()


def run_scenario(scenario: Callable[[Control], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(PATIENCE_S), serving() as control:
            await scenario(control)

    asyncio.run(run())


@pytest.mark.parametrize("raw", [FIRST, CHUNKED], ids=["length", "chunked"])
def test_a_call_truncated_at_any_byte_is_not_handled(raw: bytes) -> None:
    async def scenario(control: Control) -> None:
        for length in range(len(raw)):
            wire = await control.connect()
            wire.send(raw[:length])
            await wire.writer.drain()
            if length % 2:
                wire.reset()
            else:
                wire.writer.write_eof()
                await wire.read_to_end()
                await wire.closed()
        assert control.calls == []
        wire = await control.connect()
        wire.send(raw + LAST)
        await wire.read_to_end()
        await wire.closed()
        assert len(control.calls) == 2

    run_scenario(scenario)


def test_calls_of_one_connection_are_answered_in_their_order() -> None:
    async def scenario(control: Control) -> None:
        wire = await control.connect()
        wire.send(FIRST + CHUNKED + LAST)
        answers = await wire.read_to_end()
        await wire.closed()
        bodies = [b"/v1/Instances.Heartbeat/w first", b"/v1/Config.Replace second", b"/v1/Config.Get "]
        assert answers.count(b"HTTP/1.1 200") == 3
        offsets = [answers.find(body) for body in bodies]
        assert -1 not in offsets
        assert offsets == sorted(offsets)
        assert [call.base_version for call in control.calls] == ["", "3", ""]

    run_scenario(scenario)


def test_a_call_embedded_in_a_too_long_body_is_not_handled() -> None:
    async def scenario(control: Control) -> None:
        for framing in (b"Content-Length: %d\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n%x\r\n"):
            body = b"x" * (MAX_BODY_BYTES + 1)
            wire = await control.connect()
            wire.send(b"POST /v1/Config.Replace HTTP/1.1\r\nHost: h\r\n")
            wire.send(framing % (len(body) + len(FIRST)) + body)
            head = await wire.read_until(b"\r\n\r\n")
            assert b" 413 " in head.splitlines()[0]  # an early answer
            wire.send(FIRST)  # the rest of the body
            with contextlib.suppress(ConnectionResetError):
                assert b"HTTP/1.1" not in await wire.read_to_end()
            await wire.closed()
        assert control.calls == []

    run_scenario(scenario)


@pytest.mark.parametrize("raw", [b"", FIRST[:30], FIRST], ids=["at rest", "in a call", "after an answer"])
def test_a_connection_closed_by_its_caller_is_released(raw: bytes) -> None:
    async def scenario(control: Control) -> None:
        for _ in range(20):
            wire = await control.connect()
            wire.send(raw)
            if raw == FIRST:
                await wire.read_until(b"first")
            await wire.closed()
        while control.server.open_connections:  # noqa: ASYNC110 - the server has no event for it
            await asyncio.sleep(0)

    run_scenario(scenario)


def test_an_address_in_use_is_bound_once_it_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "REBIND_INTERVAL_S", 0.0)

    async def run() -> None:
        control = Control()
        server = ApiServer(ControlApi(control.answer), Address(IP, control.port))
        with socket.socket() as occupant:
            occupant.bind((IP, control.port))
            occupant.listen()
            await server.start()
        async with asyncio.timeout(PATIENCE_S):
            wire = None
            while wire is None:
                with contextlib.suppress(ConnectionRefusedError):
                    wire = await control.connect()
            wire.send(LAST)
            assert b" 200 " in await wire.read_until(b"\r\n")
            await wire.closed()
        await server.stop()

    asyncio.run(run())
