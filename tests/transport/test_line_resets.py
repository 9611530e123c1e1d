"""Channels of JSON lines when connections end, answers repeat and strangers call, at each byte."""

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


class Ask(msgspec.Struct, frozen=True, tag=True):
    """A question."""

    text: str


class Told(msgspec.Struct, frozen=True, tag=True):
    """The answer to `Ask`."""

    text: str


CODEC = MessageCodec((Ask, Told), "one")
TIME_S = 1.0


class Side:
    """A channel whose other side is the test."""

    def __init__(self, codec: MessageCodec = CODEC, warnings: PeerWarnings | None = None) -> None:
        self.handled: list[str] = []
        self.channel = Channel(codec, self._answer, warnings)
        self.transport = ScriptedTransport(self.channel)
        self.channel.connection_made(self.transport)

    def _answer(self, _channel: Channel, message: Ask) -> Told:
        self.handled.append(message.text)
        return Told(message.text)

    @property
    def sent(self) -> bytes:
        """What it has sent behind its greeting."""
        return self.transport.taken.removeprefix(CODEC.greeting)

    async def ask(self, text: str) -> "asyncio.Task[msgspec.Struct]":
        """Begins a request."""
        task = asyncio.create_task(self.channel.request(Ask(text), TIME_S))
        await settle()
        return task

    def last_id(self) -> int:
        """The id of the last request."""
        return CODEC.decode_line(self.sent.splitlines()[-1]).id


