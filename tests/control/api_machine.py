"""A control machine that is called through its HTTP API, without sockets, replicated group or disk."""

import asyncio

import msgspec

from pewterring.control.api import ControlApi
from pewterring.control.calls import Answer
from pewterring.control.commands import Command, Result
from pewterring.control.errors import StaleCallError
from pewterring.control.leader_state import LeaderState
from pewterring.control.messages import RelayedCall
from pewterring.control.relay import CallRouter
from pewterring.control.service import ControlService
from pewterring.control.state import ControlState
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.lines import RequestNotSentError
from tests.control.records import apply
from tests.transport.http_stand_ins import AnswerRecorder

HEARTBEAT = (
    b'{"backend":"huvo11a","address":"10.128.0.9:8080","zone":"z","capacity":48,"state":"ready","sequence":4}'
)


class Machine:
    """One control machine. Commands are committed immediately; with `failure` set, each raises that error."""

    def __init__(self, ip: str = "10.0.0.1") -> None:
        self.state = ControlState()
        self.proposals = 0
        self.failure: Exception | None = None
        self.leader_ip = ip
        self.other: Machine | None = None
        self.relayed = 0
        self._relays = asyncio.Event()
        self.tables = LeaderState.of(self.state, self, needed_stores=3, heartbeat_s=1.0)
        service = ControlService(self.tables, self, lambda: 0.0)
        self.router = CallRouter(service.handle, self, self.request, ip, lambda: False)

    async def propose(self, command: Command) -> Result:
        self.check_lease()
        self.proposals += 1
        return apply(self.state, command)

    async def read_barrier(self) -> None:
        self.check_lease()

    def check_lease(self) -> None:
        if self.failure is not None:
            raise self.failure

    @property
    def newest_round(self) -> tuple[int, int]:
        return (1, 1)

    def check_round(self, term: int, number: int) -> None:
        self.check_lease()
        if (term, number) != (1, 1):
            raise StaleCallError

    async def request(self, ip: str, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        self.relayed += 1
        self._relays.set()
        if self.other is None or not isinstance(message, RelayedCall):
            raise RequestNotSentError(f"no connection with {ip} for {timeout_s} s")
        return await self.other.router.answer_relayed(message)

    async def has_relayed(self, count: int) -> None:
        while self.relayed < count:
            self._relays.clear()
            await self._relays.wait()

    def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> Answer:
        return asyncio.run(self.call_api(method, path, body, headers))

    async def call_api(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Answer:
        fields = {key.replace("_", "-").encode(): value.encode() for key, value in headers.items()}
        request = ServerRequest(method, path, list(fields.items()), fields, "h", body, 0.0, True, b"1.1")
        caller = AnswerRecorder()
        await ControlApi(self.router.answer)(request, Responder(caller, request))
        return Answer(int(caller.status), caller.body)

    def update(self, base: int, patch: bytes) -> int:
        return self.call("POST", "/v1/Config.Update", patch, base_version=str(base)).status

    def replace(self, base: int, document: bytes) -> int:
        return self.call("POST", "/v1/Config.Replace", document, base_version=str(base)).status
