"""Feed sessions between nodes and the simulated control machines, without sockets."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import msgspec

from pewterring.distribution.messages import NodeRecord, Renew, Subscribe
from pewterring.distribution.subscriber import FeedEnvironment, FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.transport.lines import Channel, ChannelSettings, RequestNotSentError, RequestTimeoutError
from tests.control.cluster import FEED_CODEC, ControlCluster, ControlMachine
from tests.node_settings import addresses, node_settings


class FeedEnd:
    """One end of a simulated connection, used as the channel of a node or of the leader's feed server."""

    def __init__(self, cluster: ControlCluster, ip: str, remote_ip: str) -> None:
        self.closed = False
        self.on_close: list[Callable[[FeedEnd], None]] = []
        self.receive: Callable[[msgspec.Struct], None] = lambda _message: None
        self.peer: FeedEnd | None = None
        self._cluster = cluster
        self._ip = ip
        self._remote_ip = remote_ip

    def run_at_peer(self, action: Callable[["FeedEnd"], None]) -> None:
        """Runs `action` at the other end when the message arrives, if that end is still open."""
        peer = self.peer
        assert peer is not None
        self._cluster.deliver(self._ip, self._remote_ip, lambda: None if peer.closed else action(peer))

    def send_line(self, line: bytes) -> bool:
        if self.closed:
            return False
        message = FEED_CODEC.decode(FEED_CODEC.decode_line(line.rstrip(b"\n")).body)
        self.run_at_peer(lambda peer: peer.receive(message))
        return True

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.run_at_peer(lambda peer: peer.close())
            for callback in self.on_close:
                callback(self)

    abort = close


class NodeEnd(FeedEnd):
    """The node's end, which sends requests and waits for their answers."""

    machine: ControlMachine

    async def request(self, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        reply: asyncio.Future[msgspec.Struct] = asyncio.get_running_loop().create_future()

        def complete(answer: msgspec.Struct) -> None:
            if not reply.done():
                reply.set_result(answer)

        def handle_at_machine(end: FeedEnd) -> None:
            feed = self.machine.feed
            channel = cast(Channel, end)
            answer: msgspec.Struct
            if isinstance(message, Subscribe):
                answer = feed.subscribe(channel, message)
            else:
                assert isinstance(message, Renew)
                answer = feed.renew(channel, message)
            end.run_at_peer(lambda _node: complete(answer))

        self.run_at_peer(handle_at_machine)
        try:
            return await asyncio.wait_for(reply, timeout_s)
        except TimeoutError as error:
            raise RequestTimeoutError("no answer in time") from error


class FeedNode:
    """A gateway that subscribes to the control leader's feed and tries its seeds in the given order."""

    def __init__(self, cluster: ControlCluster, ip: str, seeds: tuple[str, ...]) -> None:
        self.ip = ip
        self.paused_s = 0.0  # seconds by which its clock is ahead because it was paused
        self.on_tables: Callable[[Tables, Tables], None] = lambda _old, _new: None
        self._cluster = cluster
        self._loop = asyncio.get_running_loop()
        record = NodeRecord(f"edge-{ip}", "gateway", ip, "zone-1", "life")
        self.subscriber = FeedSubscriber(
            node_settings("edge", ip, seeds=addresses(seeds, 1)),
            FEED_CODEC,
            NodeReport(lambda: record),
            on_tables=lambda old, new: self.on_tables(old, new),
            environment=FeedEnvironment(
                random.Random(ip), lambda: self._loop.time() + self.paused_s, self._open_channel
            ),
        )

    @property
    def version(self) -> int:
        """The version of the configuration that it serves; 0 while it has none."""
        configuration = self.subscriber.tables.configuration
        return configuration.version if configuration is not None else 0

    async def has_version(self, version: int, limit_s: float) -> bool:
        """Waits at most `limit_s` until the node serves this version; returns whether it does."""
        end = self._loop.time() + limit_s
        while self.version != version:
            if self._loop.time() >= end:
                return False
            await asyncio.sleep(0.01)
        return True

    async def _open_channel(
        self, settings: ChannelSettings, ip: str, _port: int, timeout_s: float
    ) -> Channel:
        machine = self._cluster.machines.get(ip)
        if machine is None or {(self.ip, ip), (ip, self.ip)} & self._cluster.partitions:
            await asyncio.sleep(timeout_s)
            raise RequestNotSentError(f"no connection with {ip} in time")
        near = NodeEnd(self._cluster, self.ip, ip)
        far = FeedEnd(self._cluster, ip, self.ip)
        near.peer, far.peer, near.machine = far, near, machine
        on_message: Any = settings.on_message
        near.receive = lambda message: on_message(cast(Channel, near), message)
        return cast(Channel, near)
