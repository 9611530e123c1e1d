"""Stand-ins on sockets, written from the protocol page: workers, discovery, the way of the peers' datagrams.

A worker's service is the emulator's own (lab.workers) on the real clock; here are only its connections.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import orjson

from pewterring.lab.calls import Attempt
from pewterring.lab.workers import Worker
from pewterring.standalone.http.messages import Malformed, Request
from pewterring.standalone.http.reader import RequestReader
from pewterring.standalone.http.writer import write_response
from pewterring.standalone.network.connection import Address
from pewterring.standalone.policy import interface as i

HOST = "127.0.0.1"
NOT_RUN = [(b"x-not-run", b"1")]
SPOILT = b"HTTP/1.1 2x0 \x00\r\n\r\n"


class WorkerLink(asyncio.Protocol):
    """One connection of a gatekeeper to a worker."""

    def __init__(self, port: "WorkerPort") -> None:
        self.port, self.parser, self.requests = port, RequestReader(), 0
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if len(self.port.links) >= self.port.worker.setup.connections:
            return transport.abort()
        self.port.links.add(self)

    def data_received(self, data: bytes) -> None:
        if self.port.worker.state != "up":
            return
        try:
            self.parser.feed(data)
            while (request := self.parser.next()) is not None:
                self.port.asked(self, request)
        except Malformed:
            if self.transport:
                self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.port.links.discard(self)
        if self.attempt is not None:
            self.port.left(self.attempt)
            self.attempt = None

    def write(self, data: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()


class WorkerPort:
    """A worker's address. `taken` hears of each request, `left` of each whose gatekeeper has given up."""

    def __init__(
        self, worker: Worker, taken: Callable[[WorkerLink, Request], None], left: Callable[[Attempt], None]
    ) -> None:
        self.worker, self.taken, self.left = worker, taken, left
        self.links: set[WorkerLink] = set()
        self.server: asyncio.Server | None = None
        self.address = Address(HOST, 0)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: WorkerLink(self), HOST, self.address[1])
        self.address = Address(*self.server.sockets[0].getsockname()[:2])

    def asked(self, link: WorkerLink, request: Request) -> None:
        if request.target == b"/healthz":
            return link.write(write_response(200, [], b"up"))
        self.taken(link, request)

    def reset(self) -> None:
        for link in list(self.links):
            link.abort()

    def close(self) -> None:
        if self.server:
            self.server.close()
            self.server = None
        self.reset()

    @staticmethod
    def answer(link: WorkerLink, code: i.Code, body: bytes) -> None:
        """What each outcome of a worker looks like on the wire."""
        link.attempt = None
        if code == i.Code.OK:
            link.write(write_response(200, [], body))
        elif code == i.Code.RESOURCE_EXHAUSTED:
            link.write(write_response(503, NOT_RUN))
        elif code == i.Code.INTERNAL:
            link.write(write_response(500, []))
        elif code == i.Code.ABORTED:
            link.write(SPOILT)
            if link.transport:
                link.transport.close()


class DiscoveryPort:
    """The agent on a gatekeeper's machine: the list as that gatekeeper is told it, and watches on it."""

    def __init__(self) -> None:
        self.version, self.log = 0, list[tuple[int, dict[str, Any]]]()
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: set[DiscoveryLink] = set()
        self.server: asyncio.Server | None = None
        self.address = Address(HOST, 0)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: DiscoveryLink(self), HOST, 0)
        self.address = Address(*self.server.sockets[0].getsockname()[:2])

    def tell(self, entry: dict[str, Any]) -> None:
        self.version += 1
        self.log.append((self.version, entry))
        if entry["health"] == "removed":
            self.entries.pop(entry["host"], None)
        else:
            self.entries[entry["host"]] = entry
        for watch in list(self.watches):
            watch.tell()

    def whole(self) -> dict[str, Any]:
        return {"seq": self.version, "whole": True, "hosts": list(self.entries.values())}

    def since(self, version: int) -> dict[str, Any]:
        hosts = [entry for n, entry in self.log if n > version]
        return {"seq": self.version, "whole": False, "hosts": hosts}

    def close(self) -> None:
        if self.server:
            self.server.close()
        for watch in list(self.watches):
            watch.end()


class DiscoveryLink(asyncio.Protocol):
    def __init__(self, port: DiscoveryPort) -> None:
        self.port, self.parser = port, RequestReader()
        self.version: int | None = None  # of the watch that waits
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (request := self.parser.next()) is not None:
            _, _, query = request.target.partition(b"?")
            given = dict(part.split(b"=", 1) for part in query.split(b"&") if b"=" in part)
            if b"index" not in given:
                self.write(self.port.whole())
                continue
            self.version = int(given[b"index"])
            if self.port.version > self.version:
                self.tell()
                continue
            self.port.watches.add(self)
            wait = int(given.get(b"wait", b"0")) / 1000
            self.timer = asyncio.get_running_loop().call_later(wait, self.tell)

    def tell(self) -> None:
        if self.version is not None:
            version, self.version = self.version, None
            self.forget()
            self.write(self.port.since(version))

    def forget(self) -> None:
        self.port.watches.discard(self)
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def write(self, tree: dict[str, Any]) -> None:
        if self.transport:
            self.transport.write(write_response(200, [], orjson.dumps(tree)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.forget()

    def end(self) -> None:
        self.forget()
        if self.transport:
            self.transport.abort()


class Relay:
    """The way between two gatekeepers: each knows the other by an address here. Datagrams come late, or
    not."""

    def __init__(self, passes: Callable[[int, int], float | None]) -> None:
        self.passes = passes  # the delay of a datagram from one to another; None: it is lost
        self.ends: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.listens: dict[int, Address] = {}
        self.passed = self.lost = self.octets = 0

    async def open(self, listens: dict[int, Address]) -> None:
        self.listens = listens
        loop = asyncio.get_running_loop()
        for a in listens:
            for b in listens:
                if a != b:
                    make = partial(RelayEnd, self, a, b)
                    self.ends[a, b], _ = await loop.create_datagram_endpoint(make, local_addr=(HOST, 0))

    def address(self, a: int, b: int) -> str:
        """Where gatekeeper a sends what is for b, and b's address to a."""
        return str(Address(*self.ends[a, b].get_extra_info("sockname")[:2]))

    def came(self, a: int, b: int, data: bytes) -> None:
        delay = self.passes(a, b)
        if delay is None:
            self.lost += 1
            return
        self.passed += 1
        self.octets += len(data)
        asyncio.get_running_loop().call_later(delay, self.deliver, a, b, data)

    def deliver(self, a: int, b: int, data: bytes) -> None:
        end = self.ends.get((b, a))
        if end is not None and not end.is_closing():
            end.sendto(data, self.listens[b])

    def close(self) -> None:
        for end in self.ends.values():
            end.close()


class RelayEnd(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, a: int, b: int) -> None:
        self.relay, self.a, self.b = relay, a, b

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.relay.came(self.a, self.b, data)
