"""JSON lines over loopback connections."""

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from pewterring.transport import channel as channel_module
from pewterring.transport.datagrams import DatagramPort
from pewterring.transport.lines import (
    Channel,
    ChannelClosedError,
    ChannelSettings,
    LineServer,
    LinkPool,
    MessageCodec,
    RequestFailedError,
    RequestNotSentError,
    RequestTimeoutError,
    UndecodableLineError,
    connect,
)

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 10.0  # for waits that should end much earlier


class Say(msgspec.Struct, frozen=True, tag=True):
    """A request whose text selects how it is handled."""

    text: str


class Reply(msgspec.Struct, frozen=True, tag=True):
    """The reply to `Say`."""

    text: str


class Unlisted(msgspec.Struct, frozen=True, tag=True):
    """A message type that is not part of the codec."""


CODEC = MessageCodec((Say, Reply))


class Peer:
    """The server side, which handles each request according to its text."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[Channel, Say]] = asyncio.Queue()
        self.release = asyncio.Event()
        self.server = LineServer(CODEC, self.on_message)

    def on_message(self, channel: Channel, message: Say) -> Reply | Awaitable[Reply | None] | None:
        self.received.put_nowait((channel, message))
        if message.text == "error":
            raise ValueError("handler's error")
        if message.text == "ignore":
            return None
        if message.text.startswith("later"):
            return self._later(message)
        return Reply(message.text)

    async def _later(self, message: Say) -> Reply:
        if message.text == "later error":
            raise ValueError("handler's error")
        await self.release.wait()
        return Reply(message.text)

    async def text(self) -> str:
        return (await self.received.get())[1].text


def run(scenario: Callable[[Peer, Channel], Awaitable[None]]) -> None:
    """Runs a scenario with a server and one channel to it."""

    async def run_scenario() -> None:
        peer = Peer()
        await peer.server.start(LOOPBACK, 0)
        channel = await connect(ChannelSettings(CODEC), LOOPBACK, peer.server.port, TIMEOUT_S)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(peer, channel)
        finally:
            channel.close()
            await peer.server.stop()

    asyncio.run(run_scenario())


def test_a_codec_decodes_its_own_encoding() -> None:
    line = CODEC.line(Say("ü\n"), request_id=3)
    assert line.endswith(b"\n")
    assert line.count(b"\n") == 1
    envelope = CODEC.decode_line(line)
    assert (envelope.id, envelope.reply_to) == (3, 0)
    assert CODEC.decode(envelope.body) == Say("ü\n")


@pytest.mark.parametrize(
    "body", [b"", b"{}", b"[", b'{"type":"Unlisted"}', b'{"type":"Say","text":7}', b"\xff"]
)
def test_a_codec_rejects_invalid_messages(body: bytes) -> None:
    with pytest.raises(UndecodableLineError):
        CODEC.decode(body)


def test_one_way_messages_arrive_in_order() -> None:
    async def scenario(peer: Peer, channel: Channel) -> None:
        for number in range(1000):
            assert channel.send(Say(str(number)))
        assert [await peer.text() for _ in range(1000)] == [str(number) for number in range(1000)]

    run(scenario)


def test_each_request_gets_its_own_reply() -> None:
    async def scenario(peer: Peer, channel: Channel) -> None:
        late = asyncio.ensure_future(channel.request(Say("later"), TIMEOUT_S))
        answers = await asyncio.gather(*(channel.request(Say(str(n)), TIMEOUT_S) for n in range(50)))
        assert answers == [Reply(str(n)) for n in range(50)]
        assert not late.done()
        peer.release.set()
        assert await late == Reply("later")

    run(scenario)


def test_a_long_line_arrives_completely() -> None:
    text = "x" * 6_000_000

    async def scenario(_peer: Peer, channel: Channel) -> None:
        assert await channel.request(Say(text), TIMEOUT_S) == Reply(text)

    run(scenario)


@pytest.mark.parametrize("text", ["error", "later error"])
def test_an_error_in_the_handler_fails_only_its_request(text: str) -> None:
    async def scenario(_peer: Peer, channel: Channel) -> None:
        with pytest.raises(RequestFailedError):
            await channel.request(Say(text), TIMEOUT_S)
        assert await channel.request(Say("next"), TIMEOUT_S) == Reply("next")

    run(scenario)


def test_a_request_times_out_and_its_late_reply_is_dropped() -> None:
    async def scenario(peer: Peer, channel: Channel) -> None:
        with pytest.raises(RequestTimeoutError):
            await channel.request(Say("later"), 0.0)
        peer.release.set()
        assert await channel.request(Say("next"), TIMEOUT_S) == Reply("next")

    run(scenario)


def test_pending_requests_fail_when_the_peer_closes() -> None:
    async def scenario(peer: Peer, channel: Channel) -> None:
        closed = asyncio.Event()
        channel.on_close.append(lambda _: closed.set())
        request = asyncio.ensure_future(channel.request(Say("later"), TIMEOUT_S))
        server_side, _ = await peer.received.get()
        server_side.close()
        with pytest.raises(ChannelClosedError) as caught:
            await request
        assert not isinstance(caught.value, RequestNotSentError)
        await closed.wait()
        assert channel.closed
        assert not channel.send(Say("more"))
        with pytest.raises(RequestNotSentError):
            await channel.request(Say("more"), TIMEOUT_S)

    run(scenario)


def test_messages_are_dropped_past_the_backlog_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channel_module, "MAX_BACKLOG_BYTES", 1_000_000)

    async def scenario(peer: Peer, channel: Channel) -> None:
        text = "x" * 100_000
        sent = 0
        while channel.send(Say(text)):  # nothing is read meanwhile: this task does not yield
            sent += 1
        with pytest.raises(RequestNotSentError):
            await channel.request(Say("backlog full"), TIMEOUT_S)
        for _ in range(sent):
            assert await peer.text() == text
        assert await channel.request(Say("again"), TIMEOUT_S) == Reply("again")

    run(scenario)


@pytest.mark.parametrize("line", [b"rubbish\n", b'{"id":1,"body":{"type":"Unlisted"}}\n', b"x" * 5000])
def test_an_invalid_line_closes_the_channel(line: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channel_module, "MAX_LINE_BYTES", 4000)

    async def scenario(peer: Peer, channel: Channel) -> None:
        closed = asyncio.Event()
        channel.on_close.append(lambda _: closed.set())
        channel.send_line(line)
        await closed.wait()
        assert peer.received.empty()

    run(scenario)


@pytest.mark.parametrize("seed", range(20))
def test_lines_are_split_correctly_for_any_read_sizes(seed: int) -> None:
    rng = random.Random(seed)
    texts = ["x" * rng.randrange(60) for _ in range(40)]
    stream = CODEC.greeting + b"".join(CODEC.line(Say(text)) for text in texts)
    received: list[str] = []
    channel = Channel(CODEC, lambda _, message: received.append(message.text))
    while stream:
        size = rng.randrange(1, 100)
        channel.data_received(stream[:size])
        stream = stream[size:]
    assert received == texts


def test_a_connection_that_is_refused_raises_request_not_sent() -> None:
    async def run_scenario() -> None:
        with socket.socket() as unused:  # bound, not listening
            unused.bind((LOOPBACK, 0))
            with pytest.raises(RequestNotSentError):
                await connect(ChannelSettings(CODEC), LOOPBACK, unused.getsockname()[1], TIMEOUT_S)

    asyncio.run(run_scenario())


def test_a_pool_connects_on_demand_and_queues_the_first_messages() -> None:
    async def scenario(peer: Peer, _: Channel) -> None:
        pool = LinkPool(CODEC, peer.server.port, rng=random.Random(1))
        assert pool.send(LOOPBACK, Say("first"))
        assert pool.send(LOOPBACK, Say("second"))
        assert [await peer.text(), await peer.text()] == ["first", "second"]
        assert await pool.request(LOOPBACK, Say("third"), TIMEOUT_S) == Reply("third")
        assert len(peer.server.channels) == 2
        pool.close()

    run(scenario)


def test_a_pool_answers_messages_from_the_peer() -> None:
    async def scenario(peer: Peer, _: Channel) -> None:
        pool = LinkPool(CODEC, peer.server.port, lambda _, message: Reply(message.text), rng=random.Random(1))
        pool.send(LOOPBACK, Say("hello"))
        server_side, _say = await peer.received.get()
        assert await server_side.request(Say("and you"), TIMEOUT_S) == Reply("and you")
        pool.close()

    run(scenario)


def test_a_pool_reconnects_after_a_lost_connection() -> None:
    async def scenario(peer: Peer, _: Channel) -> None:
        pool = LinkPool(CODEC, peer.server.port, rng=random.Random(1))
        request = asyncio.ensure_future(pool.request(LOOPBACK, Say("later"), TIMEOUT_S))
        server_side, _say = await peer.received.get()
        server_side.close()
        with pytest.raises(ChannelClosedError):
            await request
        assert await pool.request(LOOPBACK, Say("again"), TIMEOUT_S) == Reply("again")
        pool.close()

    run(scenario)


def test_a_pool_without_a_peer_fails_requests_and_drops_messages() -> None:
    async def run_scenario() -> None:
        with socket.socket() as unused:
            unused.bind((LOOPBACK, 0))
            pool = LinkPool(CODEC, unused.getsockname()[1], rng=random.Random(1))
            with pytest.raises(RequestNotSentError):
                await pool.request(LOOPBACK, Say("nobody"), TIMEOUT_S)
            assert not pool.send(LOOPBACK, Say("during the backoff after a failure"))
            pool.close()

    asyncio.run(run_scenario())


def test_the_backoff_grows_to_its_limit() -> None:
    pool = LinkPool(CODEC, 1, rng=random.Random(1))
    backoffs = [pool.backoff_s(failures) for failures in range(20)]
    assert all(0.1 <= backoff <= 1.0 for backoff in backoffs)
    assert min(backoffs[5:]) >= 0.5


def test_datagrams_arrive_with_the_sender_address() -> None:
    async def run_scenario() -> None:
        received: asyncio.Queue[Any] = asyncio.Queue()
        one = DatagramPort(lambda data, ip: received.put_nowait((data, ip)))
        other = DatagramPort(lambda _data, _ip: None)
        await one.start(LOOPBACK, 0)
        await other.start(LOOPBACK, 0)
        other.send(LOOPBACK, b"hello", one.port)
        async with asyncio.timeout(TIMEOUT_S):
            assert await received.get() == (b"hello", LOOPBACK)
        one.close()
        other.close()
        other.send(LOOPBACK, b"dropped", 1)

    asyncio.run(run_scenario())
