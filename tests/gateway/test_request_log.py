"""A gateway logs late and failed requests, with their details, if the settings enable it."""

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
from tests.gateway.gateway import Gateway, answer_result, run_gateway
from tests.transport.virtual_time import run

LogRecords = list[dict[str, Any]]


@pytest.fixture
def records() -> Iterator[LogRecords]:
    log_records: LogRecords = []
    sink = JsonLineSink(lambda record: log_records.append(orjson.loads(record)), {}, EventThinner())
    logger.remove()
    sink_id = logger.add(sink, format="{message}")
    yield log_records
    logger.remove(sink_id)


def enable_request_log(gateway: Gateway) -> None:
    gateway.program.live.request_log = RequestLogMode.ALL


def request_records(records: LogRecords) -> LogRecords:
    return [record for record in records if record["event"] == REQUEST_EVENT]


async def decline(_request: ServerRequest, responder: Responder) -> None:
    await responder.respond(503, [(b"Not-Executed", b"full")])


def test_a_request_that_no_worker_accepted_is_logged_with_its_worker(records: LogRecords) -> None:
    async def scenario() -> None:
        async with run_gateway(decline) as gateway:
            enable_request_log(gateway)
            assert (await gateway.request()).head.status == 503

    run(scenario())
    (record,) = request_records(records)
    assert record["worker"] == "w0"
    assert record["attempts"] >= 1
    assert record["end_s"] >= record["sent_s"] >= record["admitted_s"] >= 0


def test_a_refused_request_is_logged_as_refused(records: LogRecords) -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            enable_request_log(gateway)
            admission = gateway.program.admissions.of("s")
            admission.in_flight = 10**6
            assert (await gateway.request()).head.status == 503
            admission.in_flight = 0

    run(scenario())
    assert [record["reason"] for record in request_records(records)] == ["refused"]


def test_successful_requests_are_not_logged_and_by_default_none_are(records: LogRecords) -> None:
    async def scenario() -> None:
        async with run_gateway(answer_result) as gateway:
            enable_request_log(gateway)
            assert (await gateway.request()).head.status == 200
        async with run_gateway(decline) as gateway:
            assert (await gateway.request()).head.status == 503

    run(scenario())
    assert request_records(records) == []
