"""What a gateway may deny: nothing before its first tables, and no route out of tables that are old."""

import asyncio

import pytest

from pewterring.configuration.model import ClientLimits
from tests.gateway.gateway import answered, gateway
from tests.transport.virtual_time import run


@pytest.mark.parametrize("path", ["/p/x", "/nowhere/x", "/v1/lots/7", "/v1/items/7?id=1"])
@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_a_process_without_configuration_answers_503(path: str, method: str) -> None:
    async def play() -> None:
        async with gateway(answered, configured=False) as tier:
            answer = await tier.request(path, method, body=b"")
            assert answer.head.status == 503
            assert not tier.seen

    run(play())


def test_a_process_without_configuration_enforces_no_limits_that_it_does_not_know() -> None:
    async def play() -> None:
        async with gateway(answered, configured=False) as tier:
            large = await tier.request("/p/x", body=b"b" * 6 * 1024 * 1024)
            long = await tier.request("/p/" + 20_000 * "x")
            assert (large.head.status, long.head.status) == (503, 503)

    run(play())


def test_the_operators_limits_are_enforced_from_the_first_tables_on() -> None:
    async def play() -> None:
        async with gateway(answered, configured=False) as tier:
            tier.configure(ClientLimits(max_body_bytes=10))
            assert (await tier.request(body=b"b" * 11)).head.status == 413

    run(play())


def test_an_unknown_route_is_404_while_the_tables_are_known_to_be_current() -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            assert (await tier.request("/nowhere/x")).head.status == 404

    run(play())


def test_an_unknown_route_is_503_where_a_newer_configuration_may_have_it() -> None:
    """Tables that nobody confirmed for `config_ms`: a newer version may be in force everywhere else."""

    async def play() -> None:
        async with gateway(answered) as tier:
            await asyncio.sleep(tier.program.settings.bounds.config_s + 0.1)
            answer = await tier.request("/nowhere/x")
            assert answer.head.status == 503
            assert float(answer.head.get(b"retry-after") or b"0") > 0
            assert (await tier.request("/p/x")).head.status == 200

    run(play())
