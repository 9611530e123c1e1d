"""Connections between simulated machines: ordered bytes that are delayed, held up by cuts, reset or lost.

As with TCP, what a cut holds up arrives after the cut, unless one end gives the connection up before. A
program that ends resets its connections; a machine without power says nothing.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from pewterring.transport.channel import USER_TIMEOUT_MS, Channel, MessageHandler, PeerWarnings
from pewterring.transport.line_codec import MessageCodec
from pewterring.transport.line_errors import RequestNotSent
from tests.simulation.virtual_loop import Process, VirtualLoop

USER_TIMEOUT_S = USER_TIMEOUT_MS / 1000
OPEN_RETRY_S = 1.0  # before a lost opening packet is sent again
RETRANSMIT_S = 0.8  # at most, from the end of a cut to the next try
KEEPALIVE_S = 5.0  # at most, until an idle end learns that the other is gone
DELAY_S = (0.0005, 0.004)
SLOW_DELAY_S = (0.02, 0.15)

OUTSIDE = "outside"  # the name under which operators and workers send


class _Socket:
    """Takes options and forgets them."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Part of a socket."""


class Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: "Network", owner: Process, local_ip: str, remote_ip: str) -> None:
        self.network = network
        self.owner = owner
        self.local_ip = local_ip
        self.remote_ip = remote_ip
        self.protocol: Channel | None = None
        self.peer: Transport
        self.is_open = True
        self.held: list[bytes] = []  # behind a cut
        self.held_bytes = 0
        self.watched = False  # for the user time-out
        self.last_arrival = 0.0

    def write(self, data: Any) -> None:
        content = bytes(data)
        self.owner.does(lambda: self.network.transmit(self, content))

    def get_write_buffer_size(self) -> int:
        return self.held_bytes

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"peername": (self.remote_ip, 1), "socket": _Socket()}.get(name, default)

    def is_closing(self) -> bool:
        return not self.is_open

    def close(self) -> None:
        self.owner.does(lambda: self.network.end(self))

    abort = close

    def lost(self, reason: str) -> None:
        """The owner learns that the connection is gone."""
        if self.is_open:
            self.is_open = False
            self.network.forget(self)
            if self.protocol is not None:
                self.protocol.connection_lost(ConnectionResetError(reason))


