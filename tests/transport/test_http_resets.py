"""The client of workers when connections end, answers repeat and bodies wait, at each byte."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest

from pewterring.transport.http_client import (
    AnswerBrokenError,
    ConnectFailedError,
    SendRequest,
    StaleConnectionError,
)
from pewterring.transport.http_common import encode_request
from tests.consensus import virtual_time
from tests.transport.scripted import Ending, ScriptedWorker, scripted_network, settle

BODY = b"a body of some length"
REQUEST = SendRequest("POST", "/x", [(b"Host", b"h"), (b"Request-Id", b"a1")], BODY, b"a1")
NEXT = SendRequest("POST", "/y", [(b"Host", b"h"), (b"Request-Id", b"b2")], BODY, b"b2")
RAW_REQUEST = encode_request(REQUEST.method, REQUEST.target, REQUEST.headers, REQUEST.body)
RAW_NEXT = encode_request(NEXT.method, NEXT.target, NEXT.headers, NEXT.body)

NAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\n"
OK = NAMED + b"Content-Length: 2\r\n\r\nok"
NEXT_OK = OK.replace(b"a1", b"b2")
UNNAMED_OK = OK.replace(b"Request-Id: a1\r\n", b"")
UNNAMED_DECLINE = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(frozen=True)
class Sample:
    """An answer, its body, and the length of what must come before a close ends it in good order."""

    raw: bytes
    body: bytes
    closable: int | None = None  # None: it has a length of its own


SAMPLES = {
    "length": Sample(OK, b"ok"),
    "chunked": Sample(
        NAMED + b"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n4;x=y\r\ntwo!\r\n0\r\nT: 1\r\n\r\n",
        b"onetwo!",
    ),
    "without a body": Sample(NAMED.replace(b"200 OK", b"204 No Content") + b"\r\n", b""),
    "until the close": Sample(NAMED + b"\r\nall of it", b"all of it", len(NAMED) + 2),
    "HTTP/1.0": Sample(NAMED.replace(b"/1.1", b"/1.0") + b"\r\nold", b"old", len(NAMED) + 2),
    "after interim ones": Sample(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nRequest-Id: b2\r\n\r\n" + OK, b"ok"
    ),
}

Story = Callable[[ScriptedWorker], Awaitable[None]]


def play(story: Story) -> None:
    async def run() -> None:
        with scripted_network() as network:
            worker = ScriptedWorker(network)
            await story(worker)
            worker.pool.close()
            await settle()

    virtual_time.run(run())


# A reset or a close at each byte.


@pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("name", SAMPLES)
def test_an_answer_cut_at_any_byte_is_not_whole(name: str, ending: Ending, reused: bool) -> None:
    sample = SAMPLES[name]
    for cut in range(len(sample.raw) + 1):

        async def story(worker: ScriptedWorker, cut: int = cut) -> None:
            if reused:
                await worker.serve(NEXT, NEXT_OK)
            recorder, _ = await worker.send(REQUEST)
            transport = worker.network.last
            transport.deliver(sample.raw[:cut])
            transport.end(ending)
            await settle()
            if sample.closable is None:
                whole = cut == len(sample.raw)
            else:
                whole = ending is Ending.CLOSE and cut >= sample.closable
            assert recorder.ended.is_set()
            if whole:
                assert recorder.error is None
                assert recorder.body == sample.body[: len(recorder.body)]
                assert sample.closable is not None or recorder.body == sample.body
            else:
                kind = StaleConnectionError if reused and not cut else AnswerBrokenError
                assert type(recorder.error) is kind
                assert recorder.error is not None
                assert recorder.error.sent
            assert worker.pool.connections_made == 1  # the client itself sends nothing twice
            assert transport.taken.endswith(RAW_REQUEST)

        play(story)


@pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("ending", Ending)
def test_a_request_cut_at_any_byte_may_have_run(ending: Ending, reused: bool) -> None:
    for cut in range(len(RAW_REQUEST) + 1):

        async def story(worker: ScriptedWorker, cut: int = cut) -> None:
            before = len(RAW_NEXT) if reused else 0
            worker.network.room = before + cut
            if reused:
                await worker.serve(NEXT, NEXT_OK)
            recorder, exchange = await worker.send(REQUEST)
            assert exchange.sent
            transport = worker.network.last
            transport.end(ending)
            await settle()
            assert recorder.error is not None
            assert recorder.error.sent
            assert transport.taken[before:] == RAW_REQUEST[:cut]
            assert worker.pool.connections_made == 1

        play(story)


def test_a_connection_that_never_came_up_took_nothing() -> None:
    async def story(worker: ScriptedWorker) -> None:
        worker.network.refusing.add("192.0.2.1")
        recorder, _ = await worker.send(REQUEST)
        assert type(recorder.error) is ConnectFailedError
        assert not recorder.error.sent

    play(story)


def test_an_exchange_given_up_while_it_connects_is_never_written() -> None:
    async def story(worker: ScriptedWorker) -> None:
        recorder, exchange = await worker.send(NEXT)
        worker.network.last.deliver(NEXT_OK)
        exchange = worker.pool.send(worker.address, REQUEST, recorder, 4)
        worker.pool.close_idle(worker.address)
        assert exchange.sent  # it went out on the connection at rest
        exchange = worker.pool.send(worker.address, REQUEST, recorder, 4)
        assert not exchange.sent
        exchange.cancel()
        await settle()
        assert all(RAW_REQUEST not in transport.taken for transport in worker.network.transports[1:])

    play(story)


# Answers that belong to no request, or to another.


SURPLUS = {
    "doubled": OK,
    "of another request": OK.replace(b"a1", b"c3"),
    "without an id": UNNAMED_OK,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
    "no answer": b"\x00\x01 garbage\r\n\r\n",
}


@pytest.mark.parametrize("name", SURPLUS)
def test_bytes_after_a_whole_answer_end_the_connection(name: str) -> None:
    surplus = SURPLUS[name]
    for size in range(1, len(surplus) + 1):
        for at_once in (True, False):

            async def story(worker: ScriptedWorker, size: int = size, at_once: bool = at_once) -> None:
                recorder, _ = await worker.send(REQUEST)
                first = worker.network.last
                if at_once:
                    first.deliver(OK + surplus[:size])
                else:
                    first.deliver(OK)
                    first.deliver(surplus[:size])
                assert (recorder.error, recorder.body) == (None, b"ok")
                assert worker.pool.counts(worker.address).open == 0
                second = await worker.serve(NEXT, NEXT_OK)
                assert second is not first
                assert RAW_NEXT not in first.taken

            play(story)


@pytest.mark.parametrize("name", [name for name in SURPLUS if name != "interim"])
def test_a_late_surplus_answer_is_not_taken_for_the_next_one(name: str) -> None:
    surplus = SURPLUS[name]
    for split in range(len(surplus) + 1):

        async def story(worker: ScriptedWorker, split: int = split) -> None:
            first = await worker.serve(REQUEST, OK)
            recorder, _ = await worker.send(NEXT)
            first.deliver(surplus[:split])
            first.deliver(surplus[split:] + NEXT_OK)
            await settle()
            assert isinstance(recorder.error, AnswerBrokenError)
            assert recorder.error.sent
            assert (recorder.head, recorder.body) == (None, b"")
            assert first.ended

        play(story)


def test_a_connection_whose_answer_names_no_request_is_not_used_again() -> None:
    async def story(worker: ScriptedWorker) -> None:
        first = await worker.serve(REQUEST, UNNAMED_DECLINE)
        second = await worker.serve(REQUEST, UNNAMED_OK)  # a new connection: nobody else's answer is due
        third = await worker.serve(REQUEST, OK)
        assert len({first, second, third}) == 3
        assert await worker.serve(NEXT, UNNAMED_DECLINE) is third  # names nothing, but promises what it says
        assert third.ended

    play(story)


def test_an_answer_with_two_lengths_ends_its_connection() -> None:
    async def story(worker: ScriptedWorker) -> None:
        raw = SAMPLES["chunked"].raw.replace(b"Transfer-", b"Content-Length: 7\r\nTransfer-")
        assert (await worker.serve(REQUEST, raw)).ended

    play(story)


def test_a_wait_that_is_given_up_takes_the_connection_along() -> None:
    for size in range(len(OK)):

        async def story(worker: ScriptedWorker, size: int = size) -> None:
            recorder, exchange = await worker.send(REQUEST)
            first = worker.network.last
            first.deliver(OK[:size])
            exchange.cancel()
            assert first.is_closing()
            assert await worker.serve(NEXT, NEXT_OK) is not first
            assert not recorder.ended.is_set()

        play(story)


# Answers that come before the worker has read the body.


EARLY = {
    "success": OK,
    "decline": OK.replace(b"200 OK", b"503 Busy\r\nNot-Executed: 1"),
    "failure": OK.replace(b"200 OK", b"500 Failed"),
}


@pytest.mark.parametrize("name", EARLY)
def test_an_early_answer_leaves_the_body_its_place(name: str) -> None:
    for taken in range(len(RAW_REQUEST) + 1):

        async def story(worker: ScriptedWorker, taken: int = taken) -> None:
            worker.network.room = taken
            first = await worker.serve(REQUEST, EARLY[name])
            worker.network.room = None
            second = await worker.serve(NEXT, NEXT_OK) if taken < len(RAW_REQUEST) else None
            first.make_room()
            await settle()
            assert first.taken == RAW_REQUEST  # the whole body, and nothing behind it
            assert first.ended == (second is not None)
            assert second is None or second.taken == RAW_NEXT

        play(story)


def test_the_next_request_follows_a_body_that_the_worker_has_not_read_yet() -> None:
    async def story(worker: ScriptedWorker) -> None:
        first = await worker.serve(REQUEST, OK)
        assert await worker.serve(NEXT, NEXT_OK) is first
        assert first.taken == RAW_REQUEST + RAW_NEXT

    play(story)
