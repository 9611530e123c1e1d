"""After SIGTERM: what a gateway still takes, what it refuses at once, and that nothing of it is cut."""

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
    answered,
    gateway,
    route,
    slow_stream,
    unresponsive,
)
from tests.transport.virtual_time import now, run

STREAM = route(RouteType.STREAMING, timeout_ms=20_000)
LONG_MS, SHORT_MS = 20_000, 1500


def in_flight(gateway: Gateway, timeout_ms: int = LONG_MS) -> asyncio.Task[WholeAnswer]:
    return asyncio.create_task(gateway.request(timeout_ms=timeout_ms))


def test_what_comes_early_begins_and_later_only_what_ends_in_time() -> None:
    drain = Drain()
    assert drain.accepts(100.0, 1e9)
    drain.begin(100.0, 8.0)
    assert drain.ends_at == pytest.approx(107.3)
    assert drain.accepts(103.0, 120.0)
    assert not drain.accepts(103.1, 107.4)
    assert drain.accepts(103.1, 107.2)


def test_a_short_grace_takes_new_requests_for_half_of_it() -> None:
    drain = Drain()
    drain.begin(100.0, 1.0)
    assert drain.ends_at == 100.5
    assert drain.accepts(100.5, 110.0)
    assert not drain.accepts(100.6, 110.0)


def test_waits_that_began_before_the_drain_end_with_it() -> None:
    async def play() -> None:
        drain = Drain()
        waiting = asyncio.create_task(wait_at(drain, now() + 60))
        short = asyncio.create_task(wait_at(drain, now() + 2))
        await asyncio.sleep(1.0)
        drain.begin(now(), 8.0)
        assert await short == 2.0
        assert await waiting == pytest.approx(8.3)

    run(play())


async def wait_at(drain: Drain, deadline: float) -> float:
    try:
        async with drain.timeout_at(deadline):
            await asyncio.Event().wait()
    except TimeoutError:
        pass
    return now()


def test_a_late_request_is_refused_as_not_run_while_a_stream_is_in_flight() -> None:
    async def play() -> None:
        async with gateway(slow_stream, routes=(STREAM,)) as tier:
            stream = in_flight(tier)
            await tier.reached()
            ending = asyncio.create_task(tier.program.drain())
            await asyncio.sleep(6.9)
            answer = await tier.request(timeout_ms=6000)
            assert answer.head.status == 503
            assert 0 < float(answer.head.get(b"retry-after") or b"0") < 0.1
            assert answer.head.get(b"connection") == b"close"
            assert len(tier.seen) == 1
            ending.cancel()
            stream.cancel()

    run(play())


def test_a_request_on_a_persistent_connection_is_refused_too() -> None:
    async def play() -> None:
        async with gateway(answered, slow_stream, routes=(STREAM,)) as tier:
            wire = await tier.wire()
            request = b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n"
            wire.send(request)
            assert b" 200 " in await wire.until(b"\r\n\r\n")
            await wire.read(len(b"result"))
            tier.program.chooser.workers["w0"].slowness = 9.0
            stream = in_flight(tier)
            await tier.reached(2)
            ending = asyncio.create_task(tier.program.drain())
            await asyncio.sleep(4.0)
            wire.send(request)
            refused = (await wire.rest()).lower()
            assert b" 503 " in refused
            assert b"retry-after" in refused
            assert b"connection: close" in refused
            assert len(tier.seen) == 2
            ending.cancel()
            stream.cancel()

    run(play())


def test_a_request_that_ends_before_the_process_is_served_late_too() -> None:
    async def play() -> None:
        async with gateway(slow_stream, answered, routes=(STREAM,)) as tier:
            tier.program.chooser.workers["w1"].slowness = 2.0
            stream = in_flight(tier)
            await tier.reached()
            ending = asyncio.create_task(tier.program.drain())
            await asyncio.sleep(4.0)
            tier.program.chooser.workers["w0"].slowness = 9.0
            assert (await tier.request(timeout_ms=SHORT_MS)).head.status == 200
            ending.cancel()
            stream.cancel()

    run(play())


def test_not_ready_from_the_signal_on() -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            assert await tier.is_ready()
            ending = asyncio.create_task(tier.program.drain())
            await asyncio.sleep(0)
            assert not await tier.is_ready()
            ending.cancel()

    run(play())


def test_the_process_ends_soon_where_nothing_is_in_flight() -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            began = now()
            await tier.program.drain()
            assert now() - began < 3.0

    run(play())


def test_a_request_without_an_answer_gets_one_before_the_process_ends() -> None:
    async def play() -> None:
        async with gateway(unresponsive, unresponsive, routes=(route(timeout_ms=LONG_MS),)) as tier:
            began = now()
            requesting = in_flight(tier)
            await tier.reached()
            await tier.program.drain()
            assert now() - began < GRACE_S
            assert tier.program.front.requests_in_flight == 0
            answer = await requesting
            assert answer.head.status == 504

    run(play())


def test_a_request_that_waits_for_the_first_tables_has_its_answer_before_the_process_ends() -> None:
    async def play() -> None:
        async with gateway(answered, configured=False) as tier:
            tier.program.draining.begin(now(), 1.0)
            began = now()
            assert (await tier.request(timeout_ms=LONG_MS)).head.status == 503
            assert now() - began <= 0.5

    run(play())


def test_a_stream_that_is_still_running_is_truncated_at_the_end_and_not_before() -> None:
    async def play() -> None:
        async with gateway(slow_stream, routes=(STREAM,)) as tier:
            began = now()
            stream = in_flight(tier)
            await tier.reached()
            await tier.program.drain()
            assert tier.program.draining.ends_at - 0.1 < now() < began + GRACE_S
            with pytest.raises(ExchangeError):
                await stream

    run(play())


def test_a_batch_read_that_would_outlive_the_process_is_refused_and_a_pending_one_answered() -> None:
    async def play() -> None:
        async with gateway(slow_stream, routes=(STREAM,)) as tier:
            stream = in_flight(tier)
            await tier.reached()
            reading = asyncio.create_task(read_results(tier, wait_ms=9_000))
            await asyncio.sleep(0.5)
            ending = asyncio.create_task(tier.program.drain())
            await asyncio.sleep(6.4)
            assert await read_results(tier, wait_ms=1000) == 503
            await ending
            assert await reading == 504
            stream.cancel()

    run(play())


async def read_results(tier: Gateway, wait_ms: int) -> int:
    headers = [(b"Host", b"h"), (b"Wait-Ms", b"%d" % wait_ms)]
    request = SendRequest("GET", "/v1/lots/1?after=0", headers)
    return (await fetch(tier.clients, f"{IP}:{tier.port}", request, 50, 60.0)).head.status