def play(story: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await story()
        await settle()

    virtual_time.run(run())


# A reset or a close at each byte.


@pytest.mark.parametrize("ending", Ending)
def test_a_request_cut_at_any_byte_is_handled_whole_or_not_at_all(ending: Ending) -> None:
    line = CODEC.greeting + CODEC.line(Ask("q"), request_id=1)
    for cut in range(len(line) + 1):

        async def story(cut: int = cut) -> None:
            asking, asked = Side(), Side()
            task = await asking.ask("q")
            assert asking.transport.taken == line
            asked.transport.deliver(line[:cut])
            asked.transport.end(ending)
            asking.transport.end(ending)
            await settle()
            error = task.exception()
            assert asked.handled == (["q"] if cut == len(line) else [])
            assert isinstance(error, ChannelClosedError)
            assert not isinstance(error, RequestNotSentError)

        play(story)


@pytest.mark.parametrize("ending", Ending)
def test_an_answer_cut_at_any_byte_is_taken_whole_or_not_at_all(ending: Ending) -> None:
    line = CODEC.greeting + CODEC.line(Told("a"), reply_to=1)
    for cut in range(len(line) + 1):

        async def story(cut: int = cut) -> None:
            side = Side()
            task = await side.ask("q")
            side.transport.deliver(line[:cut])
            side.transport.end(ending)
            await settle()
            if cut == len(line):
                assert task.result() == Told("a")
            else:
                assert isinstance(task.exception(), ChannelClosedError)
            with pytest.raises(RequestNotSentError):
                await side.channel.request(Ask("more"), TIME_S)

        play(story)


# Answers that nobody waits for, or not any more.


async def late_answer_after_a_wait_was_given_up() -> None:
    side = Side()
    side.transport.deliver(CODEC.greeting)
    first = await side.ask("first")
    first_id = side.last_id()
    with pytest.raises(RequestTimeoutError):
        await first
    second = await side.ask("second")
    side.transport.deliver(CODEC.line(Told("late"), reply_to=first_id))
    side.transport.deliver(CODEC.line(Told("late again"), reply_to=first_id))
    await settle()
    assert not second.done()
    side.transport.deliver(CODEC.line(Told("second"), reply_to=side.last_id()))
    assert await second == Told("second")


def test_a_late_answer_meets_no_other_request() -> None:
    play(late_answer_after_a_wait_was_given_up)


def test_a_cancelled_request_leaves_its_id_unused() -> None:
    async def story() -> None:
        side = Side()
        side.transport.deliver(CODEC.greeting)
        task = await side.ask("first")
        task.cancel()
        await settle()
        second = await side.ask("second")
        side.transport.deliver(CODEC.line(Told("first"), reply_to=1))
        await settle()
        assert side.last_id() == 2
        assert not second.done()
        second.cancel()

    play(story)


@pytest.mark.parametrize("reply_to", [-1, 2, 2**63, 10**30])
def test_an_answer_to_nothing_is_dropped(reply_to: int) -> None:
    async def story() -> None:
        side = Side()
        side.transport.deliver(CODEC.greeting)
        task = await side.ask("q")
        side.transport.deliver(CODEC.line(Told("other"), reply_to=reply_to))
        await settle()
        assert not task.done()
        side.transport.deliver(CODEC.line(Told("a"), reply_to=1) * 2)
        assert await task == Told("a")

    play(story)


def test_ids_of_both_directions_are_apart() -> None:
    async def story() -> None:
        side = Side()
        side.transport.deliver(CODEC.greeting)
        task = await side.ask("ours")
        side.transport.deliver(CODEC.line(Ask("theirs"), request_id=1))
        await settle()
        assert side.handled == ["theirs"]
        assert not task.done()
        assert side.sent.endswith(CODEC.line(Told("theirs"), reply_to=1))
        task.cancel()

    play(story)


def test_nothing_is_taken_after_the_end() -> None:
    async def story() -> None:
        side = Side()
        side.transport.deliver(CODEC.greeting + CODEC.line(Ask("first"), request_id=1)[:-1])
        side.channel.close()
        side.channel.data_received(b"\n" + CODEC.line(Ask("second"), request_id=2))
        assert side.handled == []

    play(story)


# Peers that are not of this cluster.


def greeting(protocol: int = PROTOCOL, cluster: str = "one") -> bytes:
    return msgspec.json.encode(Greeting(protocol, cluster)) + b"\n"


STRANGERS = {
    "another cluster": greeting(cluster="two"),
    "no cluster": greeting(cluster=""),
    "another protocol": greeting(PROTOCOL + 1),
    "no greeting": CODEC.line(Ask("first"), request_id=1),
    "HTTP": b"GET /v1/Config.Get HTTP/1.1\r\nHost: h\r\n\r\n",
    "not text": b"\xff\xfe\x00\n",
    "deep": b"[" * (MAX_GREETING_BYTES - 1) + b"\n",
    "long": b" " * MAX_GREETING_BYTES + greeting(),
    "endless": b"x" * (MAX_GREETING_BYTES + 1),
}


@pytest.mark.parametrize("name", STRANGERS)
def test_a_stranger_is_cut_off_with_one_line_and_nothing_taken(name: str) -> None:
    stream = STRANGERS[name] + CODEC.line(Ask("taken"), request_id=1)
    splits = range(0, len(stream), max(1, len(stream) // 100))
    for split in splits:

        async def story(split: int = split) -> None:
            seen = PeerWarnings()
            with warnings_logged() as lines:
                for _ in range(2):  # it calls again: that is not logged once more
                    side = Side(warnings=seen)
                    side.transport.deliver(stream[:split])
                    side.transport.deliver(stream[split:])
                    assert side.transport.ended
                    assert side.channel.closed
                    assert side.handled == []
                    assert side.sent == b""
            assert len(lines) == 1
            assert "192.0.2.1" in lines[0]

        play(story)


@pytest.mark.parametrize("said", [b"", greeting()[:-1]], ids=["nothing", "half a greeting"])
def test_a_peer_that_does_not_greet_is_cut_off_in_time_with_one_line(said: bytes) -> None:
    async def story() -> None:
        seen = PeerWarnings()
        with warnings_logged() as lines:
            for _ in range(2):
                side = Side(warnings=seen)
                task = asyncio.create_task(side.channel.request(Ask("q"), 2 * GREETING_S))
                side.transport.deliver(said)
                await asyncio.sleep(GREETING_S - 0.1)
                assert not side.channel.closed
                await asyncio.sleep(0.2)
                assert side.transport.ended
                assert side.channel.closed
                assert isinstance(task.exception(), ChannelClosedError)
        assert len(lines) == 1
        assert "192.0.2.1" in lines[0]
        assert "no greeting" in lines[0]

    play(story)


def test_a_peer_that_has_greeted_may_be_silent() -> None:
    async def story() -> None:
        side = Side()
        await asyncio.sleep(GREETING_S - 0.1)
        side.transport.deliver(greeting())
        await asyncio.sleep(2 * GREETING_S)
        assert not side.channel.closed
        assert not side.transport.ended
        side.transport.deliver(CODEC.line(Ask("q"), request_id=1))
        assert side.handled == ["q"]

    play(story)


def test_a_connection_that_ends_before_its_greeting_is_not_warned_of() -> None:
    async def story() -> None:
        with warnings_logged() as lines:
            side = Side()
            side.transport.end(Ending.RESET)
            await asyncio.sleep(2 * GREETING_S)
        assert side.channel.closed
        assert lines == []

    play(story)


def test_a_stranger_answers_nothing() -> None:
    async def story() -> None:
        side = Side()
        task = await side.ask("q")
        side.transport.deliver(greeting(cluster="two") + CODEC.line(Told("a"), reply_to=1))
        await settle()
        assert isinstance(task.exception(), ChannelClosedError)

    play(story)


def test_a_greeting_may_come_in_pieces() -> None:
    line = greeting() + CODEC.line(Ask("q"), request_id=1)
    for split in range(len(line)):

        async def story(split: int = split) -> None:
            side = Side()
            side.transport.deliver(line[:split])
            side.transport.deliver(line[split:])
            assert side.handled == ["q"]

        play(story)


def test_a_pool_has_requests_of_a_stranger_fail() -> None:
    async def play_it() -> None:
        stranger = LineServer(MessageCodec((Ask, Told), "two"), lambda _channel, _message: Told("taken"))
        await stranger.start("127.0.0.1", 0)
        pool = LinkPool(CODEC, stranger.port, rng=random.Random(1))
        with pytest.raises(ChannelClosedError):
            await pool.request("127.0.0.1", Ask("q"), 10.0)
        pool.close()
        await stranger.stop()

    asyncio.run(play_it())
