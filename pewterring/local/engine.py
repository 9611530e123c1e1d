"""A stand-in for a model worker: streams the words of a request back and sends heartbeats."""

import asyncio
import contextlib
import secrets
from dataclasses import dataclass

import msgspec

from pewterring.distribution.messages import RegistrationState
from pewterring.registry.heartbeats import Heartbeat, LoadedModel
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import REQUEST_ID, ExchangeError, SendRequest
from pewterring.transport.http_fetch import fetch
from pewterring.transport.http_request import ServerLimits, ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer

CAPACITY = 8  # concurrent requests
EVENT_INTERVAL_S = 0.05  # between two events of a stream
HEARTBEAT_TIMEOUT_S = 1.0
LIMITS = ServerLimits(
    max_header_bytes=16384, max_body_bytes=4194304, header_timeout_s=3.0, idle_timeout_s=15.0
)
GREETING = "You said:"
MODEL = "m"
NOT_EXECUTED = (b"Not-Executed", b"1")


def echoed_words(body: bytes) -> list[str]:
    """Returns the data of each event of a response.

    It is the same on every worker, so that a stream can be resumed on another one.
    """
    return [*GREETING.split(), *body.decode("utf-8", "replace").split()]


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    """The service of a worker, and its address and zone."""

    service: str
    address: str  # `IP:port`; port 0 selects a free port
    zone: str


class StandInWorker:
    """A worker that sends heartbeats to control. `registered` is set when the first one is acknowledged.

    Args:
        endpoint: Its service, address and zone.
        controls: Addresses of control machines, `IP:port`; if one does not respond, the next is used.
        heartbeat_s: Period of heartbeats in seconds.
        event_interval_s: Seconds between two events of a stream.
    """

    def __init__(
        self,
        endpoint: WorkerEndpoint,
        controls: list[str],
        heartbeat_s: float,
        event_interval_s: float = EVENT_INTERVAL_S,
    ) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.registered = asyncio.Event()
        self._endpoint = endpoint
        self._address = endpoint.address
        self._controls = controls
        self._heartbeat_s = heartbeat_s
        self._event_interval_s = event_interval_s
        self._sequence = 0
        self._in_flight = 0
        self._server = HttpServer(self._handle, lambda: LIMITS)
        self._pool = WorkerPool()
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen and to send heartbeats.

        Raises:
            OSError: The address cannot be bound.
        """
        ip, _, port = self._address.rpartition(":")
        await self._server.start(ip, int(port))
        if not int(port):
            self._address = f"{ip}:{self._server.port}"
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stops sending heartbeats and stops the server."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._heartbeats
        self._pool.close()
        await self._server.stop()

    @property
    def address(self) -> str:
        """The address `IP:port` on which the worker listens."""
        return self._address

    # Requests

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        if request.method == "GET":
            await responder.respond(200, [(b"Served-By", self.id.encode())])
            return
        target_instance = request.get(b"target-instance")
        request_id = request.get(REQUEST_ID)
        if request_id is None:
            await responder.respond(400, [NOT_EXECUTED])
        elif target_instance is not None and target_instance != self.id.encode():
            await responder.respond(421, [NOT_EXECUTED])
        elif self._in_flight >= CAPACITY:
            await responder.respond(503, [NOT_EXECUTED, self._load_header()])
        else:
            self._in_flight += 1
            try:
                await self._stream(request, responder, request_id)
            finally:
                self._in_flight -= 1

    async def _stream(self, request: ServerRequest, responder: Responder, request_id: bytes) -> None:
        words = echoed_words(request.body)
        last_event_id = request.get(b"last-event-id") or b"0"
        headers = [
            (b"Content-Type", b"text/event-stream"),
            (b"Request-Id", request_id),
            (b"Response-Signature", b"stand-in." + self.id.encode()),
            self._load_header(),
        ]
        responder.begin(200, headers)
        for event_id in range(int(last_event_id) + 1 if last_event_id.isdigit() else 1, len(words) + 1):
            await asyncio.sleep(self._event_interval_s)
            if responder.disconnected:
                return
            responder.write(f"id: {event_id}\ndata: {words[event_id - 1]}\n\n".encode())
            await responder.drain()
        responder.end()

    def _load_header(self) -> tuple[bytes, bytes]:
        return b"Instance-Load", b"%d,0,%d" % (self._in_flight, CAPACITY)

    # Heartbeats

    async def _send_heartbeats(self) -> None:
        next_control = 0
        while True:
            if await self._send_heartbeat(self._controls[next_control % len(self._controls)]):
                self.registered.set()
                await asyncio.sleep(self._heartbeat_s)
            else:
                next_control += 1
                await asyncio.sleep(self._heartbeat_s / 5)

    async def _send_heartbeat(self, control: str) -> bool:
        self._sequence += 1
        heartbeat = Heartbeat(
            service=self._endpoint.service,
            address=self._address,
            zone=self._endpoint.zone,
            capacity=CAPACITY,
            state=RegistrationState.READY,
            models=(LoadedModel(MODEL, 1),),
            sequence=self._sequence,
        )
        request = SendRequest(
            "POST",
            f"/v1/Instances.Heartbeat/{self.id}",
            [(b"Host", control.encode()), (b"Content-Type", b"application/json")],
            msgspec.json.encode(heartbeat),
        )
        try:
            response = await fetch(self._pool, control, request, 1, HEARTBEAT_TIMEOUT_S)
        except ExchangeError:
            return False
        return 200 <= response.head.status < 300
