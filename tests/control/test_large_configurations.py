"""Configurations of several megabytes: the event loop goes on meanwhile, and callers get clear answers.

Guards against the failure of review/6: a valid configuration of 3,000 routes held the leader's event loop for
longer than its lease, so that it was never acknowledged and control kept no leader.
"""

import asyncio
import contextlib
from collections.abc import Awaitable
from typing import TypeVar

import orjson

from pewterring.control.calls import Answer
from tests.configuration.large_documents import large, large_document
from tests.consensus.virtual_time import VirtualTimeLoop
from tests.control.api_machine import HEARTBEAT, Machine

Outcome = TypeVar("Outcome")

DOCUMENT = large()
TURN_BYTES = 128 * 1024  # of a document, at most, in one turn of the event loop


def run(action: Awaitable[Outcome]) -> Outcome:
    """Runs in virtual time, so that no call times out while this process computes."""

    async def awaited() -> Outcome:
        return await action

    with contextlib.closing(VirtualTimeLoop()) as loop:
        return loop.run_until_complete(awaited())


async def replace(machine: Machine, document: bytes, base: int = 0) -> Answer:
    return await machine.call_api("POST", "/v1/Config.Replace", document, {"base_version": str(base)})


async def turns_during(action: Awaitable[Answer]) -> tuple[Answer, int]:
    """Returns the answer, and how often other work of the event loop had its turn meanwhile."""
    turns = 0

    async def count() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    counting = asyncio.create_task(count())
    answer = await action
    counting.cancel()
    return answer, turns


def test_the_event_loop_goes_on_while_a_large_configuration_is_validated() -> None:
    machine = Machine()
    answer, turns = run(turns_during(replace(machine, DOCUMENT)))
    assert answer.status == 200
    assert turns > len(DOCUMENT) // TURN_BYTES
    assert machine.state.version == 5


def test_heartbeats_are_acknowledged_while_a_large_configuration_is_validated() -> None:
    machine = Machine()

    async def scenario() -> None:
        change = asyncio.create_task(replace(machine, DOCUMENT))
        await asyncio.sleep(0)
        heartbeat = await machine.call_api("POST", "/v1/Instances.Heartbeat/i-1", HEARTBEAT, {})
        assert heartbeat.status == 200
        assert not change.done()
        assert (await change).status == 200

    run(scenario())


def test_a_large_invalid_configuration_is_refused_between_other_events() -> None:
    content = large_document()
    content["routes"][-1]["weighted_backends"] = [{"backend": "nobody", "weight": 1}]
    machine = Machine()
    answer, turns = run(turns_during(replace(machine, orjson.dumps(content))))
    assert answer.status == 400
    assert b"routes.2999.weighted_backends.0" in answer.body
    assert turns > len(DOCUMENT) // TURN_BYTES // 2
    assert machine.proposals == 0


def test_of_eight_large_changes_to_one_version_one_is_accepted_and_committed_alone() -> None:
    machine = Machine()

    async def scenario() -> list[int]:
        documents = [large(version) for version in range(5, 13)]
        answers = await asyncio.gather(*(replace(machine, document) for document in documents))
        return sorted(answer.status for answer in answers)

    assert run(scenario()) == [200, *[412] * 7]
    assert machine.proposals == 1


def test_of_eight_large_changes_to_one_version_number_one_is_accepted() -> None:
    machine = Machine()

    async def scenario() -> list[int]:
        documents = [large(routes=routes) for routes in range(200, 208)]
        answers = await asyncio.gather(*(replace(machine, document) for document in documents))
        return sorted(answer.status for answer in answers)

    assert run(scenario()) == [200, *[412] * 7]
    assert machine.proposals == 1


def test_a_repeated_large_change_is_acknowledged_after_later_ones() -> None:
    machine = Machine()

    async def scenario() -> list[int]:
        later = large(version=7)
        return [
            (await replace(machine, document, base)).status
            for document, base in ((DOCUMENT, 0), (later, 5), (DOCUMENT, 0), (later, 5), (large(6), 0))
        ]

    assert run(scenario()) == [200, 200, 200, 200, 412]
    assert machine.proposals == 2
