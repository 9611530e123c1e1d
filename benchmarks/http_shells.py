"""Processor time of streamed exchanges through the HTTP server and client.

    python benchmarks/http_shells.py [--exchanges 2000] [--events 20] [--parallel 8] [--profile]

A relay as small as can be is measured: it takes requests with HttpServer, sends them on with WorkerPool and
passes the answers' pieces on. Clients and workers run in another process. Each client has a worker of its
own, which sends an event only after the client got the one before, so that each is read on its own.
"""

import argparse
import asyncio
import cProfile
import multiprocessing
import pstats
import resource
import time
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection

from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_client import ExchangeError, SendRequest, WorkerPool
from pewterring.transport.http_common import encode_chunk, end_to_end_headers
from pewterring.transport.http_server import HttpServer, Responder, ServerLimits, ServerRequest

IP = "127.0.0.1"
LIMITS = ServerLimits(16384, 4194304, 3.0, 15.0)
WARM_UP = 50
MAX_CONNECTIONS = 100
REQUEST = (
    b"POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: 9c41d07be2a35f68\r\nModel-Id: m\r\n"
    b"Token-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
    b"Request-Timeout-Ms: 6000\r\nContent-Length: 10\r\n\r\n0123456789"
)
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"Content-Type: text/event-stream\r\nInstance-Load: 3,0,8\r\nTransfer-Encoding: chunked\r\n\r\n"
)
EVENT = encode_chunk(b"id: 12\ndata: " + b"x" * 60 + b"\n\n")
LAST = b"0\r\n\r\n"


class Pass:
    """Passes one answer on."""

    def __init__(self, responder: Responder) -> None:
        self.responder = responder

    def on_head(self, head: AnswerHead) -> None:
        self.responder.begin(head.status, end_to_end_headers(head.headers))

    def on_data(self, data: bytes) -> None:
        self.responder.write(data)

    def on_end(self, error: ExchangeError | None) -> None:
        if error is None:
            self.responder.end()
        else:
            self.responder.abort()


def relay(pool: WorkerPool, address: str) -> Callable[[ServerRequest, Responder], Awaitable[None]]:
    async def handler(request: ServerRequest, responder: Responder) -> None:
        sent = SendRequest(
            request.method,
            request.target,
            end_to_end_headers(request.headers),
            request.body,
            request.get(b"request-id"),
        )
        exchange = pool.send(address, sent, Pass(responder), MAX_CONNECTIONS)
        responder.on_disconnect(exchange.cancel)
        await responder.finished()

    return handler


class Partners:
    """A client and its worker."""

    def __init__(self, events: int) -> None:
        self.events = events
        self.go_on: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The worker's side: begins the answer, which the client then has go on."""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(10)
                writer.write(HEAD + EVENT)
                self.go_on.put_nowait(writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    async def client(self, port: int, exchanges: int) -> None:
        reader, writer = await asyncio.open_connection(IP, port)
        for _ in range(exchanges):
            writer.write(REQUEST)
            worker = await self.go_on.get()
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(EVENT))
            for _ in range(self.events - 1):
                worker.write(EVENT)
                await reader.readexactly(len(EVENT))
            worker.write(LAST)
            await reader.readexactly(len(LAST))
        writer.close()


async def run_partners(pipe: Connection, events: int, parallel: int) -> None:
    loop = asyncio.get_running_loop()
    partners = [Partners(events) for _ in range(parallel)]
    servers = [await asyncio.start_server(partner.work, IP, 0) for partner in partners]
    pipe.send([server.sockets[0].getsockname()[1] for server in servers])
    ports = await loop.run_in_executor(None, pipe.recv)
    while exchanges := await loop.run_in_executor(None, pipe.recv):
        each = exchanges // parallel
        await asyncio.gather(
            *(partner.client(port, each) for partner, port in zip(partners, ports, strict=True))
        )
        pipe.send(each * parallel)


def partners_process(pipe: Connection, events: int, parallel: int) -> None:
    asyncio.run(run_partners(pipe, events, parallel))


async def measure(pipe: Connection, exchanges: int, profile: bool) -> None:
    loop = asyncio.get_running_loop()
    worker_ports: list[int] = await loop.run_in_executor(None, pipe.recv)
    pool = WorkerPool()
    servers = [HttpServer(relay(pool, f"{IP}:{port}"), lambda: LIMITS) for port in worker_ports]
    for server in servers:
        await server.start(IP, 0)
    pipe.send([server.port for server in servers])
    pipe.send(max(WARM_UP, len(servers)))
    await loop.run_in_executor(None, pipe.recv)
    profiler = cProfile.Profile()
    began, used = time.perf_counter(), resource.getrusage(resource.RUSAGE_SELF)
    if profile:
        profiler.enable()
    pipe.send(exchanges)
    done: int = await loop.run_in_executor(None, pipe.recv)
    profiler.disable()
    after = resource.getrusage(resource.RUSAGE_SELF)
    user, system = after.ru_utime - used.ru_utime, after.ru_stime - used.ru_stime
    print(
        f"{done} exchanges in {time.perf_counter() - began:.2f} s, {pool.connections_made} connections made"
    )
    print(f"processor ms an exchange: {(user + system) / done * 1000:.3f}", end=" ")
    print(f"(user {user / done * 1000:.3f}, system {system / done * 1000:.3f})")
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(25)
    pipe.send(0)
    pool.close()
    for server in servers:
        await server.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--exchanges", type=int, default=2000)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--parallel", type=int, default=8)
    parser.add_argument("--profile", action="store_true")
    given = parser.parse_args()
    here, there = multiprocessing.Pipe()
    process = multiprocessing.Process(target=partners_process, args=(there, given.events, given.parallel))
    process.start()
    asyncio.run(measure(here, given.exchanges, given.profile))
    process.join()


if __name__ == "__main__":
    main()
