"""HTTP conversations at the gateway of the serving tier: live requests, batch calls, readiness, refusals.

This is the one place where the gateway is built. Its clock stands still, so that times in headers are exact.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import msgspec

from pewterring.batch import messages as batch
from pewterring.configuration.model import ClientLimits, Engine, RouteType
from pewterring.distribution.messages import NodeRecord, WorkerRecord
from pewterring.distribution.tables import Tables
from pewterring.gateway.batch_calls import BatchCalls
from pewterring.gateway.program import GatewayProgram
from pewterring.routing.prompt import read_prompt
from pewterring.transport.lines import LinkPool, RequestNotSentError, TransportError
from tests.gateway.gateway import Gateway, route, settings
from tests.golden.http_transcripts import IP, RecordingWorker, Transcript, ask

PATIENCE_S = 20.0
ROUTES = (
    route(RouteType.IDEMPOTENT, "/live/"),
    route(RouteType.STREAMING, "/stream/", resumable=True),
    route(RouteType.NON_IDEMPOTENT, "/once/"),
    route(RouteType.BATCH_JOB, "/jobs/"),
)
WORKERS = 2
CALL_S = 5.0  # more than any call may take: each is tried once
MOST_SENDS = 4  # of one request to workers that decline it
HEAD = "Host: h\r\nRequest-Id: 7\r\nConnection: close\r\n"
SIGNED = "Request-Id: 7\r\nResponse-Signature: stamp\r\nInstance-Load: 3,2\r\n"
ITEMS = b'{"requests":[{"id":"a","path":"/jobs/1","headers":{"Model-Id":"m"},"body":"q83v","tokens":5}]}'
TWICE = ITEMS.replace(b"}]", b"},%b]" % ITEMS[len(b'{"requests":[') : -len(b"]}")])
Reply = Callable[[msgspec.Struct], msgspec.Struct]


def _request(line: str, headers: str = "", body: bytes = b"") -> bytes:
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{line} HTTP/1.1\r\n{HEAD}{headers}{length}\r\n".encode("latin-1") + body


def _worker_answer(status: str, headers: str = SIGNED, body: bytes = b"") -> bytes:
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


def _stream(*events: int, whole: bool) -> bytes:
    head = f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in events]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head.encode() + chunks + (b"0\r\n\r\n" if whole else b"")


LIVE = _request(
    "POST /live/x?q=1",
    "Request-Timeout-Ms: 4000\r\nPrompt-Prefix: 9c2e41:300,5d07b8:240\r\nToken-Usage: 540,20\r\n"
    "Expect-Version: 2\r\nModel-Id: m\r\nTarget-Instance: other\r\nX-Own: kept\r\n",
    b"question",
)
PROMPT = read_prompt("9c2e41:300,5d07b8:240", "540,20")  # as `LIVE` has it
STREAM = _request("POST /stream/x", "Request-Timeout-Ms: 4000\r\nAccept: text/event-stream\r\n", b"question")


@dataclass
class Played:
    """A gateway whose clock stands still."""

    gateway: Gateway
    transcript: Transcript

    async def ask(self, request: bytes) -> None:
        """A request of a client."""
        await ask(self.transcript, self.gateway.port, request)

    async def ask_readiness(self, request: bytes) -> None:
        """A request at the address of readiness and metrics."""
        await ask(self.transcript, self.gateway.ready_port, request)


Story = Callable[[Played], Awaitable[None]]


async def _play(story: Story, answers: tuple[bytes, ...]) -> str:
    moment = float(int(asyncio.get_running_loop().time()))
    program = GatewayProgram(settings(), random.Random(1), lambda: moment)
    transcript = Transcript()
    played = Played(Gateway(program, ROUTES), transcript)
    async with asyncio.timeout(PATIENCE_S), RecordingWorker(transcript, answers) as worker:
        await played.gateway.start(())
        for number in range(WORKERS if answers else 0):
            address = f"{IP}:{await worker.listen()}"
            record = WorkerRecord(f"w{number}", "s", address, "z", 4, "ready")
            played.gateway.workers[record.id] = record
        try:
            await story(played)
        finally:
            await played.gateway.stop()
    return transcript.text()


def _asked(*requests: bytes, limits: ClientLimits | None = None) -> Story:
    async def story(played: Played) -> None:
        played.gateway.configure(limits)
        for request in requests:
            await played.ask(request)

    return story


async def _readiness(played: Played) -> None:
    ready = _request("GET /v1/readyz")
    await played.ask_readiness(ready)
    played.gateway.configure()
    await played.ask_readiness(ready)
    await played.ask_readiness(_request("GET /other"))


async def _without_tables(played: Played) -> None:
    await played.ask(_request("POST /live/x", "Request-Timeout-Ms: 1\r\n", b"question"))


async def _with_old_tables(played: Played) -> None:
    played.gateway.configure()
    played.gateway.age_tables()
    await played.ask(_request("GET /nowhere"))


async def _without_room(played: Played) -> None:
    played.gateway.configure()
    played.gateway.take_capacity("s")
    await played.ask(LIVE)


async def _draining(played: Played) -> None:
    played.gateway.configure()
    played.gateway.begin_drain(-1000.0, 1.0)
    await played.ask(LIVE)
    await played.ask(_request("POST /jobs/1", "", ITEMS))


class _Links:
    """Stands in for the links to stores; the clock moves on with each call."""

    def __init__(self, reply: Reply, transcript: Transcript) -> None:
        self.reply = reply
        self.transcript = transcript
        self.now = 0.0

    async def request(self, _ip: str, message: msgspec.Struct, _timeout_s: float) -> msgspec.Struct:
        """Answers as `reply` says."""
        self.now += CALL_S
        self.transcript.add("message to the store", msgspec.json.encode(message))
        return self.reply(message)


def _batch(reply: Reply, *requests: bytes) -> Story:
    async def story(played: Played) -> None:
        played.gateway.configure()
        links = _Links(reply, played.transcript)
        store = NodeRecord("s1", "store", "10.0.0.1", "z", "life", "10.0.0.1#m")
        tables = Tables(nodes=(store,))
        calls = BatchCalls(cast(LinkPool, links), lambda: tables, random.Random(1), lambda: links.now)
        played.gateway.take_batch_calls(calls)
        for request in requests:
            await played.ask(request)

    return story


def _told(answer: msgspec.Struct) -> Reply:
    return lambda _message: answer


def _raise(error: Exception) -> Reply:
    def reply(_message: msgspec.Struct) -> msgspec.Struct:
        raise error

    return reply


RESULTS = batch.ResultPage(
    2, 2, (batch.ItemResult("a", "succeeded", "some text"), batch.ItemResult("b", "dead_letter", ""))
)
SUBMIT = _request("POST /jobs/1", "", ITEMS)
PAGE = _request("GET /v1/lots/job-1?after=0", "Wait-Ms: 10\r\n")
ITEM = _request("GET /v1/items/job-1?id=a")
END = _request("DELETE /v1/lots/job-1")
# Each conversation by name: what happens, and the answers of workers in the order of their connections.
CASES: dict[str, tuple[Story, tuple[bytes, ...]]] = {
    "live-answer": (_asked(LIVE), (_worker_answer("200 OK", body=b"result"),)),
    "live-declined-then-answered": (
        _asked(LIVE),
        (_worker_answer("503 Busy", "Not-Executed: 1\r\n"), _worker_answer("200 OK", body=b"result")),
    ),
    "live-failure": (_asked(_request("POST /once/x", "", b"q")), (_worker_answer("500 Broken", body=b"oh"),)),
    "live-answer-without-signature": (
        _asked(_request("POST /once/x", "", b"q")),
        (_worker_answer("200 OK", "Request-Id: 7\r\n", b"result"),),
    ),
    "live-encoded-answer": (
        _asked(_request("POST /once/x", "", b"q")),
        (_worker_answer("200 OK", SIGNED + "Content-Encoding: gzip\r\n", b"result"),),
    ),
    "live-all-declined": (_asked(LIVE), (_worker_answer("429 Full", "Not-Executed: 1\r\n"),) * MOST_SENDS),
    "live-no-worker": (_asked(LIVE), ()),
    "live-no-room": (_without_room, ()),
    "stream": (_asked(STREAM), (_stream(1, 2, 3, whole=True),)),
    "stream-resumed": (_asked(STREAM), (_stream(1, 2, whole=False), _stream(3, whole=True))),
    "readiness": (_readiness, ()),
    "without-tables": (_without_tables, ()),
    "unknown-route": (_asked(_request("GET /nowhere")), ()),
    "unknown-route-with-old-tables": (_with_old_tables, ()),
    "draining": (_draining, ()),
    "malformed-requests": (
        _asked(
            b"nonsense\r\n\r\n",
            b"GET /live/x HTTP/1.1\r\nConnection: close\r\n\r\n",
            _request("POST /live/x", "", b"x" * 11),
            _request("GET /live/x", f"X-Long: {'x' * 200}\r\n"),
            limits=ClientLimits(200, 10),
        ),
        (),
    ),
    "batch-submitted": (_batch(_told(batch.JobAccepted()), SUBMIT), ()),
    "batch-quota-full": (_batch(_told(batch.JobRejected(True, 1.5)), SUBMIT), ()),
    "batch-not-taken": (_batch(_told(batch.JobRejected(False, 0.25)), SUBMIT), ()),
    "batch-bad-submission": (
        _batch(
            _told(batch.JobAccepted()),
            _request("POST /jobs/1", "", TWICE),
            b"POST /jobs/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        ),
        (),
    ),
    "batch-results": (_batch(_told(RESULTS), PAGE), ()),
    "batch-results-from-no-position": (
        _batch(_told(RESULTS), _request("GET /v1/lots/j?after=x")),
        (),
    ),
    "batch-item": (_batch(_told(batch.ItemBody("q83v")), ITEM), ()),
    "batch-ended": (_batch(_told(batch.JobEnded()), END), ()),
    "batch-unknown": (_batch(_told(batch.NotFound()), PAGE, ITEM, END), ()),
    "batch-no-store-asked": (_batch(_raise(RequestNotSentError("down")), SUBMIT, PAGE, ITEM, END), ()),
    "batch-no-store-sure": (_batch(_raise(TransportError("lost")), SUBMIT, PAGE, ITEM, END), ()),
}


def known_after_an_answer() -> list[tuple[int, float]]:
    """What the gateway knows of its workers after one has answered: tokens of `PROMPT` to read, and load."""
    known: list[tuple[int, float]] = []

    async def story(played: Played) -> None:
        played.gateway.configure(engine=Engine(capacity=4, kv_tokens=100_000))
        await played.ask(LIVE)
        known.extend(played.gateway.known_of_workers(PROMPT))

    asyncio.run(_play(story, CASES["live-answer"][1]))
    return known


def transcript(name: str) -> str:
    """One conversation."""
    story, answers = CASES[name]
    return asyncio.run(_play(story, answers))
