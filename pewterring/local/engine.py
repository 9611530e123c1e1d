"""A stand-in for a model worker: streams the words of a request back, and sends heartbeats."""

import asyncio
import contextlib
import secrets

import msgspec

from pewterring.distribution.messages import RegistrationState
from pewterring.registry.heartbeats import Heartbeat, LoadedModel
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import REQUEST_ID, ExchangeError, SendRequest
from pewterring.transport.http_fetch import fetch
from pewterring.transport.http_request import ServerLimits, ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer

CAPACITY = 8  # requests at once
EVENT_S = 0.05  # between events of a stream
HEARTBEAT_TIMEOUT_S = 1.0
LIMITS = ServerLimits(
    max_header_bytes=16384, max_body_bytes=4194304, header_timeout_s=3.0, idle_timeout_s=15.0
)
GREETING = "You said:"
MODEL = "m"
NOT_EXECUTED = (b"Not-Executed", b"1")


def words_of(body: bytes) -> list[str]:
    """The data of a request's events: the same at each worker, so that a stream can be taken up elsewhere."""
    return [*GREETING.split(), *body.decode("utf-8", "replace").split()]


class StandInWorker:
    """One worker of `service` at `address` (`IP:port`). `registered` is set at its first acknowledgement."""

    def __init__(
        self,
        service: str,
        address: str,
        zone: str,
        controls: list[str],
        heartbeat_s: float,
        event_s: float = EVENT_S,
    ) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.registered = asyncio.Event()
        self._service = service
        self._address = address
        self._zone = zone
        self._controls = controls
        self._heartbeat_s = heartbeat_s
        self._event_s = event_s
        self._sequence = 0
        self._running = 0
        self._server = HttpServer(self._handle, lambda: LIMITS)
        self._pool = WorkerPool()
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens and registers. Raises OSError."""
        ip, _, port = self._address.rpartition(":")
        await self._server.start(ip, int(port))
        if not int(port):
            self._address = f"{ip}:{self._server.port}"
        self._beating = asyncio.create_task(self._beat_forever())

    async def stop(self) -> None:
        """Says nothing any more."""
        if self._beating is not None:
            self._beating.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._beating
        self._pool.close()
        await self._server.stop()

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._address

    # Requests

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        if request.method == "GET":
            await responder.respond(200, [(b"Served-By", self.id.encode())])
            return
        target = request.get(b"target-instance")
        request_id = request.get(REQUEST_ID)
        if request_id is None:
            await responder.respond(400, [NOT_EXECUTED])
        elif target is not None and target != self.id.encode():
            await responder.respond(421, [NOT_EXECUTED])
        elif self._running >= CAPACITY:
            await responder.respond(503, [NOT_EXECUTED, self._load()])
        else:
            self._running += 1
            try:
                await self._stream(request, responder, request_id)
            finally:
                self._running -= 1

    async def _stream(self, request: ServerRequest, responder: Responder, request_id: bytes) -> None:
        words = words_of(request.body)
        last = request.get(b"last-event-id") or b"0"
        headers = [
            (b"Content-Type", b"text/event-stream"),
            (b"Request-Id", request_id),
            (b"Response-Signature", b"stand-in." + self.id.encode()),
            self._load(),
        ]
        responder.begin(200, headers)
        for number in range(int(last) + 1 if last.isdigit() else 1, len(words) + 1):
            await asyncio.sleep(self._event_s)
            if responder.disconnected:
                return
            responder.write(f"id: {number}\ndata: {words[number - 1]}\n\n".encode())
            await responder.drain()
        responder.end()

    def _load(self) -> tuple[bytes, bytes]:
        return b"Instance-Load", b"%d,0,%d" % (self._running, CAPACITY)

    # Heartbeats

    async def _beat_forever(self) -> None:
        next_control = 0
        while True:
            if await self._beat(self._controls[next_control % len(self._controls)]):
                self.registered.set()
                await asyncio.sleep(self._heartbeat_s)
            else:
                next_control += 1
                await asyncio.sleep(self._heartbeat_s / 5)

    async def _beat(self, control: str) -> bool:
        self._sequence += 1
        beat = Heartbeat(
            service=self._service,
            address=self._address,
            zone=self._zone,
            capacity=CAPACITY,
            state=RegistrationState.READY,
            models=(LoadedModel(MODEL, 1),),
            sequence=self._sequence,
        )
        request = SendRequest(
            "POST",
            f"/v1/Instances.Heartbeat/{self.id}",
            [(b"Host", control.encode()), (b"Content-Type", b"application/json")],
            msgspec.json.encode(beat),
        )
        try:
            answer = await fetch(self._pool, control, request, 1, HEARTBEAT_TIMEOUT_S)
        except ExchangeError:
            return False
        return 200 <= answer.head.status < 300