class Network:
    """All connections, listeners and cuts. Places are IPs, or `OUTSIDE`."""

    def __init__(self, loop: VirtualLoop, rng: random.Random) -> None:
        self._loop = loop
        self._rng = rng
        self._seed = rng.random()
        self._paths: dict[tuple[str, str], random.Random] = {}
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.dark: set[str] = set()  # IPs without power
        self.slow: set[str] = set()
        self.listeners: dict[str, tuple[Process, Callable[[], Channel]]] = {}
        self._ends: dict[Transport, None] = {}
        loop.create_server_at = self._listen

    # Paths

    def blocked(self, source: str, target: str) -> bool:
        """Whether nothing passes from one to the other now."""
        return (source, target) in self.cuts or source in self.dark or target in self.dark

    def delay_s(self, source: str, target: str) -> float:
        """How long something takes on its way."""
        slow = source in self.slow or target in self.slow
        return self._path(source, target).uniform(*(SLOW_DELAY_S if slow else DELAY_S))

    def _path(self, source: str, target: str) -> random.Random:
        """Each path has a generator of its own: programs send to sets of peers, in no order."""
        path = self._paths.get((source, target))
        if path is None:
            path = self._paths[source, target] = random.Random(f"{self._seed} {source} {target}")
        return path

    def heal(self) -> None:
        """To be called after cuts ended or power came back."""
        for end in tuple(self._ends):
            if self.blocked(end.local_ip, end.remote_ip) or self.blocked(end.remote_ip, end.local_ip):
                continue
            end.watched = False
            if not end.peer.is_open:
                longest_s = RETRANSMIT_S if end.held else KEEPALIVE_S
                self._tell_lost(end, self._rng.uniform(0.01, longest_s), "the peer is gone")
            elif end.held:
                self._loop.call_outside(
                    self._loop.time() + self._rng.uniform(0.01, RETRANSMIT_S), self._release, end
                )

    # Connections

    def _listen(self, factory: Callable[[], Channel], ip: str, port: int, **_: Any) -> "_Server":
        process = self._loop.current
        assert process is not None
        self.listeners[ip] = (process, factory)
        return _Server(self, ip)

    async def connect(
        self,
        codec: MessageCodec,
        ip: str,
        port: int,
        timeout_s: float,
        on_message: MessageHandler | None = None,
        source_ip: str | None = None,
        warnings: PeerWarnings | None = None,
    ) -> Channel:
        """Stands for `pewterring.transport.line_server.connect`."""
        process = self._loop.current
        assert process is not None
        source = process.name.partition("/")[0]
        try:
            async with asyncio.timeout(timeout_s):
                await self._reach(source, ip)
        except TimeoutError as error:
            raise RequestNotSent(f"cannot connect to {ip}: no answer") from error
        listener = self.listeners.get(ip)
        if listener is None or not listener[0].alive:
            raise RequestNotSent(f"cannot connect to {ip}: refused")
        return self._pair(process, source, ip, Channel(codec, on_message, warnings), *listener)

    async def _reach(self, source: str, ip: str) -> None:
        while True:
            await asyncio.sleep(self.delay_s(source, ip) + self.delay_s(ip, source))
            if not self.blocked(source, ip) and not self.blocked(ip, source):
                return
            await asyncio.sleep(OPEN_RETRY_S)

    def _pair(
        self,
        client: Process,
        source: str,
        ip: str,
        channel: Channel,
        server: Process,
        factory: Callable[[], Channel],
    ) -> Channel:
        here = Transport(self, client, source, ip)
        there = Transport(self, server, ip, source)
        here.peer, there.peer = there, here
        self._ends[here] = self._ends[there] = None
        here.protocol = channel

        def accept() -> None:
            there.protocol = factory()
            there.protocol.connection_made(there)

        self._loop.call_in(server, self._loop.time(), accept)
        channel.connection_made(here)
        return channel

    def transmit(self, end: Transport, data: bytes) -> None:
        """Sends bytes to the other end."""
        if not end.is_open:
            return
        source, target = end.local_ip, end.remote_ip
        if self.blocked(source, target):
            end.held.append(data)
            end.held_bytes += len(data)
            self._watch(end)
            return
        if end.held:
            end.held.append(data)
            end.held_bytes += len(data)
            return
        if self.blocked(target, source):
            self._watch(end)  # it arrives, but that is not confirmed
        if not end.peer.is_open:
            self._tell_lost(end, self.delay_s(source, target), "reset by the peer")
            return
        at = max(self._loop.time() + self.delay_s(source, target), end.last_arrival)
        end.last_arrival = at
        self._loop.call_in(end.peer.owner, at, self._arrive, end, data)

    def _arrive(self, end: Transport, data: bytes) -> None:
        peer = end.peer
        if not peer.is_open:
            return
        if self.blocked(end.local_ip, end.remote_ip):
            end.held.append(data)
            end.held_bytes += len(data)
            self._watch(end)
            return
        assert peer.protocol is not None
        peer.protocol.data_received(data)

    def _release(self, end: Transport) -> None:
        held, end.held, end.held_bytes = end.held, [], 0
        for data in held:
            self.transmit(end, data)

    def _watch(self, end: Transport) -> None:
        if not end.watched:
            end.watched = True
            self._loop.call_in(end.owner, self._loop.time() + USER_TIMEOUT_S, self._give_up, end)

    def _give_up(self, end: Transport) -> None:
        if end.watched and end.is_open:
            peer = end.peer
            end.lost("nothing was confirmed in time")
            if not self.blocked(end.local_ip, end.remote_ip):
                self._tell_lost(peer, self.delay_s(end.local_ip, end.remote_ip), "reset by the peer")

    def _tell_lost(self, end: Transport, after_s: float, reason: str) -> None:
        self._loop.call_in(end.owner, self._loop.time() + after_s, end.lost, reason)

    def end(self, end: Transport) -> None:
        """The owner closes its end; what it wrote before arrives first."""
        if not end.is_open:
            return
        end.is_open = False
        self.forget(end)
        if not self.blocked(end.local_ip, end.remote_ip):
            after_s = max(self.delay_s(end.local_ip, end.remote_ip), end.last_arrival - self._loop.time())
            self._tell_lost(end.peer, after_s, "closed by the peer")

    def process_ended(self, process: Process, silent: bool) -> None:
        """All connections of a process end; the other ends are told, unless its machine lost its power."""
        for ip, (owner, _) in tuple(self.listeners.items()):
            if owner is process:
                del self.listeners[ip]
        for end in tuple(self._ends):
            if end.owner is not process:
                continue
            end.is_open = False
            self.forget(end)
            if not silent and not self.blocked(end.local_ip, end.remote_ip):
                after_s = max(self.delay_s(end.local_ip, end.remote_ip), end.last_arrival - self._loop.time())
                self._tell_lost(end.peer, after_s, "reset by the peer")

    def forget(self, end: Transport) -> None:
        """An end that is closed."""
        self._ends.pop(end, None)

    def reset_some(self, ip: str) -> None:
        """Loses all connections of a machine; both ends are told."""
        for end in tuple(self._ends):
            if ip in (end.local_ip, end.remote_ip):
                self._tell_lost(end, self.delay_s(end.local_ip, end.remote_ip), "reset on the way")


class _Server:
    """What `create_server` returns."""

    def __init__(self, network: Network, ip: str) -> None:
        self._network = network
        self._ip = ip

    def close(self) -> None:
        """Listens no longer."""
        self._network.listeners.pop(self._ip, None)

    async def wait_closed(self) -> None:
        """Part of `asyncio.Server`."""
