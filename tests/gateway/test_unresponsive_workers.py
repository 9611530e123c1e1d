"""Workers that control reports as unresponsive get requests only from gateways that they still answer."""

import asyncio

import msgspec
import pytest

from pewterring.distribution.tables import Tables
from pewterring.routing.worker_state import REACHABLE_S
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.gateway.gateway import Behaviour, Gateway, answer_result, run_gateway
from tests.transport.virtual_time import now, run


def set_state(gateway: Gateway, state: str, *worker_ids: str) -> None:
    """Applies tables in which control reports another state of the given workers."""
    subscription = gateway.subscription
    old = subscription.tables
    workers = dict(old.workers)
    for worker_id in worker_ids:
        workers[worker_id] = msgspec.structs.replace(workers[worker_id], state=state)
    subscription.tables = Tables(configuration=old.configuration, workers=workers)
    gateway.program.apply_tables(old, subscription.tables)


async def answer_misdirected(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(421, [])


def slots(gateway: Gateway) -> int:
    return gateway.program.chooser.slots(now(), "s")


def test_a_worker_that_only_control_cannot_reach_keeps_its_requests_and_slots() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            await gateway.request()
            set_state(gateway, "silent", "w0")
            for _ in range(20):
                assert (await gateway.request()).head.status == 200
                await asyncio.sleep(REACHABLE_S / 2)
            assert slots(gateway) == 4

    run(scenario())


def test_an_unresponsive_worker_without_recent_answers_gets_no_requests() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            await gateway.request()
            await asyncio.sleep(REACHABLE_S)
            set_state(gateway, "silent", "w0")
            assert (await gateway.request()).head.status == 503
            assert slots(gateway) == 0
            set_state(gateway, "ready", "w0")
            assert (await gateway.request()).head.status == 200

    run(scenario())


def test_an_unresponsive_worker_that_never_answered_this_gateway_gets_no_requests() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            set_state(gateway, "silent", "w0")
            assert (await gateway.request()).head.status == 503
            assert not gateway.received_requests

    run(scenario())


def test_an_unresponsive_worker_whose_address_was_reused_gets_no_more_requests() -> None:
    behaviours: list[Behaviour] = [answer_result, answer_misdirected]

    async def answer_by_current_behaviour(request: ServerRequest, responder: Responder) -> None:
        await behaviours[0](request, responder)

    async def scenario() -> None:
        async with run_gateway(answer_by_current_behaviour) as gateway:
            await gateway.request()
            set_state(gateway, "silent", "w0")
            behaviours.pop(0)
            assert (await gateway.request()).head.status == 503
            request_count = len(gateway.received_requests)
            await asyncio.sleep(REACHABLE_S / 4)  # less than the time that its last answer counts for
            assert (await gateway.request()).head.status == 503
            assert len(gateway.received_requests) == request_count

    run(scenario())


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_draining_or_removed_worker_gets_no_requests_even_if_it_answers(state: str) -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            await gateway.request()
            set_state(gateway, "silent", "w0")
            assert (await gateway.request()).head.status == 200
            set_state(gateway, state, "w0")
            assert (await gateway.request()).head.status == 503

    run(scenario())


def test_the_slots_of_an_unresponsive_worker_expire_after_its_last_answer() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, answer_result) as gateway:
            gateway.program.chooser.workers["w0"].last_byte_at = now()
            heartbeat_task = asyncio.create_task(gateway.program.send_heartbeats())
            set_state(gateway, "silent", "w0")
            limit = gateway.program.admissions.of("s").ceiling
            assert limit.rating == 8.0
            await asyncio.sleep(2 * REACHABLE_S)
            assert limit.rating == 4.0
            heartbeat_task.cancel()

    run(scenario())
