"""JSON-lines channels with truncated lines, duplicate replies and foreign peers, at each byte position."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from pewterring.transport.channel import GREETING_S, Channel, PeerWarnings
from pewterring.transport.line_codec import MAX_GREETING_BYTES, PROTOCOL, Greeting
from pewterring.transport.lines import (
    ChannelClosedError,
    LineServer,
    LinkPool,
    MessageCodec,
    RequestNotSentError,
    RequestTimeoutError,
)
from tests.consensus import virtual_time
from tests.transport.scripted import Ending, ScriptedTransport, settle, warnings_logged


class Question(msgspec.Struct, frozen=True, tag=True):
    """A request message."""

    text: str


class Reply(msgspec.Struct, frozen=True, tag=True):
    """The reply to `Question`."""

    text: str


CODEC = MessageCodec((Question, Reply), "one")
TIMEOUT_S = 1.0


class Side:
    """A channel whose peer is the test."""

    def __init__(self, codec: MessageCodec = CODEC, warnings: PeerWarnings | None = None) -> None:
        self.handled: list[str] = []
        self.channel = Channel(codec, self._answer, warnings)
        self.transport = ScriptedTransport(self.channel)
        self.channel.connection_made(self.transport)

    def _answer(self, _channel: Channel, message: Question) -> Reply:
        self.handled.append(message.text)
        return Reply(message.text)

    @property
    def sent(self) -> bytes:
        """The bytes sent after the greeting."""
        return self.transport.accepted.removeprefix(CODEC.greeting)

    async def start_request(self, text: str) -> "asyncio.Task[msgspec.Struct]":
        """Starts a request."""
        task = asyncio.create_task(self.channel.request(Question(text), TIMEOUT_S))
        await settle()
        return task

    def last_id(self) -> int:
        """The id of the last request."""
        return CODEC.decode_line(self.sent.splitlines()[-1]).id


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario()
        await settle()

    virtual_time.run(run())


# A reset or close at each byte position.


@pytest.mark.parametrize("ending", Ending)
def test_a_request_truncated_at_any_byte_is_not_handled(ending: Ending) -> None:
    line = CODEC.greeting + CODEC.line(Question("q"), request_id=1)
    for size in range(len(line) + 1):

        async def scenario(size: int = size) -> None:
            requester, responder = Side(), Side()
            task = await requester.start_request("q")
            assert requester.transport.accepted == line
            responder.transport.deliver(line[:size])
            responder.transport.end(ending)
            requester.transport.end(ending)
            await settle()
            error = task.exception()
            assert responder.handled == (["q"] if size == len(line) else [])
            assert isinstance(error, ChannelClosedError)
            assert not isinstance(error, RequestNotSentError)

        run_scenario(scenario)


@pytest.mark.parametrize("ending", Ending)
def test_a_reply_truncated_at_any_byte_is_not_accepted(ending: Ending) -> None:
    line = CODEC.greeting + CODEC.line(Reply("a"), reply_to=1)
    for size in range(len(line) + 1):

        async def scenario(size: int = size) -> None:
            side = Side()
            task = await side.start_request("q")
            side.transport.deliver(line[:size])
            side.transport.end(ending)
            await settle()
            if size == len(line):
                assert task.result() == Reply("a")
            else:
                assert isinstance(task.exception(), ChannelClosedError)
            with pytest.raises(RequestNotSentError):
                await side.channel.request(Question("more"), TIMEOUT_S)

        run_scenario(scenario)


# Replies to requests that are unknown or were abandoned.


async def late_reply_after_a_timeout() -> None:
    side = Side()
    side.transport.deliver(CODEC.greeting)
    first = await side.start_request("first")
    first_id = side.last_id()
    with pytest.raises(RequestTimeoutError):
        await first
    second = await side.start_request("second")
    side.transport.deliver(CODEC.line(Reply("late"), reply_to=first_id))
    side.transport.deliver(CODEC.line(Reply("late again"), reply_to=first_id))
    await settle()
    assert not second.done()
    side.transport.deliver(CODEC.line(Reply("second"), reply_to=side.last_id()))
    assert await second == Reply("second")


def test_a_late_reply_is_not_matched_to_another_request() -> None:
    run_scenario(late_reply_after_a_timeout)


def test_the_id_of_a_cancelled_request_is_not_reused() -> None:
    async def scenario() -> None:
        side = Side()
        side.transport.deliver(CODEC.greeting)
        task = await side.start_request("first")
        task.cancel()
        await settle()
        second = await side.start_request("second")
        side.transport.deliver(CODEC.line(Reply("first"), reply_to=1))
        await settle()
        assert side.last_id() == 2
        assert not second.done()
        second.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize("reply_to", [-1, 2, 2**63, 10**30])
def test_a_reply_to_an_unknown_request_is_dropped(reply_to: int) -> None:
    async def scenario() -> None:
        side = Side()
        side.transport.deliver(CODEC.greeting)
        task = await side.start_request("q")
        side.transport.deliver(CODEC.line(Reply("other"), reply_to=reply_to))
        await settle()
        assert not task.done()
        side.transport.deliver(CODEC.line(Reply("a"), reply_to=1) * 2)
        assert await task == Reply("a")

    run_scenario(scenario)


def test_request_ids_of_both_directions_are_independent() -> None:
    async def scenario() -> None:
        side = Side()
        side.transport.deliver(CODEC.greeting)
        task = await side.start_request("ours")
        side.transport.deliver(CODEC.line(Question("theirs"), request_id=1))
        await settle()
        assert side.handled == ["theirs"]
        assert not task.done()
        assert side.sent.endswith(CODEC.line(Reply("theirs"), reply_to=1))
        task.cancel()

    run_scenario(scenario)


def test_no_message_is_handled_after_the_channel_closed() -> None:
    async def scenario() -> None:
        side = Side()
        side.transport.deliver(CODEC.greeting + CODEC.line(Question("first"), request_id=1)[:-1])
        side.channel.close()
        side.channel.data_received(b"\n" + CODEC.line(Question("second"), request_id=2))
        assert side.handled == []

    run_scenario(scenario)


# Peers that do not belong to this cluster.


def greeting(protocol: int = PROTOCOL, cluster: str = "one") -> bytes:
    return msgspec.json.encode(Greeting(protocol, cluster)) + b"\n"


FOREIGN_STREAMS = {
    "another cluster": greeting(cluster="two"),
    "no cluster": greeting(cluster=""),
    "another protocol": greeting(PROTOCOL + 1),
    "no greeting": CODEC.line(Question("first"), request_id=1),
    "HTTP": b"GET /v1/Config.Get HTTP/1.1\r\nHost: h\r\n\r\n",
    "not text": b"\xff\xfe\x00\n",
    "deep": b"[" * (MAX_GREETING_BYTES - 1) + b"\n",
    "long": b" " * MAX_GREETING_BYTES + greeting(),
    "endless": b"x" * (MAX_GREETING_BYTES + 1),
}


@pytest.mark.parametrize("name", FOREIGN_STREAMS)
def test_a_foreign_peer_is_disconnected_with_one_warning(name: str) -> None:
    stream = FOREIGN_STREAMS[name] + CODEC.line(Question("taken"), request_id=1)
    splits = range(0, len(stream), max(1, len(stream) // 100))
    for split in splits:

        async def scenario(split: int = split) -> None:
            warnings = PeerWarnings()
            with warnings_logged() as lines:
                for _ in range(2):  # the second connection is not logged again
                    side = Side(warnings=warnings)
                    side.transport.deliver(stream[:split])
                    side.transport.deliver(stream[split:])
                    assert side.transport.ended
                    assert side.channel.closed
                    assert side.handled == []
                    assert side.sent == b""
            assert len(lines) == 1
            assert "192.0.2.1" in lines[0]

        run_scenario(scenario)


@pytest.mark.parametrize("received", [b"", greeting()[:-1]], ids=["nothing", "half a greeting"])
def test_a_peer_without_a_greeting_is_disconnected_with_one_warning(
    received: bytes,
) -> None:
    async def scenario() -> None:
        warnings = PeerWarnings()
        with warnings_logged() as lines:
            for _ in range(2):
                side = Side(warnings=warnings)
                task = asyncio.create_task(side.channel.request(Question("q"), 2 * GREETING_S))
                side.transport.deliver(received)
                await asyncio.sleep(GREETING_S - 0.1)
                assert not side.channel.closed
                await asyncio.sleep(0.2)
                assert side.transport.ended
                assert side.channel.closed
                assert isinstance(task.exception(), ChannelClosedError)
        assert len(lines) == 1
        assert "192.0.2.1" in lines[0]
        assert "no greeting" in lines[0]

    run_scenario(scenario)


def test_a_peer_may_be_idle_after_its_greeting() -> None:
    async def scenario() -> None:
        side = Side()
        await asyncio.sleep(GREETING_S - 0.1)
        side.transport.deliver(greeting())
        await asyncio.sleep(2 * GREETING_S)
        assert not side.channel.closed
        assert not side.transport.ended
        side.transport.deliver(CODEC.line(Question("q"), request_id=1))
        assert side.handled == ["q"]

    run_scenario(scenario)


def test_a_connection_that_ends_before_its_greeting_logs_no_warning() -> None:
    async def scenario() -> None:
        with warnings_logged() as lines:
            side = Side()
            side.transport.end(Ending.RESET)
            await asyncio.sleep(2 * GREETING_S)
        assert side.channel.closed
        assert lines == []

    run_scenario(scenario)


def test_a_reply_of_a_foreign_peer_is_not_accepted() -> None:
    async def scenario() -> None:
        side = Side()
        task = await side.start_request("q")
        side.transport.deliver(greeting(cluster="two") + CODEC.line(Reply("a"), reply_to=1))
        await settle()
        assert isinstance(task.exception(), ChannelClosedError)

    run_scenario(scenario)


def test_a_greeting_may_arrive_in_pieces() -> None:
    line = greeting() + CODEC.line(Question("q"), request_id=1)
    for split in range(len(line)):

        async def scenario(split: int = split) -> None:
            side = Side()
            side.transport.deliver(line[:split])
            side.transport.deliver(line[split:])
            assert side.handled == ["q"]

        run_scenario(scenario)


def test_requests_of_a_pool_to_a_foreign_peer_fail() -> None:
    async def request_foreign_server() -> None:
        server = LineServer(MessageCodec((Question, Reply), "two"), lambda _channel, _message: Reply("taken"))
        await server.start("127.0.0.1", 0)
        pool = LinkPool(CODEC, server.port, rng=random.Random(1))
        with pytest.raises(ChannelClosedError):
            await pool.request("127.0.0.1", Question("q"), 10.0)
        pool.close()
        await server.stop()

    asyncio.run(request_foreign_server())
