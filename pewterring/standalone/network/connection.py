"""Base class of all TCP connections: a BufferedProtocol whose instances share one receive buffer."""

import asyncio
import select
from typing import NamedTuple, cast

RECEIVED = bytearray(64 * 1024)  # safe to share: one event loop, and each read is consumed before the next
VIEW = memoryview(RECEIVED)


class Address(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def read_address(text: str) -> Address:
    """Parses HOST:PORT. Raises ValueError for any other form."""
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return Address(host, int(port))


class Connection(asyncio.BufferedProtocol):
    """A TCP connection. Subclasses implement `received`, which must not keep a reference to its data."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.unsent = False  # whether written bytes are still buffered in the transport
        self.made = self.up = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.up = cast(asyncio.Transport, transport), True
        self.made = True
        self.transport.set_write_buffer_limits(high=0)  # so that pause_writing is called for any unsent byte

    def connection_lost(self, exc: Exception | None) -> None:
        self.up = False

    def unread(self) -> bool:
        """Whether the socket has data or an end of stream that the event loop has not read yet."""
        return self.polled(select.POLLIN)

    def hung_up(self) -> bool:
        """Whether the other side has closed or reset the connection, even if that is not read yet."""
        return self.polled(select.POLLRDHUP)

    def polled(self, events: int) -> bool:
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def get_buffer(self, sizehint: int) -> memoryview:
        return VIEW

    def buffer_updated(self, nbytes: int) -> None:
        self.received(VIEW[:nbytes])

    def received(self, data: memoryview) -> None:
        raise NotImplementedError
