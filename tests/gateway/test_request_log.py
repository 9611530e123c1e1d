"""A gateway logs its bad requests where the settings ask for it, with what happened to each."""

from collections.abc import Iterator
from typing import Any

import orjson
import pytest
from loguru import logger

from pewterring.node.settings import RequestLogMode
from pewterring.observability.event_thinner import EventThinner
from pewterring.observability.log import JsonLineSink
from pewterring.observability.request_log import REQUEST_EVENT
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from tests.gateway.gateway import Gateway, answered, gateway
from tests.transport.virtual_time import run

LogRecords = list[dict[str, Any]]


@pytest.fixture
def records() -> Iterator[LogRecords]:
    written: LogRecords = []
    sink = JsonLineSink(lambda record: written.append(orjson.loads(record)), {}, EventThinner())
    logger.remove()
    number = logger.add(sink, format="{message}")
    yield written
    logger.remove(number)


def log_requests(tier: Gateway) -> None:
    tier.program.live.request_log = RequestLogMode.ALL


def requests(records: LogRecords) -> LogRecords:
    return [record for record in records if record["event"] == REQUEST_EVENT]


async def declined(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(503, [(b"Not-Executed", b"full")])


def test_a_request_that_no_worker_took_is_logged_with_its_worker(records: LogRecords) -> None:
    async def play() -> None:
        async with gateway(declined) as tier:
            log_requests(tier)
            assert (await tier.request()).head.status == 503

    run(play())
    (record,) = requests(records)
    assert record["worker"] == "w0"
    assert record["attempts"] >= 1
    assert record["end_s"] >= record["sent_s"] >= record["admitted_s"] >= 0


def test_a_refused_request_is_logged_as_refused(records: LogRecords) -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            log_requests(tier)
            admission = tier.program.admissions.of("s")
            admission.in_flight = 10**6
            assert (await tier.request()).head.status == 503
            admission.in_flight = 0

    run(play())
    assert [record["reason"] for record in requests(records)] == ["refused"]


def test_good_requests_are_not_logged_and_nothing_is_by_default(records: LogRecords) -> None:
    async def play() -> None:
        async with gateway(answered) as tier:
            log_requests(tier)
            assert (await tier.request()).head.status == 200
        async with gateway(declined) as tier:
            assert (await tier.request()).head.status == 503

    run(play())
    assert requests(records) == []
