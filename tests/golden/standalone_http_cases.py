"""HTTP conversations at the standalone gateway of older deployments, and its calls to discovery.

This is the one place where it is built, around a decision module that does what a case says.
"""

import asyncio
from collections.abc import Callable

from pewterring.standalone.network.connection import Address
from pewterring.standalone.network.discovery import Discovery, Entry, Listing
from pewterring.standalone.policy import interface as i
from tests.golden.http_transcripts import IP, RecordingWorker, Transcript, ask
from tests.standalone.stand_ins import PATIENCE, Rig, Script, send_to

PATH = "/api/00000000b4d65521"
HEAD = (
    "Host: origin.svc\r\nX-Request-Id: 00000000000000a1\r\nX-Class: pure\r\nPlan: free\r\n"
    "X-Deadline-Ms: 4000\r\nQuota-Info: units=2,spread=3,first=1\r\nX-Retry: 1\r\nX-Own: kept\r\n"
    "Connection: close\r\n"
)
GET = f"GET {PATH} HTTP/1.1\r\n{HEAD}\r\n".encode()
TOKEN = (
    f"POST {PATH} HTTP/1.1\r\n{HEAD}Idempotency-Key: k-1\r\nContent-Length: 4\r\n\r\nbody".encode()
).replace(b"X-Class: pure", b"X-Class: token-all")
SERVED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Own: kept\r\nContent-Length: 6\r\n\r\nserved"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
WHOLE_LIST = (
    b'{"seq":3,"whole":true,"hosts":[{"host":"w0","dial":"127.0.0.1:9100","site":"a","class":"std","block":2,'
    b'"health":"up","share":1.5,"born_ms":250}]}'
)
CHANGE = b'{"seq":4,"whole":false,"hosts":[{"host":"w0","dial":"127.0.0.1:9100","health":"removed"}]}'
LISTINGS = [
    Listing(3, True, (Entry("w0", Address(IP, 9100), "a", 2, "up", 1.5, 250.0),)),
    Listing(4, False, (Entry("w0", Address(IP, 9100), "", 0, "removed", 1.0, 0.0),)),
]
Step = Callable[[i.Event], list[i.Action]]


def _refuse(retry_after: float) -> Step:
    return lambda event: [i.Refuse(event.id, retry_after)] if isinstance(event, i.Request) else []


def _fail(event: i.Event) -> list[i.Action]:
    return [i.Fail(event.id)] if isinstance(event, i.Request) else []


def _end(event: i.Event) -> list[i.Action]:
    return [i.Fail(event.id)] if isinstance(event, i.Outcome) and not event.no_more else []


# Each conversation by name: what the module does, the requests, and the workers' answers in their order.
CASES: dict[str, tuple[tuple[Step, ...], tuple[bytes, ...], tuple[bytes, ...]]] = {
    "answer": ((send_to(1),), (GET,), (SERVED,)),
    "answer-to-a-request-with-a-key": ((send_to(1),), (TOKEN,), (SERVED,)),
    "worker-declines": ((send_to(1), _end), (GET,), (BUSY,)),
    "refused": ((_refuse(0.0),), (GET,), ()),
    "refused-with-advice": ((_refuse(1.25),), (GET,), ()),
    "failed": ((_fail,), (GET,), ()),
    "health": ((), (b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",), ()),
    "malformed": (
        (),
        (
            b"nonsense\r\n\r\n",
            GET.replace(b"X-Request-Id: 00000000000000a1\r\n", b""),
            GET.replace(b"Plan: free", b"Plan: other"),
            GET.replace(b"X-Deadline-Ms: 4000", b"X-Deadline-Ms: soon"),
            GET.replace(b"units=2", b"units=0"),
            GET.replace(b"GET", b"DELETE"),
            TOKEN.replace(b"Idempotency-Key: k-1\r\n", b""),
        ),
        (),
    ),
}


async def _play(steps: tuple[Step, ...], requests: tuple[bytes, ...], answers: tuple[bytes, ...]) -> str:
    transcript = Transcript()
    async with asyncio.timeout(PATIENCE), RecordingWorker(transcript, answers) as worker:
        address = Address(IP, await worker.listen())
        async with Rig(Script(*steps), address) as rig:
            for request in requests:
                await ask(transcript, rig.address.port, request)
    return transcript.text()


def transcript(name: str) -> str:
    """One conversation."""
    return asyncio.run(_play(*CASES[name]))


def _json_answer(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
    return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


async def _follow_discovery() -> tuple[str, list[Listing]]:
    transcript = Transcript()
    told: asyncio.Queue[Listing] = asyncio.Queue()
    answers = [_json_answer(WHOLE_LIST), _json_answer(CHANGE)]
    async with asyncio.timeout(PATIENCE), RecordingWorker(transcript, answers) as agent:
        address = Address(IP, await agent.listen())
        discovery = Discovery(asyncio.get_running_loop(), address, told.put_nowait, lambda _: None)
        discovery.start(None)
        listings = [await told.get() for _ in answers]
        said = transcript.text()
        discovery.close()
    return said, listings


def discovery_calls() -> tuple[str, list[Listing]]:
    """The calls for the whole list and for what follows it, and the listings that were read."""
    return asyncio.run(_follow_discovery())
