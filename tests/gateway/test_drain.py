"""After SIGTERM a gateway accepts only requests that it can answer in time, and refuses others at once."""

import asyncio

import pytest

from pewterring.configuration.model import RouteType
from pewterring.gateway.drain import Drain
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch
from tests.gateway.gateway import (
    GRACE_S,
    IP,
    Gateway,
    answer_result,
    never_answer,
    route,
    run_gateway,
    slow_stream,
)
from tests.transport.virtual_time import now, run

STREAM = route(RouteType.STREAMING, timeout_ms=20_000)
LONG_MS, SHORT_MS = 20_000, 1500


def start_request(gateway: Gateway, timeout_ms: int = LONG_MS) -> asyncio.Task[WholeAnswer]:
    return asyncio.create_task(gateway.request(timeout_ms=timeout_ms))


def test_a_drain_accepts_early_requests_and_later_only_those_that_end_in_time() -> None:
    drain = Drain()
    assert drain.accepts(100.0, 1e9)
    drain.begin(100.0, 8.0)
    assert drain.ends_at == pytest.approx(107.3)
    assert drain.accepts(103.0, 120.0)
    assert not drain.accepts(103.1, 107.4)
    assert drain.accepts(103.1, 107.2)


def test_a_short_grace_period_accepts_all_requests_for_half_of_it() -> None:
    drain = Drain()
    drain.begin(100.0, 1.0)
    assert drain.ends_at == 100.5
    assert drain.accepts(100.5, 110.0)
    assert not drain.accepts(100.6, 110.0)


def test_a_wait_that_began_before_the_drain_ends_with_it() -> None:
    async def scenario() -> None:
        drain = Drain()
        long_wait = asyncio.create_task(wait_until_timeout(drain, now() + 60))
        short_wait = asyncio.create_task(wait_until_timeout(drain, now() + 2))
        await asyncio.sleep(1.0)
        drain.begin(now(), 8.0)
        assert await short_wait == 2.0
        assert await long_wait == pytest.approx(8.3)

    run(scenario())


async def wait_until_timeout(drain: Drain, deadline: float) -> float:
    try:
        async with drain.timeout_at(deadline):
            await asyncio.Event().wait()
    except TimeoutError:
        pass
    return now()


def test_a_late_request_is_refused_as_not_run_while_a_stream_is_in_flight() -> None:
    async def scenario() -> None:
        async with run_gateway(slow_stream, routes=(STREAM,)) as gateway:
            stream = start_request(gateway)
            await gateway.wait_for_requests()
            drain_task = asyncio.create_task(gateway.program.drain())
            await asyncio.sleep(6.9)
            answer = await gateway.request(timeout_ms=6000)
            assert answer.head.status == 503
            assert 0 < float(answer.head.get(b"retry-after") or b"0") < 0.1
            assert answer.head.get(b"connection") == b"close"
            assert len(gateway.received_requests) == 1
            drain_task.cancel()
            stream.cancel()

    run(scenario())


def test_a_request_on_a_persistent_connection_is_refused_too() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, slow_stream, routes=(STREAM,)) as gateway:
            wire = await gateway.wire()
            request = b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n"
            wire.send(request)
            assert b" 200 " in await wire.read_until(b"\r\n\r\n")
            await wire.read(len(b"result"))
            gateway.program.chooser.workers["w0"].slowness = 9.0
            stream = start_request(gateway)
            await gateway.wait_for_requests(2)
            drain_task = asyncio.create_task(gateway.program.drain())
            await asyncio.sleep(4.0)
            wire.send(request)
            refused = (await wire.read_to_end()).lower()
            assert b" 503 " in refused
            assert b"retry-after" in refused
            assert b"connection: close" in refused
            assert len(gateway.received_requests) == 2
            drain_task.cancel()
            stream.cancel()

    run(scenario())


def test_a_late_request_that_ends_before_the_drain_is_served() -> None:
    async def scenario() -> None:
        async with run_gateway(slow_stream, answer_result, routes=(STREAM,)) as gateway:
            gateway.program.chooser.workers["w1"].slowness = 2.0
            stream = start_request(gateway)
            await gateway.wait_for_requests()
            drain_task = asyncio.create_task(gateway.program.drain())
            await asyncio.sleep(4.0)
            gateway.program.chooser.workers["w0"].slowness = 9.0
            assert (await gateway.request(timeout_ms=SHORT_MS)).head.status == 200
            drain_task.cancel()
            stream.cancel()

    run(scenario())


def test_a_draining_gateway_is_not_ready() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            assert await gateway.is_ready()
            drain_task = asyncio.create_task(gateway.program.drain())
            await asyncio.sleep(0)
            assert not await gateway.is_ready()
            drain_task.cancel()

    run(scenario())


def test_an_idle_gateway_finishes_its_drain_soon() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            started_at = now()
            await gateway.program.drain()
            assert now() - started_at < 3.0

    run(scenario())


def test_a_pending_request_is_answered_before_the_process_ends() -> None:
    async def scenario() -> None:
        async with run_gateway(never_answer, never_answer, routes=(route(timeout_ms=LONG_MS),)) as gateway:
            started_at = now()
            request_task = start_request(gateway)
            await gateway.wait_for_requests()
            await gateway.program.drain()
            assert now() - started_at < GRACE_S
            assert gateway.program.front.requests_in_flight == 0
            answer = await request_task
            assert answer.head.status == 504

    run(scenario())


def test_a_request_waiting_for_the_first_tables_is_answered_before_the_process_ends() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, configured=False) as gateway:
            gateway.program.draining.begin(now(), 1.0)
            started_at = now()
            assert (await gateway.request(timeout_ms=LONG_MS)).head.status == 503
            assert now() - started_at <= 0.5

    run(scenario())


def test_a_running_stream_is_truncated_only_at_the_end_of_the_drain() -> None:
    async def scenario() -> None:
        async with run_gateway(slow_stream, routes=(STREAM,)) as gateway:
            started_at = now()
            stream = start_request(gateway)
            await gateway.wait_for_requests()
            await gateway.program.drain()
            assert gateway.program.draining.ends_at - 0.1 < now() < started_at + GRACE_S
            with pytest.raises(ExchangeError):
                await stream

    run(scenario())


def test_during_a_drain_a_long_batch_read_is_refused_and_a_pending_one_answered() -> None:
    async def scenario() -> None:
        async with run_gateway(slow_stream, routes=(STREAM,)) as gateway:
            stream = start_request(gateway)
            await gateway.wait_for_requests()
            read_task = asyncio.create_task(read_results(gateway, wait_ms=9_000))
            await asyncio.sleep(0.5)
            drain_task = asyncio.create_task(gateway.program.drain())
            await asyncio.sleep(6.4)
            assert await read_results(gateway, wait_ms=1000) == 503
            await drain_task
            assert await read_task == 504
            stream.cancel()

    run(scenario())


async def read_results(gateway: Gateway, wait_ms: int) -> int:
    headers = [(b"Host", b"h"), (b"Wait-Ms", b"%d" % wait_ms)]
    request = SendRequest("GET", "/v1/lots/1?after=0", headers)
    return (await fetch(gateway.client_pool, f"{IP}:{gateway.port}", request, 50, 60.0)).head.status
