"""Log records: JSON with an event name, rate limited if an event recurs."""

import json
import logging
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from pewterring.observability.event_thinner import BURST_RECORDS, PERIOD_S
from pewterring.observability.log import JsonLineSink, configure_log

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 30.0


class WrittenLog:
    """Collects the lines that the sink writes. The test advances the clock through `now`."""

    def __init__(self) -> None:
        self.now = 0.0
        self.texts: list[str] = []

    def records(self) -> list[dict[str, Any]]:
        return [json.loads(text) for text in self.texts]


@pytest.fixture
def written() -> Iterator[WrittenLog]:
    collected = WrittenLog()
    sink = JsonLineSink(collected.texts.append, {"node": "n-1"}, clock=lambda: collected.now)
    sink_id = logger.add(sink, level="INFO", format="{message}", backtrace=False, diagnose=False)
    yield collected
    logger.remove(sink_id)


def test_a_record_has_the_event_name_and_the_bound_fields(written: WrittenLog) -> None:
    logger.bind(event="request_held", request="9c41", seconds=0.5).info("a request is held")
    (record,) = written.records()
    assert record["event"] == "request_held"
    assert record["request"] == "9c41"
    assert record["seconds"] == 0.5
    assert record["node"] == "n-1"
    assert record["level"] == "info"
    assert record["message"] == "a request is held"
    assert isinstance(record["time"], float)
    assert written.texts[0].endswith("}\n")


def test_a_record_without_an_event_is_named_by_its_call(written: WrittenLog) -> None:
    logger.info("something")
    (record,) = written.records()
    expected = "test_a_record_without_an_event_is_named_by_its_call"
    assert record["event"].startswith("tests.observability")
    assert record["event"].endswith(expected)


def test_bound_fields_cannot_override_the_fields_of_every_record(written: WrittenLog) -> None:
    logger.bind(event="e", node="other", time=0).info("x")
    (record,) = written.records()
    assert record["node"] == "n-1"
    assert record["time"] > 0


def test_a_logged_exception_includes_its_traceback(written: WrittenLog) -> None:
    def broken() -> None:
        raise RuntimeError("broken")

    try:
        broken()
    except RuntimeError:
        logger.bind(event="failed").exception("it failed")
    (record,) = written.records()
    assert record["level"] == "error"
    assert "RuntimeError: broken" in record["exception"]


def test_recurring_events_are_rate_limited_and_counted(written: WrittenLog) -> None:
    for _ in range(100):
        logger.bind(event="again").info("x")
    logger.bind(event="other").info("y")
    assert [record["event"] for record in written.records()] == ["again"] * BURST_RECORDS + ["other"]
    written.now = PERIOD_S
    logger.bind(event="again").info("x")
    assert written.records()[-1]["suppressed"] == 100 - BURST_RECORDS


def test_records_of_standard_library_logging_are_written_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    handlers, level = logging.root.handlers[:], logging.root.level
    try:
        configure_log({"program": "gateway"})
        logging.getLogger("asyncio").warning("task %s failed", 7)
    finally:
        logger.remove()
        logging.root.handlers[:] = handlers
        logging.root.setLevel(level)
    record = json.loads(capsys.readouterr().err)
    assert record["event"] == "library.asyncio"
    assert record["message"] == "task 7 failed"
    assert record["level"] == "warning"
    assert record["program"] == "gateway"


LOG_TO_FULL_DEVICE = """
from loguru import logger
from pewterring.observability.log import configure_log
configure_log({"program": "store"})
for number in range(1000):
    logger.bind(event="e", number=number).warning("x" * 100)
print("goes on")
"""


@pytest.mark.skipif(not Path("/dev/full").exists(), reason="the system has no device that is always full")
def test_a_full_disk_does_not_stop_a_process_that_logs() -> None:
    with Path("/dev/full").open("w") as full:
        completed = subprocess.run(
            [sys.executable, "-c", LOG_TO_FULL_DEVICE],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=full,
            text=True,
            timeout=TIMEOUT_S,
        )
    assert (completed.returncode, completed.stdout) == (0, "goes on\n")
