"""HTTP calls of operators and workers to control, and the answers, without sockets.

The control machine is built only here: one machine that leads and commits immediately.
"""

import asyncio

from pewterring.control.api import ControlApi
from pewterring.control.commands import EndDecommissioning, PutNodes
from pewterring.control.http_server import LIMITS
from pewterring.distribution.messages import NodeRecord
from pewterring.transport.http_request import RequestReader
from pewterring.transport.http_responder import Responder
from tests.control.api_machine import Machine
from tests.control.records import apply, store
from tests.golden.golden_files import DIRECTORY
from tests.golden.http_transcripts import Transcript
from tests.transport.http_stand_ins import AnswerRecorder

INPUTS = DIRECTORY / "inputs"
STORES = 4
CONFIGURATION = (INPUTS / "configuration.json").read_bytes()
PATCH = (INPUTS / "patch.json").read_bytes()
UNKNOWN_SERVICE = (
    b'{"version":1,"routes":[{"hostname":"h","path_prefix":"/","route_type":"idempotent","backend":"x"}],'
    b'"backends":[]}'
)
HEARTBEAT = (
    b'{"backend":"large","address":"10.1.0.50:8080","zone":"a","version":"2","capacity":48,"state":"ready",'
    b'"cold_remaining_ms":1.5,"stage":"warm","models":[{"name":"m","version":2}],"sequence":4}'
)


def _call(line: str, body: bytes = b"", base_version: str = "") -> bytes:
    headers = f"Base-Version: {base_version}\r\n" if base_version else ""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{line} HTTP/1.1\r\nHost: h\r\n{headers}{length}\r\n".encode() + body


# Conversations by name: the calls of each in order, all sent to the same machine.
CASES: dict[str, tuple[bytes, ...]] = {
    "configuration": (
        _call("GET /v1/Config.Get"),
        _call("POST /v1/Config.Replace", CONFIGURATION, "0"),
        _call("GET /v1/Config.Get"),
        _call("POST /v1/Config.Update", PATCH, "9"),
        _call("GET /v1/Config.Get"),
    ),
    "configuration-refused": (
        _call("POST /v1/Config.Replace", CONFIGURATION, "x"),
        _call("POST /v1/Config.Replace", CONFIGURATION, "9"),
        _call("POST /v1/Config.Replace", UNKNOWN_SERVICE, "0"),
        _call("POST /v1/Config.Replace", CONFIGURATION, "3"),
    ),
    "workers": (
        _call("POST /v1/Instances.Heartbeat/w1", HEARTBEAT),
        _call("GET /v1/Tier.Status"),
        _call("POST /v1/Instances.Heartbeat/w1", HEARTBEAT.replace(b":8080", b"")),
        _call("POST /v1/Instances.Deregister/w1"),
        _call("GET /v1/Tier.Status"),
        _call("POST /v1/Instances.Heartbeat/", HEARTBEAT),
    ),
    "retirement": (
        _call("GET /v1/Retire.Get/store-1"),
        _call("POST /v1/Retire.Start/store-1", b'{"duration_s":10}'),
        _call("GET /v1/Retire.Get/store-1"),
        _call("POST /v1/Retire.Start/store-2"),
        _call("POST /v1/Retire.Start/store-9"),
        _call("GET /v1/Tier.Status"),
    ),
    "unknown-paths": (_call("GET /v1/Other"), _call("GET /v1/Config.Replace"), _call("POST /v1/Config.Get")),
}


def _machine() -> Machine:
    machine = Machine()
    stores: tuple[NodeRecord, ...] = tuple(store(number) for number in range(1, STORES + 1))
    apply(machine.state, PutNodes(stores))
    for record in stores:
        machine.tables.nodes.observe(0.0, record)
    return machine


async def _answer(machine: Machine, call: bytes) -> bytes:
    request = RequestReader(LIMITS, 0.0).feed(call)
    assert request is not None, "not a complete request"
    recorder = AnswerRecorder()
    await ControlApi(machine.router.answer)(request, Responder(recorder, request))
    return recorder.answer


async def _record(calls: tuple[bytes, ...]) -> str:
    machine, transcript = _machine(), Transcript()
    for call in calls:
        transcript.add("request", call)
        transcript.add("answer", await _answer(machine, call))
    return transcript.text()


def transcript(name: str) -> str:
    """Plays the conversation of that name and returns its transcript."""
    return asyncio.run(_record(CASES[name]))


def ended_retirement() -> str:
    """The transcript of a status call after a decommissioning has ended."""
    machine = _machine()
    call = _call("GET /v1/Retire.Get/store-1")
    asyncio.run(_answer(machine, _call("POST /v1/Retire.Start/store-1")))
    apply(machine.state, EndDecommissioning("store-1"))
    transcript = Transcript()
    transcript.add("request", call)
    transcript.add("answer", asyncio.run(_answer(machine, call)))
    return transcript.text()
