"""HTTP conversations at the standalone gateway of older deployments, and its calls to discovery.

Only this module of the golden tests builds that gateway, with a policy scripted by each case.
"""

import asyncio
from collections.abc import Callable

from pewterring.standalone.network.connection import Address
from pewterring.standalone.network.discovery import Discovery, Entry, Listing
from pewterring.standalone.policy import interface
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
COMPLETE_LIST = (
    b'{"seq":3,"whole":true,"hosts":[{"host":"w0","dial":"127.0.0.1:9100","site":"a","class":"std","block":2,'
    b'"health":"up","share":1.5,"born_ms":250}]}'
)
CHANGE = b'{"seq":4,"whole":false,"hosts":[{"host":"w0","dial":"127.0.0.1:9100","health":"removed"}]}'
LISTINGS = [
    Listing(3, True, (Entry("w0", Address(IP, 9100), "a", 2, "up", 1.5, 250.0),)),
    Listing(4, False, (Entry("w0", Address(IP, 9100), "", 0, "removed", 1.0, 0.0),)),
]
Step = Callable[[interface.Event], list[interface.Action]]


def _refuse(retry_after: float) -> Step:
    return lambda event: (
        [interface.Refuse(event.id, retry_after)] if isinstance(event, interface.Request) else []
    )


def _fail(event: interface.Event) -> list[interface.Action]:
    return [interface.Fail(event.id)] if isinstance(event, interface.Request) else []


def _fail_without_retry(event: interface.Event) -> list[interface.Action]:
    return [interface.Fail(event.id)] if isinstance(event, interface.Outcome) and not event.no_more else []


# Each conversation by name: the steps of the policy, the requests, and the workers' responses in order.
CASES: dict[str, tuple[tuple[Step, ...], tuple[bytes, ...], tuple[bytes, ...]]] = {
    "answer": ((send_to(1),), (GET,), (SERVED,)),
    "answer-to-a-request-with-a-key": ((send_to(1),), (TOKEN,), (SERVED,)),
    "worker-declines": ((send_to(1), _fail_without_retry), (GET,), (BUSY,)),
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
    """Returns the transcript of one conversation."""
    return asyncio.run(_play(*CASES[name]))


def _json_answer(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
    return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


async def _follow_discovery() -> tuple[str, list[Listing]]:
    transcript = Transcript()
    received: asyncio.Queue[Listing] = asyncio.Queue()
    answers = [_json_answer(COMPLETE_LIST), _json_answer(CHANGE)]
    async with asyncio.timeout(PATIENCE), RecordingWorker(transcript, answers) as agent:
        address = Address(IP, await agent.listen())
        discovery = Discovery(asyncio.get_running_loop(), address, received.put_nowait, lambda _: None)
        discovery.start(None)
        listings = [await received.get() for _ in answers]
        calls = transcript.text()
        discovery.close()
    return calls, listings


def discovery_calls() -> tuple[str, list[Listing]]:
    """Returns the transcript of the calls for the complete list and a change, and the parsed listings."""
    return asyncio.run(_follow_discovery())
