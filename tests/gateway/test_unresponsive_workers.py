"""Workers that control does not hear: gateways that they answer go on sending to them, and only those."""

import asyncio

import msgspec
import pytest

from pewterring.distribution.tables import Tables
from pewterring.routing.worker_state import REACHABLE_S
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.gateway.gateway import Behaviour, Gateway, answered, gateway
from tests.transport.virtual_time import now, run


def set_state(tier: Gateway, state: str, *names: str) -> None:
    """Puts tables in force in which control gives workers another state."""
    subscription = tier.subscription
    old = subscription.tables
    workers = dict(old.workers)
    for name in names:
        workers[name] = msgspec.structs.replace(workers[name], state=state)
    subscription.tables = Tables(configuration=old.configuration, workers=workers)
    tier.program.take_tables(old, subscription.tables)


async def misdirected(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(421, [])


def slots(tier: Gateway) -> int:
    return tier.program.chooser.slots(now(), "s")


def test_an_unresponsive_worker_that_answers_keeps_its_requests_and_its_slots() -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            await tier.request()
            set_state(tier, "silent", "w0")
            for _ in range(20):
                assert (await tier.request()).head.status == 200
                await asyncio.sleep(REACHABLE_S / 2)
            assert slots(tier) == 4

    run(play())


def test_an_unresponsive_worker_that_has_not_answered_lately_gets_none() -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            await tier.request()
            await asyncio.sleep(REACHABLE_S)
            set_state(tier, "silent", "w0")
            assert (await tier.request()).head.status == 503
            assert slots(tier) == 0
            set_state(tier, "ready", "w0")
            assert (await tier.request()).head.status == 200

    run(play())


def test_an_unresponsive_worker_that_this_process_sent_nothing_gets_none() -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            set_state(tier, "silent", "w0")
            assert (await tier.request()).head.status == 503
            assert not tier.seen

    run(play())


def test_another_worker_at_its_address_ends_it_at_once() -> None:
    behaviours: list[Behaviour] = [answered, misdirected]

    async def changing(request: ServerRequest, responder: Responder) -> None:
        await behaviours[0](request, responder)

    async def play() -> None:
        async with gateway(changing) as tier:
            await tier.request()
            set_state(tier, "silent", "w0")
            behaviours.pop(0)
            assert (await tier.request()).head.status == 503
            sent = len(tier.seen)
            await asyncio.sleep(REACHABLE_S / 4)  # its trust would not have run out by itself
            assert (await tier.request()).head.status == 503
            assert len(tier.seen) == sent

    run(play())


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_draining_worker_gets_none_however_well_it_answers(state: str) -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            await tier.request()
            set_state(tier, "silent", "w0")
            assert (await tier.request()).head.status == 200
            set_state(tier, state, "w0")
            assert (await tier.request()).head.status == 503

    run(play())


def test_the_slots_of_an_unresponsive_worker_go_when_it_answers_no_more() -> None:
    async def play() -> None:
        async with gateway(answered, answered) as tier:
            tier.program.chooser.workers["w0"].last_byte_at = now()
            ticking = asyncio.create_task(tier.program.send_heartbeats())
            set_state(tier, "silent", "w0")
            limit = tier.program.admissions.of("s").ceiling
            assert limit.rating == 8.0
            await asyncio.sleep(2 * REACHABLE_S)
            assert limit.rating == 4.0
            ticking.cancel()

    run(play())
