"""Datagrams between gateways. A peer is identified by its address; datagrams of other senders are dropped."""

import asyncio
from collections.abc import Callable, Sequence
from typing import cast

from pewterring.standalone.network.connection import Address

MAX_DATAGRAM = 256  # bytes, the limit of the peer protocol


class Peers(asyncio.DatagramProtocol):
    """Calls `heard` with the number of the sending peer and the bytes of each datagram."""

    transport: asyncio.DatagramTransport | None = None

    def __init__(
        self, me: int, peers: Sequence[Address], everyone: Address | None, heard: Callable[[int, bytes], None]
    ) -> None:
        self.me, self.heard = me, heard
        self.renew(peers, everyone)

    def renew(self, peers: Sequence[Address], everyone: Address | None) -> None:
        """Replaces the peer addresses, indexed by peer number, and the address that reaches all peers."""
        self.peers, self.everyone = peers, everyone
        self.numbers = {address: n for n, address in enumerate(peers) if n != self.me}

    async def open(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        number = self.numbers.get(Address(addr[0], addr[1]))
        if number is not None and len(data) <= MAX_DATAGRAM:
            self.heard(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors: a peer that is down refuses datagrams, and any datagram may be lost."""

    def tell(self, peer: int | None, data: bytes) -> None:
        """Sends to one peer, or with None to all. Drops data that is too long or for an unknown peer."""
        if self.transport is None or len(data) > MAX_DATAGRAM:
            return
        if peer is not None:
            if 0 <= peer < len(self.peers) and peer != self.me:
                self.transport.sendto(data, self.peers[peer])
        elif self.everyone is not None:
            self.transport.sendto(data, self.everyone)
        else:
            for address in self.numbers:
                self.transport.sendto(data, address)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
