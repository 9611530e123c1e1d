"""The stand-in worker: streams, rejected requests and heartbeats."""

import asyncio

from pewterring.local.engine import LIMITS, StandInWorker, WorkerEndpoint, echoed_words
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer
from pewterring.transport.sse import EventSplitter

TEST_TIMEOUT_S = 10.0
ENDPOINT = WorkerEndpoint("s", "127.0.0.1:0", "z")


class Control:
    """Receives heartbeats; responds to the first `rejected` ones with status 503."""

    def __init__(self, rejected: int) -> None:
        self.rejected = rejected
        self.bodies: list[bytes] = []
        self.server = HttpServer(self._handle, lambda: LIMITS)

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        self.bodies.append(request.body)
        await responder.respond(503 if len(self.bodies) <= self.rejected else 200, [])


async def send_request(worker: StandInWorker, body: bytes = b"one two", **headers: str) -> WholeAnswer:
    extra_headers = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    pool = WorkerPool()
    try:
        request = SendRequest("POST", "/chat/1", [(b"Host", b"h"), *extra_headers], body)
        return await fetch(pool, worker.address, request, 1, TEST_TIMEOUT_S)
    finally:
        pool.close()


def events_of(response: WholeAnswer) -> list[tuple[int | None, str]]:
    return [(event.id, event.data) for event in EventSplitter().feed(response.body)]


def test_a_stream_resumes_after_the_last_event_id_and_invalid_requests_are_rejected() -> None:
    async def run() -> None:
        worker = StandInWorker(ENDPOINT, ["127.0.0.1:9"], heartbeat_s=60.0, event_interval_s=0.0)
        await worker.start()
        try:
            response = await send_request(worker, Request_Id="r-1", Target_Instance=worker.id)
            words = echoed_words(b"one two")
            assert events_of(response) == list(enumerate(words, 1))
            assert response.head.get(b"request-id") == b"r-1"
            assert response.head.get(b"response-signature") is not None
            resumed = await send_request(worker, Request_Id="r-2", Last_Event_Id="2")
            assert events_of(resumed) == list(enumerate(words, 1))[2:]
            misdirected = await send_request(worker, Request_Id="r-3", Target_Instance="i-other")
            assert misdirected.head.status == 421
            assert misdirected.head.get(b"not-executed") is not None
            without_id = await send_request(worker)
            assert without_id.head.status == 400
            assert without_id.head.get(b"not-executed") is not None
        finally:
            await worker.stop()

    asyncio.run(run())


def test_the_worker_registers_at_the_next_control_machine_if_one_rejects_it() -> None:
    async def run() -> None:
        rejecting, accepting = Control(rejected=100), Control(rejected=0)
        for control in (rejecting, accepting):
            await control.server.start("127.0.0.1", 0)
        addresses = [f"127.0.0.1:{control.server.port}" for control in (rejecting, accepting)]
        worker = StandInWorker(ENDPOINT, addresses, heartbeat_s=0.01)
        await worker.start()
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await worker.registered.wait()
            assert rejecting.bodies
            assert b'"backend":"s"' in accepting.bodies[0]
            assert worker.address.encode() in accepting.bodies[0]
        finally:
            await worker.stop()
            for control in (rejecting, accepting):
                await control.server.stop()

    asyncio.run(run())
