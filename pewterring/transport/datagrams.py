"""UDP socket for datagrams between processes."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

IP_UDP_BYTES = 28  # IPv4 and UDP headers of a datagram
MAX_DATAGRAM_BYTES = 1400  # payload that fits one Ethernet frame together with the headers


class DatagramPort(asyncio.DatagramProtocol):
    """A UDP socket. Datagrams may be lost, duplicated or reordered; send errors are ignored as loss."""

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self._peer_port = 0

    @property
    def port(self) -> int:
        """Port to which the socket is bound."""
        assert self._transport is not None
        port: int = self._transport.get_extra_info("sockname")[1]
        return port

    async def start(self, ip: str, port: int) -> None:
        """Binds the socket; peers are expected on the same port. Raises `OSError` if binding fails."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))
        self._peer_port = port or self.port

    def send(self, ip: str, data: bytes, port: int = 0) -> None:
        """Sends one datagram, to the common port unless `port` is given."""
        if self._transport is not None and not self._transport.is_closing():
            with contextlib.suppress(OSError):
                self._transport.sendto(data, (ip, port or self._peer_port))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of `asyncio.DatagramProtocol`."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Part of `asyncio.DatagramProtocol`."""
        self._on_datagram(data, address[0])

    def error_received(self, error: Exception) -> None:
        """Part of `asyncio.DatagramProtocol`; the datagram counts as lost."""
