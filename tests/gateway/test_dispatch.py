"""A gateway answers 503 rather than 404 before its first tables and while its tables may be stale."""

import asyncio

import pytest

from pewterring.configuration.model import ClientLimits
from tests.gateway.gateway import answer_result, run_gateway
from tests.transport.virtual_time import run


@pytest.mark.parametrize("path", ["/p/x", "/nowhere/x", "/v1/lots/7", "/v1/items/7?id=1"])
@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_a_gateway_without_configuration_answers_503(path: str, method: str) -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, configured=False) as gateway:
            answer = await gateway.request(path, method, body=b"")
            assert answer.head.status == 503
            assert not gateway.received_requests

    run(scenario())


def test_a_gateway_without_configuration_does_not_enforce_unknown_client_limits() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, configured=False) as gateway:
            large_body = await gateway.request("/p/x", body=b"b" * 6 * 1024 * 1024)
            long_target = await gateway.request("/p/" + 20_000 * "x")
            assert (large_body.head.status, long_target.head.status) == (503, 503)

    run(scenario())


def test_the_operators_limits_apply_from_the_first_tables_on() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result, configured=False) as gateway:
            gateway.configure(ClientLimits(max_body_bytes=10))
            assert (await gateway.request(body=b"b" * 11)).head.status == 413

    run(scenario())


def test_an_unknown_route_is_404_while_the_tables_are_fresh() -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            assert (await gateway.request("/nowhere/x")).head.status == 404

    run(scenario())


def test_an_unknown_route_is_503_if_the_tables_may_be_stale() -> None:
    """After `config_ms` without a confirmation, all other gateways may have a newer configuration."""

    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            await asyncio.sleep(gateway.program.settings.bounds.config_s + 0.1)
            answer = await gateway.request("/nowhere/x")
            assert answer.head.status == 503
            assert float(answer.head.get(b"retry-after") or b"0") > 0
            assert (await gateway.request("/p/x")).head.status == 200

    run(scenario())
