"""Calls of operators and workers through the HTTP API, without sockets."""

import asyncio

import orjson
import pytest

from pewterring.control.api import ControlApi
from pewterring.control.calls import Answer, Call, error_answer
from pewterring.control.commands import EndDecommissioning, PutNodes
from pewterring.control.errors import NotLeadingError
from pewterring.control.messages import RelayedAnswer, RelayedCall
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.configuration.documents import document, encoded, with_route
from tests.control.api_machine import HEARTBEAT, Machine
from tests.control.records import apply, store
from tests.transport.http_stand_ins import AnswerRecorder


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


def test_a_configuration_is_accepted_read_and_acknowledged_again() -> None:
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


def test_a_patch_is_accepted_read_and_acknowledged_again() -> None:
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
    assert (
        machine.replace(7, orjson.dumps(expected)) == 412
    )  # the same result as a complete document is another request
    assert machine.replace(9, encoded(version=11)) == 200
    assert machine.update(7, patch) == 200
    assert machine.state.version == 11
    assert machine.proposals == 5


def test_a_patch_with_an_invalid_result_is_rejected() -> None:
    machine = Machine()
    assert machine.replace(0, encoded(version=7)) == 200
    assert machine.update(7, b'{"version":9,"delete":{"backends":["huvo11a"]}}') == 400
    assert machine.update(7, b'{"version":9,"delete":') == 400
    assert machine.call("POST", "/v1/Config.Update", b'{"version":9}').status == 400
    assert machine.call("GET", "/v1/Config.Update").status == 405
    assert machine.state.version == 7


def test_a_repetition_is_not_logged_and_is_acknowledged_only_by_a_leader() -> None:
    machine = Machine()
    assert machine.replace(0, encoded(version=5)) == 200
    assert machine.replace(5, encoded(version=6)) == 200
    for _ in range(3):
        assert machine.replace(0, encoded(version=5)) == 200
        assert machine.replace(5, encoded(version=6)) == 200
    assert machine.proposals == 2
    machine.failure = NotLeadingError()
    repeated = RelayedCall("POST", "/v1/Config.Replace", "5", encoded(version=6), 1, 1)
    assert asyncio.run(machine.router.answer_relayed(repeated)) == RelayedAnswer(503, not_leading=True)


@pytest.mark.parametrize(
    "body", [b"", encoded()[:-9], with_route(0, timeout_ms=0), with_route(1, backend="nobody")]
)
def test_an_invalid_configuration_is_rejected(body: bytes) -> None:
    machine = Machine()
    assert machine.replace(0, body) == 400
    assert machine.proposals == 0


@pytest.mark.parametrize(
    "suffix",
    [
        b',"version":9}',  # duplicate key: readers may disagree about the version
        b',"new":"a\nb"}',  # a line end inside a string
        b',"new":' + b"[" * 300 + b"]" * 300 + b"}",
    ],
)
def test_an_ambiguous_document_is_rejected(suffix: bytes) -> None:
    machine = Machine()
    assert machine.replace(0, encoded()[:-1] + suffix) == 400
    assert machine.proposals == 0


@pytest.mark.parametrize(
    "text", ["", "-1", "+0", "0x0", "0.0", "1e0", "0 0", "0,0", "\u00b2", "None", "1" * 21]
)
def test_a_base_version_must_be_a_number(text: str) -> None:
    machine = Machine()
    assert machine.call("POST", "/v1/Config.Replace", encoded()).status == 400
    body, headers = encoded(), {"base_version": text}
    assert machine.call("POST", "/v1/Config.Replace", body, **headers).status == 400
    assert machine.proposals == 0


def test_a_base_version_may_have_blanks_around_it_and_leading_zeros() -> None:
    for text in (" 0 ", "000", "0" * 5000):
        assert Machine().call("POST", "/v1/Config.Replace", encoded(), base_version=text).status == 200


@pytest.mark.parametrize("base", [7, 8, 2**63, 10**19, 10**20 - 1, "9" * 5000])
def test_a_version_that_is_not_above_its_base_is_rejected(base: object) -> None:
    machine = Machine()
    assert machine.replace(0, encoded(version=7)) == 200
    assert (
        machine.call("POST", "/v1/Config.Replace", encoded(version=7), base_version=str(base)).status == 400
    )
    assert machine.proposals == 1
    assert machine.replace(0, encoded(version=7)) == 200


def test_a_request_too_old_to_be_remembered_is_answered_503(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pewterring.control.configuration_history.REMEMBERED_VERSIONS", 2)
    machine = Machine()
    for version in (1, 2, 3):
        assert machine.replace(version - 1, encoded(version=version)) == 200
    assert machine.replace(0, encoded(version=1)) == 503
    assert machine.replace(1, encoded(version=2)) == 200
    assert machine.replace(0, encoded(version=2, limits={})) == 412


def test_an_unknown_path_or_method_is_rejected() -> None:
    machine = Machine()
    assert machine.call("GET", "/v1/Other").status == 404
    assert machine.call("GET", "/v1/Config.Replace").status == 405
    assert machine.call("POST", "/v1/Instances.Heartbeat/").status == 404


def test_a_decommissioning_is_started_and_read() -> None:
    machine = Machine()
    stores = tuple(store(number) for number in (1, 2, 3, 4))
    for node in stores:
        machine.tables.nodes.observe(0.0, node)
    apply(machine.state, PutNodes(stores))
    assert machine.call("GET", "/v1/Retire.Get/store-1").status == 404
    assert machine.call("POST", "/v1/Retire.Start/store-1", b'{"duration_s":10}').status == 200
    assert machine.call("GET", "/v1/Retire.Get/store-1").body == b'{"state":"running"}'
    assert machine.call("POST", "/v1/Retire.Start/store-1").body == b'{"state":"running"}'
    assert machine.call("POST", "/v1/Retire.Start/store-9").status == 404
    assert machine.call("POST", "/v1/Retire.Start/store-2").status == 409
    apply(machine.state, EndDecommissioning("store-1"))
    repeated = machine.call("POST", "/v1/Retire.Start/store-1")
    assert repeated == Answer(200, b'{"state":"succeeded"}')
    assert machine.call("GET", "/v1/Retire.Get/store-1") == repeated


def test_callers_that_get_503_are_told_when_to_come_back() -> None:
    async def unavailable(_call: Call) -> Answer:
        return error_answer(503, "no leader")

    async def scenario() -> bytes:
        request = ServerRequest("GET", "/v1/Config.Get", [], {}, "h", b"", 0.0, True, b"1.1")
        caller = AnswerRecorder()
        await ControlApi(unavailable)(request, Responder(caller, request))
        return caller.answer

    assert b"\r\nretry-after: 1\r\n" in asyncio.run(scenario()).lower()
