"""Calls of the operator and the workers, without sockets."""

import asyncio

import msgspec
import orjson
import pytest

from pewterring.control.api import ControlApi
from pewterring.control.calls import Answer, Call
from pewterring.control.commands import Command, EndRetirement, PutNodes, Result
from pewterring.control.errors import CallTooOld, NotLeading, OutcomeUnsure
from pewterring.control.leader_state import LeaderState
from pewterring.control.messages import RelayedAnswer, RelayedCall
from pewterring.control.relay import CallRouter
from pewterring.control.service import ControlService
from pewterring.control.state import ControlState
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.lines import RequestNotSent
from tests.configuration.documents import document, encoded, with_route
from tests.control.records import apply, store
from tests.transport.http_stand_ins import AnswerTaker

HEARTBEAT = (
    b'{"backend":"huvo11a","address":"10.128.0.9:8080","zone":"z","capacity":48,"state":"ready","sequence":4}'
)


class Machine:
    """One control machine; commands are committed at once unless `failure` says otherwise."""

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
            raise CallTooOld

    async def request(self, ip: str, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        self.relayed += 1
        self._relays.set()
        if self.other is None or not isinstance(message, RelayedCall):
            raise RequestNotSent(f"no connection with {ip} for {timeout_s} s")
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
        caller = AnswerTaker()
        await ControlApi(self.router.answer)(request, Responder(caller, request))
        return Answer(int(caller.status), caller.body)

    def update(self, base: int, patch: bytes) -> int:
        return self.call("POST", "/v1/Config.Update", patch, base_version=str(base)).status

    def replace(self, base: int, document: bytes) -> int:
        return self.call("POST", "/v1/Config.Replace", document, base_version=str(base)).status


def test_a_heartbeat_is_acknowledged_and_committed_once() -> None:
    machine = Machine()
    for _ in range(3):
        answer = machine.call("POST", "/v1/Instances.Heartbeat/i-1", HEARTBEAT)
        assert answer == Answer(200, b"{}")
    assert machine.proposals == 1
    assert machine.state.workers["i-1"].service == "huvo11a"
    assert machine.call("POST", "/v1/Instances.Deregister/i-1").status == 200
    assert machine.call("POST", "/v1/Instances.Deregister/i-1").status == 200
    assert machine.call("POST", "/v1/Instances.Heartbeat/i-1", HEARTBEAT).status == 200
    assert not machine.state.workers
    assert machine.call("POST", "/v1/Instances.Heartbeat/i-1", b"{").status == 400


def test_a_configuration_is_taken_read_and_taken_again() -> None:
    machine = Machine()
    assert machine.call("GET", "/v1/Config.Get").status == 404
    order = encoded(version=5).replace(b",", b",\n")
    assert machine.replace(0, order) == 200
    assert machine.replace(0, order) == 200
    answer = machine.call("GET", "/v1/Config.Get")
    assert answer.status == 200
    assert orjson.loads(answer.body) == orjson.loads(order)
    assert machine.replace(5, encoded(version=7)) == 200
    assert machine.replace(0, order) == 200
    assert machine.replace(5, encoded(version=8)) == 412
    assert machine.replace(7, encoded(version=7, limits={})) == 400
    assert machine.state.version == 7


def test_a_patch_is_taken_read_and_taken_again() -> None:
    machine = Machine()
    patch = b'{"version":9,"delete":{"routes":["r-1"]}}'
    assert machine.replace(0, encoded(version=7)) == 200
    assert machine.update(7, patch) == 200
    answer = machine.call("GET", "/v1/Config.Get")
    expected = document(version=9, routes=document()["routes"][1:])
    assert orjson.loads(answer.body) == expected
    assert machine.update(7, patch.replace(b",", b",\n ")) == 200
    assert machine.update(9, patch) == 400
    assert machine.update(7, patch.replace(b"9", b"10")) == 412
    assert machine.replace(7, orjson.dumps(expected)) == 412  # the same result is another order
    assert machine.replace(9, encoded(version=11)) == 200
    assert machine.update(7, patch) == 200
    assert machine.state.version == 11
    assert machine.proposals == 5


def test_a_patch_is_refused_where_its_result_is_invalid() -> None:
    machine = Machine()
    assert machine.replace(0, encoded(version=7)) == 200
    assert machine.update(7, b'{"version":9,"delete":{"backends":["huvo11a"]}}') == 400
    assert machine.update(7, b'{"version":9,"delete":') == 400
    assert machine.call("POST", "/v1/Config.Update", b'{"version":9}').status == 400
    assert machine.call("GET", "/v1/Config.Update").status == 405
    assert machine.state.version == 7


def test_a_repeat_writes_nothing_and_is_acknowledged_by_a_leader_alone() -> None:
    machine = Machine()
    assert machine.replace(0, encoded(version=5)) == 200
    assert machine.replace(5, encoded(version=6)) == 200
    for _ in range(3):
        assert machine.replace(0, encoded(version=5)) == 200
        assert machine.replace(5, encoded(version=6)) == 200
    assert machine.proposals == 2
    machine.failure = NotLeading()
    again = RelayedCall("POST", "/v1/Config.Replace", "5", encoded(version=6), 1, 1)
    assert asyncio.run(machine.router.answer_relayed(again)) == RelayedAnswer(503, not_leading=True)


@pytest.mark.parametrize(
    "body", [b"", encoded()[:-9], with_route(0, timeout_ms=0), with_route(1, backend="nobody")]
)
def test_an_invalid_configuration_is_refused(body: bytes) -> None:
    machine = Machine()
    assert machine.replace(0, body) == 400
    assert machine.proposals == 0


@pytest.mark.parametrize(
    "more",
    [
        b',"version":9}',  # two readers could take it for two versions
        b',"new":"a\nb"}',  # a line end inside a string
        b',"new":' + b"[" * 300 + b"]" * 300 + b"}",
    ],
)
def test_a_document_that_readers_could_understand_differently_is_refused(more: bytes) -> None:
    machine = Machine()
    assert machine.replace(0, encoded()[:-1] + more) == 400
    assert machine.proposals == 0


@pytest.mark.parametrize(
    "text", ["", "-1", "+0", "0x0", "0.0", "1e0", "0 0", "0,0", "\u00b2", "None", "1" * 21]
)
def test_a_base_version_is_a_number(text: str) -> None:
    machine = Machine()
    assert machine.call("POST", "/v1/Config.Replace", encoded()).status == 400
    body, headers = encoded(), {"base_version": text}
    assert machine.call("POST", "/v1/Config.Replace", body, **headers).status == 400
    assert machine.proposals == 0


def test_a_base_version_may_have_blanks_around_it_and_leading_zeros() -> None:
    for text in (" 0 ", "000", "0" * 5000):
        assert Machine().call("POST", "/v1/Config.Replace", encoded(), base_version=text).status == 200


@pytest.mark.parametrize("base", [7, 8, 2**63, 10**19, 10**20 - 1, "9" * 5000])
def test_a_version_that_is_not_above_its_base_is_refused(base: object) -> None:
    machine = Machine()
    assert machine.replace(0, encoded(version=7)) == 200
    assert (
        machine.call("POST", "/v1/Config.Replace", encoded(version=7), base_version=str(base)).status == 400
    )
    assert machine.proposals == 1
    assert machine.replace(0, encoded(version=7)) == 200


def test_an_order_too_old_to_be_remembered_gets_no_clear_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pewterring.control.state.REMEMBERED_VERSIONS", 2)
    machine = Machine()
    for version in (1, 2, 3):
        assert machine.replace(version - 1, encoded(version=version)) == 200
    assert machine.replace(0, encoded(version=1)) == 503
    assert machine.replace(1, encoded(version=2)) == 200
    assert machine.replace(0, encoded(version=2, limits={})) == 412


def test_an_unknown_path_or_method_is_refused() -> None:
    machine = Machine()
    assert machine.call("GET", "/v1/Other").status == 404
    assert machine.call("GET", "/v1/Config.Replace").status == 405
    assert machine.call("POST", "/v1/Instances.Heartbeat/").status == 404


def test_a_decommissioning_is_started_and_read() -> None:
    machine = Machine()
    stores = tuple(store(number) for number in (1, 2, 3, 4))
    for node in stores:
        machine.tables.nodes.hear(0.0, node)
    apply(machine.state, PutNodes(stores))
    assert machine.call("GET", "/v1/Retire.Get/store-1").status == 404
    assert machine.call("POST", "/v1/Retire.Start/store-1", b'{"duration_s":10}').status == 200
    assert machine.call("GET", "/v1/Retire.Get/store-1").body == b'{"state":"running"}'
    assert machine.call("POST", "/v1/Retire.Start/store-1").body == b'{"state":"running"}'
    assert machine.call("POST", "/v1/Retire.Start/store-9").status == 404
    assert machine.call("POST", "/v1/Retire.Start/store-2").status == 409
    apply(machine.state, EndRetirement("store-1"))
    again = machine.call("POST", "/v1/Retire.Start/store-1")
    assert again == Answer(200, b'{"state":"succeeded"}')
    assert machine.call("GET", "/v1/Retire.Get/store-1") == again


def follower_of(leader: Machine) -> Machine:
    follower = Machine("10.0.0.2")
    follower.leader_ip = "10.0.0.1"
    follower.other = leader
    return follower


def test_a_follower_answers_what_the_leader_says() -> None:
    leader = Machine()
    follower = follower_of(leader)
    assert follower.replace(0, encoded(version=5)) == 200
    assert follower.replace(0, encoded(version=6)) == 412
    assert leader.state.version == 5
    assert follower.state.version == 0
    assert orjson.loads(follower.call("GET", "/v1/Config.Get").body)["version"] == 5


def test_a_follower_looks_for_the_leader_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pewterring.control.relay.LEADER_RETRY_INTERVAL_S", 0.0)
    leader = Machine()
    leader.failure = NotLeading()
    follower = follower_of(leader)

    async def scenario() -> Answer:
        call = asyncio.create_task(
            follower.router.answer(Call("POST", "/v1/Instances.Heartbeat/i-1", "", HEARTBEAT))
        )
        await follower.has_relayed(3)
        leader.failure = None
        return await call

    assert asyncio.run(scenario()).status == 200


@pytest.mark.parametrize("leader_ip", ["", "10.0.0.1", "10.0.0.2"])
def test_without_an_answering_leader_nothing_is_acknowledged(
    leader_ip: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("pewterring.control.relay.ANSWER_TIMEOUT_S", 0.0)
    machine = Machine("10.0.0.2")
    machine.leader_ip = leader_ip
    machine.failure = OutcomeUnsure()
    assert machine.replace(0, encoded()) == 503


def test_a_relayed_call_is_not_passed_on_again() -> None:
    machine = Machine()
    machine.failure = NotLeading()
    answer = asyncio.run(machine.router.answer_relayed(RelayedCall("GET", "/v1/Config.Get")))
    assert answer == RelayedAnswer(503, not_leading=True)
