"""Connections between simulated machines: ordered bytes that are delayed, blocked by partitions or lost.

As with TCP, bytes blocked by a partition arrive when it heals, unless one end times out before. A process
that ends resets its connections; a machine without power sends nothing, so that its peers must time out.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from pewterring.transport.channel import USER_TIMEOUT_MS, Channel
from pewterring.transport.line_errors import RequestNotSentError
from pewterring.transport.line_server import ChannelSettings
from tests.simulation.virtual_loop import Process, VirtualLoop

USER_TIMEOUT_S = USER_TIMEOUT_MS / 1000
OPEN_RETRY_S = 1.0  # before a lost opening packet is sent again
RETRANSMIT_S = 0.8  # at most, from the end of a partition to the next attempt
KEEPALIVE_S = 5.0  # at most, until an idle end learns that the other is gone
DELAY_S = (0.0005, 0.004)
SLOW_DELAY_S = (0.02, 0.15)

OUTSIDE = "outside"  # the name under which operators and workers send


class _Socket:
    """Accepts socket options and ignores them."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Part of a socket."""


class Transport(asyncio.Transport):
    """One end of a connection; `network` carries its bytes to `peer`."""

    def __init__(self, network: "Network", owner: Process, local_ip: str, remote_ip: str) -> None:
        self.network = network
        self.owner = owner
        self.local_ip = local_ip
        self.remote_ip = remote_ip
        self.protocol: Channel | None = None
        self.peer: Transport
        self.is_open = True
        self.pending: list[bytes] = []  # blocked by a partition, in order
        self.pending_bytes = 0
        self.watched = False  # whether the user time-out is running
        self.last_arrival = 0.0

    def write(self, data: Any) -> None:
        content = bytes(data)
        self.owner.perform(lambda: self.network.transmit(self, content))

    def get_write_buffer_size(self) -> int:
        return self.pending_bytes

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"peername": (self.remote_ip, 1), "socket": _Socket()}.get(name, default)

    def is_closing(self) -> bool:
        return not self.is_open

    def close(self) -> None:
        self.owner.perform(lambda: self.network.end(self))

    abort = close

    def enqueue(self, data: bytes) -> None:
        """Keeps bytes until the path is open again."""
        self.pending.append(data)
        self.pending_bytes += len(data)

    def lost(self, reason: str) -> None:
        """Tells the owner that the connection is lost."""
        if self.is_open:
            self.is_open = False
            self.network.forget(self)
            if self.protocol is not None:
                self.protocol.connection_lost(ConnectionResetError(reason))


class Listener(NamedTuple):
    """A process that takes connections, and what makes its end of each."""

    owner: Process
    factory: Callable[[], Channel]


