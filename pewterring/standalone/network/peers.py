"""Datagrams between gatekeepers. The sender's address tells who speaks; strangers are dropped."""

import asyncio
from collections.abc import Callable, Sequence
from typing import cast

from pewterring.standalone.network.connection import Address

MAX_DATAGRAM = 256  # the protocol's bound


class Peers(asyncio.DatagramProtocol):
    """`heard` gets the number of the sender and its bytes."""

    transport: asyncio.DatagramTransport | None = None

    def __init__(
        self, me: int, peers: Sequence[Address], everyone: Address | None, heard: Callable[[int, bytes], None]
    ) -> None:
        self.me, self.heard = me, heard
        self.renew(peers, everyone)

    def renew(self, peers: Sequence[Address], everyone: Address | None) -> None:
        """Who the peers are from now on, by number."""
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
        """A peer that is down refuses datagrams; they may get lost in any case."""

    def tell(self, peer: int | None, data: bytes) -> None:
        """To one peer, or to every one with None. What is too long, or for nobody, is not sent."""
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
