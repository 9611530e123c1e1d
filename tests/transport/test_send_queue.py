"""Long lines leave in pieces and in order, and are not copied for connections that do not read."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import pytest

from pewterring.transport.lines import Channel, ChannelSettings, connect
from pewterring.transport.send_queue import LONG_LINE_BYTES, PIECE_BYTES, SendQueue
from tests.transport.test_lines import CODEC, LOOPBACK, TIMEOUT_S, Peer, Reply, Say, run

BUFFER_BYTES = 64 * 1024  # from which on the transport below asks for a pause


class Transport:
    """Takes all that is written, and says when it has too much."""

    def __init__(self) -> None:
        self.buffered = 0
        self.taken = b""
        self.turns: list[Callable[[], None]] = []
        self.queue = SendQueue(self.write, self.turns.append)

    def write(self, data: bytes | memoryview) -> None:
        self.taken += bytes(data)
        self.buffered += len(data)
        if self.buffered > BUFFER_BYTES:
            self.queue.pause()

    def take_turn(self) -> None:
        turns, self.turns[:] = tuple(self.turns), ()
        for turn in turns:
            turn()

    def drain(self) -> None:
        self.buffered = 0
        self.queue.resume()


@pytest.mark.parametrize("seed", range(10))
def test_lines_of_any_length_arrive_complete_and_in_order(seed: int) -> None:
    rng = random.Random(seed)
    transport = Transport()
    sent = b""
    for number in range(20):
        lengths = [1, 100, PIECE_BYTES, LONG_LINE_BYTES, LONG_LINE_BYTES + 1, 3 * LONG_LINE_BYTES]
        line = bytes([number]) * rng.choice(lengths)
        sent += line
        transport.queue.send(line)
        assert len(transport.taken) + transport.queue.waiting_bytes == len(sent)
        if rng.random() < 0.5:
            transport.drain()
        if rng.random() < 0.5:
            transport.take_turn()
    while transport.queue.waiting_bytes:
        transport.drain()
        transport.take_turn()
    assert transport.taken == sent


def test_a_long_line_takes_one_piece_of_each_turn() -> None:
    """Guards against a leader that sends a configuration to 195 nodes in one turn, past its lease."""
    transport = Transport()
    transport.queue.send(bytes(20 * PIECE_BYTES))
    for turn in range(1, 20):
        assert len(transport.taken) == turn * PIECE_BYTES
        transport.drain()  # between two turns of the loop the transport may ask for more
        assert len(transport.turns) == 1
        transport.take_turn()
    assert transport.queue.waiting_bytes == 0


def test_a_transport_that_takes_no_more_gets_one_piece_of_a_long_line() -> None:
    transport = Transport()
    transport.queue.send(bytes(20 * PIECE_BYTES))
    assert len(transport.taken) == PIECE_BYTES
    transport.queue.clear()
    transport.drain()
    assert len(transport.taken) == PIECE_BYTES


def test_the_line_that_is_being_sent_is_no_backlog() -> None:
    """Guards against sessions that end when other lines come while a long one takes its turns."""
    transport = Transport()
    transport.queue.send(bytes(20 * PIECE_BYTES))
    assert transport.queue.backlog_bytes == 0
    transport.queue.send(b"short")
    transport.queue.send(bytes(9 * PIECE_BYTES))
    assert transport.queue.backlog_bytes == len(b"short") + 9 * PIECE_BYTES
    while transport.queue.waiting_bytes > 8 * PIECE_BYTES:
        transport.drain()
        transport.take_turn()
    assert transport.queue.backlog_bytes == 0


def test_all_that_waits_is_passed_on_before_the_transport_closes() -> None:
    transport = Transport()
    transport.queue.send(bytes(5 * PIECE_BYTES))
    transport.queue.flush()
    assert len(transport.taken) == 5 * PIECE_BYTES
    assert transport.queue.waiting_bytes == 0


def test_a_long_line_to_a_peer_that_does_not_read_is_not_copied_whole() -> None:
    """Guards against a configuration that stands in memory once for each session of the feed."""
    line = CODEC.line(Say("x" * 4_000_000))

    async def scenario() -> None:
        async def ignore(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]  # a socket's transport
            with contextlib.suppress(asyncio.CancelledError):
                await ended.wait()
            writer.close()

        ended = asyncio.Event()
        server = await asyncio.start_server(ignore, LOOPBACK, 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        channel = await connect(ChannelSettings(CODEC), LOOPBACK, port, TIMEOUT_S)
        for _ in range(3):
            assert channel.send_line(line)
        assert not channel.send_line(line), "the second of the lines waits, and the third is behind it"
        transport = channel._transport
        assert transport is not None
        assert transport.get_write_buffer_size() <= 2 * PIECE_BYTES
        channel.abort()
        ended.set()
        server.close()

    asyncio.run(scenario())


def test_long_lines_and_short_ones_arrive_in_order_on_a_connection() -> None:
    async def scenario(peer: Peer, channel: Channel) -> None:
        texts = ["a", "b" * 1_000_000, "c", "d" * 2_000_000, "e"]
        for text in texts:
            assert channel.send(Say(text))
        assert [await peer.text() for _ in texts] == texts
        long = "f" * 3_000_000
        assert await channel.request(Say(long), TIMEOUT_S) == Reply(long)

    run(scenario)


def test_a_long_line_is_sent_completely_when_the_channel_is_closed_behind_it() -> None:
    async def scenario(peer: Peer, channel: Channel) -> None:
        assert await channel.request(Say("a"), TIMEOUT_S) == Reply("a")  # nothing is left unread
        text = "x" * 3_000_000
        channel.send(Say(text))
        channel.close()
        assert [await peer.text() for _ in range(2)] == ["a", text]

    run(scenario)
