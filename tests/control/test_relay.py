"""Calls that reach a follower: forwarded to the leader, retried, or answered 503 if no leader answers."""

import asyncio

import msgspec
import orjson
import pytest

from pewterring.control.calls import Answer, Call
from pewterring.control.errors import CommandOutcomeUnknownError, NotLeadingError
from pewterring.control.messages import JoinGroup, RelayedAnswer, RelayedCall
from tests.configuration.documents import encoded
from tests.control.api_machine import HEARTBEAT, Machine
from tests.transport.scripted import warnings_logged


def follower_of(leader: Machine) -> Machine:
    follower = Machine("10.0.0.2")
    follower.leader_ip = "10.0.0.1"
    follower.other = leader
    return follower


def test_a_follower_returns_the_answer_of_the_leader() -> None:
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
    leader.failure = NotLeadingError()
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
    machine.failure = CommandOutcomeUnknownError()
    assert machine.replace(0, encoded()) == 503


def test_a_relayed_call_is_not_forwarded_again() -> None:
    machine = Machine()
    machine.failure = NotLeadingError()
    answer = asyncio.run(machine.router.answer_relayed(RelayedCall("GET", "/v1/Config.Get")))
    assert answer == RelayedAnswer(503, not_leading=True)


def test_an_answer_of_another_message_type_counts_as_no_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pewterring.control.relay.ANSWER_TIMEOUT_S", 0.01)
    follower = follower_of(Machine())

    async def answer_with_another_type(*_: object) -> msgspec.Struct:
        return JoinGroup("10.0.0.1#seed")

    monkeypatch.setattr(follower.router, "_request", answer_with_another_type)
    with warnings_logged() as lines:
        assert follower.call("GET", "/v1/Config.Get").status == 503
    assert lines
    assert all("another type of message" in line for line in lines)
