"""HTTP conversations with a gateway: live requests, batch calls, readiness and refusals.

Only this module of the golden tests builds a gateway. The clock of the gateway is frozen, so that times in
headers are exact.
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

TEST_TIMEOUT_S = 20.0
ROUTES = (
    route(RouteType.IDEMPOTENT, "/live/"),
    route(RouteType.STREAMING, "/stream/", resumable=True),
    route(RouteType.NON_IDEMPOTENT, "/once/"),
    route(RouteType.BATCH_JOB, "/jobs/"),
)
WORKERS = 2
CALL_S = 5.0  # time that a store takes; longer than the budget of any call, so that each has one attempt
MAX_SENDS = 4  # attempts of one request if all workers decline it
HEAD = "Host: h\r\nRequest-Id: 7\r\nConnection: close\r\n"
SIGNED = "Request-Id: 7\r\nResponse-Signature: stamp\r\nInstance-Load: 3,2\r\n"
ITEMS = b'{"requests":[{"id":"a","path":"/jobs/1","headers":{"Model-Id":"m"},"body":"q83v","tokens":5}]}'
DUPLICATE_ITEMS = ITEMS.replace(b"}]", b"},%b]" % ITEMS[len(b'{"requests":[') : -len(b"]}")])
Reply = Callable[[msgspec.Struct], msgspec.Struct]


def _request(line: str, headers: str = "", body: bytes = b"") -> bytes:
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{line} HTTP/1.1\r\n{HEAD}{headers}{length}\r\n".encode("latin-1") + body


def _worker_answer(status: str, headers: str = SIGNED, body: bytes = b"") -> bytes:
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


def _stream(*events: int, complete: bool) -> bytes:
    head = f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in events]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head.encode() + chunks + (b"0\r\n\r\n" if complete else b"")


LIVE = _request(
    "POST /live/x?q=1",
    "Request-Timeout-Ms: 4000\r\nPrompt-Prefix: 9c2e41:300,5d07b8:240\r\nToken-Usage: 540,20\r\n"
    "Expect-Version: 2\r\nModel-Id: m\r\nTarget-Instance: other\r\nX-Own: kept\r\n",
    b"question",
)
PROMPT = read_prompt("9c2e41:300,5d07b8:240", "540,20")  # the prompt of `LIVE`
STREAM = _request("POST /stream/x", "Request-Timeout-Ms: 4000\r\nAccept: text/event-stream\r\n", b"question")


@dataclass
class Conversation:
    """A gateway whose clock is frozen, and the transcript of its conversations."""

    gateway: Gateway
    transcript: Transcript

    async def request(self, request: bytes) -> None:
        """Sends a request of a client and records the conversation."""
        await ask(self.transcript, self.gateway.port, request)

    async def request_readiness(self, request: bytes) -> None:
        """Sends a request to the address of readiness and metrics."""
        await ask(self.transcript, self.gateway.ready_port, request)


Scenario = Callable[[Conversation], Awaitable[None]]


async def _run_scenario(scenario: Scenario, answers: tuple[bytes, ...]) -> str:
    frozen_time_s = float(int(asyncio.get_running_loop().time()))
    program = GatewayProgram(settings(), random.Random(1), lambda: frozen_time_s)
    transcript = Transcript()
    conversation = Conversation(Gateway(program, ROUTES), transcript)
    async with asyncio.timeout(TEST_TIMEOUT_S), RecordingWorker(transcript, answers) as worker:
        await conversation.gateway.start(())
        for number in range(WORKERS if answers else 0):
            address = f"{IP}:{await worker.listen()}"
            record = WorkerRecord(f"w{number}", "s", address, "z", 4, "ready")
            conversation.gateway.workers[record.id] = record
        try:
            await scenario(conversation)
        finally:
            await conversation.gateway.stop()
    return transcript.text()


def _send_requests(*requests: bytes, limits: ClientLimits | None = None) -> Scenario:
    async def scenario(conversation: Conversation) -> None:
        conversation.gateway.configure(limits)
        for request in requests:
            await conversation.request(request)

    return scenario


async def _readiness(conversation: Conversation) -> None:
    ready = _request("GET /v1/readyz")
    await conversation.request_readiness(ready)
    conversation.gateway.configure()
    await conversation.request_readiness(ready)
    await conversation.request_readiness(_request("GET /other"))


async def _without_tables(conversation: Conversation) -> None:
    await conversation.request(_request("POST /live/x", "Request-Timeout-Ms: 1\r\n", b"question"))


async def _with_stale_tables(conversation: Conversation) -> None:
    conversation.gateway.configure()
    conversation.gateway.expire_tables()
    await conversation.request(_request("GET /nowhere"))


async def _without_capacity(conversation: Conversation) -> None:
    conversation.gateway.configure()
    conversation.gateway.exhaust_capacity("s")
    await conversation.request(LIVE)


async def _draining(conversation: Conversation) -> None:
    conversation.gateway.configure()
    conversation.gateway.begin_drain(-1000.0, 1.0)
    await conversation.request(LIVE)
    await conversation.request(_request("POST /jobs/1", "", ITEMS))


class _Links:
    """Replaces the links to stores; each call advances the clock."""

    def __init__(self, reply: Reply, transcript: Transcript) -> None:
        self.reply = reply
        self.transcript = transcript
        self.now = 0.0

    async def request(self, _ip: str, message: msgspec.Struct, _timeout_s: float) -> msgspec.Struct:
        """Records the message and returns the answer of `reply`."""
        self.now += CALL_S
        self.transcript.add("message to the store", msgspec.json.encode(message))
        return self.reply(message)


def _batch(reply: Reply, *requests: bytes) -> Scenario:
    async def scenario(conversation: Conversation) -> None:
        conversation.gateway.configure()
        links = _Links(reply, conversation.transcript)
        store = NodeRecord("s1", "store", "10.0.0.1", "z", "incarnation", "10.0.0.1#m")
        tables = Tables(nodes=(store,))
        calls = BatchCalls(cast(LinkPool, links), lambda: tables, random.Random(1), lambda: links.now)
        conversation.gateway.set_batch_calls(calls)
        for request in requests:
            await conversation.request(request)

    return scenario


def _always_reply(answer: msgspec.Struct) -> Reply:
    return lambda _message: answer


def _raise(error: Exception) -> Reply:
    def reply(_message: msgspec.Struct) -> msgspec.Struct:
        raise error

    return reply


RESULTS = batch.ResultPage(
    2, 2, (batch.ItemResult("a", "succeeded", "some text"), batch.ItemResult("b", "dead_letter", ""))
)
SUBMIT_JOB = _request("POST /jobs/1", "", ITEMS)
READ_PAGE = _request("GET /v1/lots/job-1?after=0", "Wait-Ms: 10\r\n")
READ_ITEM = _request("GET /v1/items/job-1?id=a")
END_JOB = _request("DELETE /v1/lots/job-1")
# Each conversation by name: the scenario, and the answers of the workers in the order of their connections.
CASES: dict[str, tuple[Scenario, tuple[bytes, ...]]] = {
    "live-answer": (_send_requests(LIVE), (_worker_answer("200 OK", body=b"result"),)),
    "live-declined-then-answered": (
        _send_requests(LIVE),
        (_worker_answer("503 Busy", "Not-Executed: 1\r\n"), _worker_answer("200 OK", body=b"result")),
    ),
    "live-failure": (
        _send_requests(_request("POST /once/x", "", b"q")),
        (_worker_answer("500 Broken", body=b"oh"),),
    ),
    "live-answer-without-signature": (
        _send_requests(_request("POST /once/x", "", b"q")),
        (_worker_answer("200 OK", "Request-Id: 7\r\n", b"result"),),
    ),
    "live-encoded-answer": (
        _send_requests(_request("POST /once/x", "", b"q")),
        (_worker_answer("200 OK", SIGNED + "Content-Encoding: gzip\r\n", b"result"),),
    ),
    "live-all-declined": (
        _send_requests(LIVE),
        (_worker_answer("429 Full", "Not-Executed: 1\r\n"),) * MAX_SENDS,
    ),
    "live-no-worker": (_send_requests(LIVE), ()),
    "live-no-room": (_without_capacity, ()),
    "stream": (_send_requests(STREAM), (_stream(1, 2, 3, complete=True),)),
    "stream-resumed": (_send_requests(STREAM), (_stream(1, 2, complete=False), _stream(3, complete=True))),
    "readiness": (_readiness, ()),
    "without-tables": (_without_tables, ()),
    "unknown-route": (_send_requests(_request("GET /nowhere")), ()),
    "unknown-route-with-old-tables": (_with_stale_tables, ()),
    "draining": (_draining, ()),
    "malformed-requests": (
        _send_requests(
            b"nonsense\r\n\r\n",
            b"GET /live/x HTTP/1.1\r\nConnection: close\r\n\r\n",
            _request("POST /live/x", "", b"x" * 11),
            _request("GET /live/x", f"X-Long: {'x' * 200}\r\n"),
            limits=ClientLimits(200, 10),
        ),
        (),
    ),
    "batch-submitted": (_batch(_always_reply(batch.JobAccepted()), SUBMIT_JOB), ()),
    "batch-quota-full": (_batch(_always_reply(batch.JobRejected(True, 1.5)), SUBMIT_JOB), ()),
    "batch-not-taken": (_batch(_always_reply(batch.JobRejected(False, 0.25)), SUBMIT_JOB), ()),
    "batch-bad-submission": (
        _batch(
            _always_reply(batch.JobAccepted()),
            _request("POST /jobs/1", "", DUPLICATE_ITEMS),
            b"POST /jobs/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        ),
        (),
    ),
    "batch-results": (_batch(_always_reply(RESULTS), READ_PAGE), ()),
    "batch-results-from-no-position": (
        _batch(_always_reply(RESULTS), _request("GET /v1/lots/j?after=x")),
        (),
    ),
    "batch-item": (_batch(_always_reply(batch.ItemBody("q83v")), READ_ITEM), ()),
    "batch-ended": (_batch(_always_reply(batch.JobEnded()), END_JOB), ()),
    "batch-unknown": (_batch(_always_reply(batch.NotFound()), READ_PAGE, READ_ITEM, END_JOB), ()),
    "batch-no-store-asked": (
        _batch(_raise(RequestNotSentError("down")), SUBMIT_JOB, READ_PAGE, READ_ITEM, END_JOB),
        (),
    ),
    "batch-no-store-sure": (
        _batch(_raise(TransportError("lost")), SUBMIT_JOB, READ_PAGE, READ_ITEM, END_JOB),
        (),
    ),
}


def known_after_an_answer() -> list[tuple[int, float]]:
    """Returns for each worker the uncached tokens of `PROMPT` and its load, after one worker has answered."""
    known: list[tuple[int, float]] = []

    async def scenario(conversation: Conversation) -> None:
        conversation.gateway.configure(engine=Engine(capacity=4, kv_tokens=100_000))
        await conversation.request(LIVE)
        known.extend(conversation.gateway.worker_estimates(PROMPT))

    asyncio.run(_run_scenario(scenario, CASES["live-answer"][1]))
    return known


def transcript(name: str) -> str:
    """Runs one conversation and returns its transcript."""
    scenario, answers = CASES[name]
    return asyncio.run(_run_scenario(scenario, answers))
