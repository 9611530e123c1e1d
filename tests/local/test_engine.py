"""The stand-in worker: streams, what it declines, and its heartbeats."""

import asyncio

from pewterring.local.engine import LIMITS, StandInWorker, WorkerPlace, echoed_words
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer
from pewterring.transport.sse import EventSplitter

PATIENCE_S = 10.0
PLACE = WorkerPlace("s", "127.0.0.1:0", "z")


class Control:
    """Takes heartbeats; the first `refused` are not acknowledged."""

    def __init__(self, refused: int) -> None:
        self.refused = refused
        self.bodies: list[bytes] = []
        self.server = HttpServer(self._handle, lambda: LIMITS)

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        self.bodies.append(request.body)
        await responder.respond(503 if len(self.bodies) <= self.refused else 200, [])


async def asked(worker: StandInWorker, body: bytes = b"one two", **headers: str) -> WholeAnswer:
    sent = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    pool = WorkerPool()
    try:
        request = SendRequest("POST", "/chat/1", [(b"Host", b"h"), *sent], body)
        return await fetch(pool, worker.address, request, 1, PATIENCE_S)
    finally:
        pool.close()


def data(answer: WholeAnswer) -> list[tuple[int | None, str]]:
    return [(event.id, event.data) for event in EventSplitter().feed(answer.body)]


def test_a_stream_is_taken_up_where_it_is_asked_to_and_others_are_declined() -> None:
    async def run() -> None:
        worker = StandInWorker(PLACE, ["127.0.0.1:9"], heartbeat_s=60.0, event_s=0.0)
        await worker.start()
        try:
            whole = await asked(worker, Request_Id="r-1", Target_Instance=worker.id)
            words = echoed_words(b"one two")
            assert data(whole) == list(enumerate(words, 1))
            assert whole.head.get(b"request-id") == b"r-1"
            assert whole.head.get(b"response-signature") is not None
            rest = await asked(worker, Request_Id="r-2", Last_Event_Id="2")
            assert data(rest) == list(enumerate(words, 1))[2:]
            other = await asked(worker, Request_Id="r-3", Target_Instance="i-other")
            assert other.head.status == 421
            assert other.head.get(b"not-executed") is not None
            nameless = await asked(worker)
            assert nameless.head.status == 400
            assert nameless.head.get(b"not-executed") is not None
        finally:
            await worker.stop()

    asyncio.run(run())


def test_it_registers_at_the_next_control_where_one_refuses() -> None:
    async def run() -> None:
        refusing, taking = Control(refused=100), Control(refused=0)
        for control in (refusing, taking):
            await control.server.start("127.0.0.1", 0)
        addresses = [f"127.0.0.1:{control.server.port}" for control in (refusing, taking)]
        worker = StandInWorker(PLACE, addresses, heartbeat_s=0.01)
        await worker.start()
        try:
            async with asyncio.timeout(PATIENCE_S):
                await worker.registered.wait()
            assert refusing.bodies
            assert b'"backend":"s"' in taking.bodies[0]
            assert worker.address.encode() in taking.bodies[0]
        finally:
            await worker.stop()
            for control in (refusing, taking):
                await control.server.stop()

    asyncio.run(run())
