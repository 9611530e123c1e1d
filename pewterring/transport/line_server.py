"""Server and client side of connections that carry JSON lines."""

import asyncio
import socket
from dataclasses import dataclass

from pewterring.transport.channel import Channel, MessageHandler, PeerWarnings, set_liveness_options
from pewterring.transport.line_codec import MessageCodec
from pewterring.transport.line_errors import RequestNotSentError

ACCEPT_QUEUE = 1024  # listen backlog: connections waiting to be accepted


class LineServer:
    """Listens on one address; all accepted channels share one message handler."""

    def __init__(self, codec: MessageCodec, on_message: MessageHandler) -> None:
        self.channels: set[Channel] = set()
        self._codec = codec
        self._on_message = on_message
        self._warnings = PeerWarnings()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self, ip: str, port: int) -> None:
        """Starts listening. Raises `OSError` if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._new_channel, ip, port, backlog=ACCEPT_QUEUE)

    async def stop(self) -> None:
        """Stops listening, closes all channels and cancels their handlers."""
        if self._server is not None:
            self._server.close()
        for channel in tuple(self.channels):
            channel.close()
            channel.cancel_handlers()
        if self._server is not None:
            await self._server.wait_closed()

    def _new_channel(self) -> Channel:
        channel = Channel(self._codec, self._on_message, self._warnings)
        self.channels.add(channel)
        channel.on_close.append(self.channels.discard)
        return channel


@dataclass(frozen=True, slots=True)
class ChannelSettings:
    """Settings of the connecting side of a channel."""

    codec: MessageCodec
    on_message: MessageHandler | None = None  # handles messages that are not replies
    source_ip: str | None = None  # local address to bind
    warnings: PeerWarnings | None = None  # shared by channels, so that each peer is warned about once


async def connect(settings: ChannelSettings, ip: str, port: int, timeout_s: float) -> Channel:
    """Opens a channel.

    Raises:
        RequestNotSentError: No connection was established within `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        set_liveness_options(sock)
        if settings.source_ip is not None:
            sock.bind((settings.source_ip, 0))
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, (ip, port))
            _, channel = await loop.create_connection(lambda: _new_channel(settings), sock=sock)
    except OSError as error:  # TimeoutError is a subclass of OSError
        sock.close()
        raise RequestNotSentError(f"cannot connect to {ip}:{port}: {error or 'no answer'}") from error
    except BaseException:
        sock.close()
        raise
    return channel


def _new_channel(settings: ChannelSettings) -> Channel:
    return Channel(settings.codec, settings.on_message, settings.warnings)
