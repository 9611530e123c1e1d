"""Pool of channels to peers, by IP, opened on demand."""

import asyncio
import random

import msgspec

from pewterring.transport.channel import Channel, Message, MessageHandler, PeerWarnings
from pewterring.transport.line_codec import MessageCodec
from pewterring.transport.line_errors import RequestNotSentError, RequestTimeoutError
from pewterring.transport.line_server import ChannelSettings, connect

CONNECT_TIMEOUT_S = 1.0
MIN_BACKOFF_S = 0.1  # shortest backoff between attempts to connect to one peer
MAX_BACKOFF_S = 1.0
MAX_QUEUED_MESSAGES = 16  # one-way messages queued while the connection is being opened


class _Link:
    """The channel to one peer. It connects only when there is something to send."""

    def __init__(self, pool: "LinkPool", ip: str) -> None:
        self._pool = pool
        self._ip = ip
        self._channel: Channel | None = None
        self._attempt: asyncio.Task[Channel | None] | None = None
        self._queued: list[Message] = []
        self._failures = 0
        self._next_attempt_at = 0.0

    def send(self, message: Message) -> bool:
        if self._channel is not None:
            return self._channel.send(message)
        if self._attempt is None and self._remaining_backoff_s() <= 0.0:
            self._start_attempt()
        if self._attempt is None or len(self._queued) >= MAX_QUEUED_MESSAGES:
            return False
        self._queued.append(message)
        return True

    async def request(self, message: Message, timeout_s: float) -> Message:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        if self._channel is None:
            await self._open(timeout_s)
        if self._channel is None:
            raise RequestNotSentError(f"no connection with {self._ip}")
        remaining_s = deadline - loop.time()
        if remaining_s <= 0.0:
            raise RequestTimeoutError(f"no time left to ask {self._ip}")
        return await self._channel.request(message, remaining_s)

    def close(self) -> None:
        if self._attempt is not None:
            self._attempt.cancel()
        if self._channel is not None:
            self._channel.close()

    async def _open(self, timeout_s: float) -> None:
        """Waits for one connection attempt, at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._attempt is None:
                    await asyncio.sleep(max(0.0, self._remaining_backoff_s()))
                if self._channel is None:
                    await asyncio.wait([self._attempt or self._start_attempt()])
        except TimeoutError as error:
            raise RequestNotSentError(f"no connection with {self._ip} in time") from error

    def _remaining_backoff_s(self) -> float:
        return self._next_attempt_at - asyncio.get_running_loop().time()

    def _start_attempt(self) -> asyncio.Task[Channel | None]:
        self._attempt = asyncio.get_running_loop().create_task(self._connect())
        return self._attempt

    async def _connect(self) -> Channel | None:
        try:
            channel = await self._pool.open_channel(self._ip)
        except RequestNotSentError:
            self._failures += 1
            self._start_backoff()
            return None
        finally:
            self._attempt = None
            queued, self._queued = self._queued, []
        self._failures = 0
        self._channel = channel
        channel.on_close.append(self._on_channel_closed)
        if channel.closed:
            self._on_channel_closed(channel)
        for message in queued:
            channel.send(message)
        return channel

    def _on_channel_closed(self, _channel: Channel) -> None:
        self._channel = None
        self._start_backoff()

    def _start_backoff(self) -> None:
        self._next_attempt_at = asyncio.get_running_loop().time() + self._pool.backoff_s(self._failures)


class LinkPool:
    """One channel per peer, all on a common port, each opened in the background on the first send."""

    def __init__(
        self,
        codec: MessageCodec,
        port: int,
        on_message: MessageHandler | None = None,
        *,
        rng: random.Random,
        source_ip: str | None = None,
    ) -> None:
        self._settings = ChannelSettings(codec, on_message, source_ip, PeerWarnings())
        self._port = port
        self._rng = rng
        self._links: dict[str, _Link] = {}

    def send(self, ip: str, message: msgspec.Struct) -> bool:
        """Sends a one-way message; False if it was dropped. True does not guarantee delivery."""
        return self._link(ip).send(message)

    async def request(self, ip: str, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        """Sends a message and waits for its reply; raises the same errors as `Channel.request`."""
        return await self._link(ip).request(message, timeout_s)

    def drop(self, ip: str) -> None:
        """Closes and removes the channel to a peer."""
        link = self._links.pop(ip, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Closes all channels."""
        for ip in tuple(self._links):
            self.drop(ip)

    async def open_channel(self, ip: str) -> Channel:
        """Opens a separate channel to a peer. Raises `RequestNotSentError`."""
        return await connect(self._settings, ip, self._port, CONNECT_TIMEOUT_S)

    def backoff_s(self, failures: int) -> float:
        """Returns the backoff before the next attempt after this many consecutive failures, in seconds."""
        longest_backoff_s: float = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, 10))
        return max(MIN_BACKOFF_S, longest_backoff_s * self._rng.uniform(0.5, 1.0))

    def _link(self, ip: str) -> _Link:
        link = self._links.get(ip)
        if link is None:
            link = self._links[ip] = _Link(self, ip)
        return link