class Network:
    """Owns all connections, listeners and blocked paths. A path's ends are IPs, or `OUTSIDE`."""

    def __init__(self, loop: VirtualLoop, rng: random.Random) -> None:
        self._loop = loop
        self._rng = rng
        self._seed = rng.random()
        self._paths: dict[tuple[str, str], random.Random] = {}
        self.blocked_paths: set[tuple[str, str]] = set()  # (from, to)
        self.powered_off_ips: set[str] = set()  # IPs without power
        self.slow_ips: set[str] = set()
        self.listeners: dict[str, Listener] = {}  # by IP
        self._ends: dict[Transport, None] = {}
        loop.create_server_at = self._listen

    # Paths

    def blocked(self, source: str, target: str) -> bool:
        """Whether nothing passes from one to the other now."""
        return (
            (source, target) in self.blocked_paths
            or source in self.powered_off_ips
            or target in self.powered_off_ips
        )

    def delay_s(self, source: str, target: str) -> float:
        """Draws the latency of one transmission."""
        is_slow = source in self.slow_ips or target in self.slow_ips
        return self._path(source, target).uniform(*(SLOW_DELAY_S if is_slow else DELAY_S))

    def _path(self, source: str, target: str) -> random.Random:
        """Returns the path's own generator: programs send to sets of peers, whose order must not matter."""
        path = self._paths.get((source, target))
        if path is None:
            path = self._paths[source, target] = random.Random(f"{self._seed} {source} {target}")
        return path

    def heal(self) -> None:
        """Resumes connections after a partition ended or power came back; every such caller must call it."""
        for end in tuple(self._ends):
            if self.blocked(end.local_ip, end.remote_ip) or self.blocked(end.remote_ip, end.local_ip):
                continue
            end.watched = False
            if not end.peer.is_open:
                longest_s = RETRANSMIT_S if end.pending else KEEPALIVE_S
                self._tell_lost(end, self._rng.uniform(0.01, longest_s), "the peer is gone")
            elif end.pending:
                self._loop.call_outside(
                    self._loop.time() + self._rng.uniform(0.01, RETRANSMIT_S), self._release, end
                )

    # Connections

    def _listen(self, factory: Callable[[], Channel], ip: str, *_: Any, **__: Any) -> "_Server":
        process = self._loop.current
        assert process is not None
        self.listeners[ip] = Listener(process, factory)
        return _Server(self, ip)

    async def connect(
        self,
        settings: ChannelSettings,
        ip: str,
        _port: int,
        timeout_s: float,
    ) -> Channel:
        """Stands for `pewterring.transport.line_server.connect`."""
        process = self._loop.current
        assert process is not None
        source = process.ip
        try:
            async with asyncio.timeout(timeout_s):
                await self._reach(source, ip)
        except TimeoutError as error:
            raise RequestNotSentError(f"cannot connect to {ip}: no answer") from error
        listener = self.listeners.get(ip)
        if listener is None or not listener.owner.alive:
            raise RequestNotSentError(f"cannot connect to {ip}: refused")
        return self._pair(
            process, ip, Channel(settings.codec, settings.on_message, settings.warnings), listener
        )

    async def _reach(self, source: str, ip: str) -> None:
        while True:
            await asyncio.sleep(self.delay_s(source, ip) + self.delay_s(ip, source))
            if not self.blocked(source, ip) and not self.blocked(ip, source):
                return
            await asyncio.sleep(OPEN_RETRY_S)

    def _pair(
        self,
        client: Process,
        ip: str,
        channel: Channel,
        listener: Listener,
    ) -> Channel:
        source = client.ip
        here = Transport(self, client, source, ip)
        there = Transport(self, listener.owner, ip, source)
        here.peer, there.peer = there, here
        self._ends[here] = self._ends[there] = None
        here.protocol = channel

        def accept() -> None:
            there.protocol = listener.factory()
            there.protocol.connection_made(there)

        self._loop.call_in(listener.owner, self._loop.time(), accept)
        channel.connection_made(here)
        return channel

    def transmit(self, end: Transport, data: bytes) -> None:
        """Sends bytes to the other end."""
        if not end.is_open:
            return
        source, target = end.local_ip, end.remote_ip
        if self.blocked(source, target):
            end.enqueue(data)
            self._watch(end)
            return
        if end.pending:
            end.enqueue(data)
            return
        if self.blocked(target, source):
            self._watch(end)  # the bytes arrive, but their acknowledgement does not
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
            end.enqueue(data)
            self._watch(end)
            return
        assert peer.protocol is not None
        peer.protocol.data_received(data)

    def _release(self, end: Transport) -> None:
        pending, end.pending, end.pending_bytes = end.pending, [], 0
        for data in pending:
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
        """Closes one end; what its owner wrote before arrives first."""
        if not end.is_open:
            return
        end.is_open = False
        self.forget(end)
        if not self.blocked(end.local_ip, end.remote_ip):
            after_s = max(self.delay_s(end.local_ip, end.remote_ip), end.last_arrival - self._loop.time())
            self._tell_lost(end.peer, after_s, "closed by the peer")

    def process_ended(self, process: Process, power_lost: bool) -> None:
        """Ends all connections of a process; the peers are reset, unless the machine lost its power."""
        for ip, listener in tuple(self.listeners.items()):
            if listener.owner is process:
                del self.listeners[ip]
        for end in tuple(self._ends):
            if end.owner is not process:
                continue
            end.is_open = False
            self.forget(end)
            if not power_lost and not self.blocked(end.local_ip, end.remote_ip):
                after_s = max(self.delay_s(end.local_ip, end.remote_ip), end.last_arrival - self._loop.time())
                self._tell_lost(end.peer, after_s, "reset by the peer")

    def forget(self, end: Transport) -> None:
        """Removes an end that is closed."""
        self._ends.pop(end, None)

    def reset_some(self, ip: str) -> None:
        """Resets all connections of a machine at both ends."""
        for end in tuple(self._ends):
            if ip in (end.local_ip, end.remote_ip):
                self._tell_lost(end, self.delay_s(end.local_ip, end.remote_ip), "reset on the way")


class _Server:
    """What `create_server` returns."""

    def __init__(self, network: Network, ip: str) -> None:
        self._network = network
        self._ip = ip

    def close(self) -> None:
        """Stops listening."""
        self._network.listeners.pop(self._ip, None)

    async def wait_closed(self) -> None:
        """Part of `asyncio.Server`."""
