"""Log records: JSON, one name an event, thinned out where an event repeats."""

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
PATIENCE_S = 30.0


class WrittenLog:
    """Collects what the sink writes, at a time that the test moves."""

    def __init__(self) -> None:
        self.now = 0.0
        self.texts: list[str] = []

    def records(self) -> list[dict[str, Any]]:
        return [json.loads(text) for text in self.texts]


@pytest.fixture
def written() -> Iterator[WrittenLog]:
    collected = WrittenLog()
    sink = JsonLineSink(collected.texts.append, {"node": "n-1"}, clock=lambda: collected.now)
    number = logger.add(sink, level="INFO", format="{message}", backtrace=False, diagnose=False)
    yield collected
    logger.remove(number)


def test_a_record_has_the_events_name_and_its_fields(written: WrittenLog) -> None:
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


def test_an_event_without_a_name_is_named_by_its_call(written: WrittenLog) -> None:
    logger.info("something")
    (record,) = written.records()
    expected = "test_an_event_without_a_name_is_named_by_its_call"
    assert record["event"].startswith("tests.observability")
    assert record["event"].endswith(expected)


def test_bound_fields_do_not_replace_those_of_every_record(written: WrittenLog) -> None:
    logger.bind(event="e", node="other", time=0).info("x")
    (record,) = written.records()
    assert record["node"] == "n-1"
    assert record["time"] > 0


def test_an_exception_comes_with_its_trace(written: WrittenLog) -> None:
    def broken() -> None:
        raise RuntimeError("broken")

    try:
        broken()
    except RuntimeError:
        logger.bind(event="failed").exception("it failed")
    (record,) = written.records()
    assert record["level"] == "error"
    assert "RuntimeError: broken" in record["exception"]


def test_repeated_events_are_thinned_out_and_counted(written: WrittenLog) -> None:
    for _ in range(100):
        logger.bind(event="again").info("x")
    logger.bind(event="other").info("y")
    assert [record["event"] for record in written.records()] == ["again"] * BURST_RECORDS + ["other"]
    written.now = PERIOD_S
    logger.bind(event="again").info("x")
    assert written.records()[-1]["suppressed"] == 100 - BURST_RECORDS


def test_what_libraries_log_is_written_as_records_too(capsys: pytest.CaptureFixture[str]) -> None:
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


LOGS_WITHOUT_ROOM = """
from loguru import logger
from pewterring.observability.log import configure_log
configure_log({"program": "store"})
for number in range(1000):
    logger.bind(event="e", number=number).warning("x" * 100)
print("goes on")
"""


@pytest.mark.skipif(not Path("/dev/full").exists(), reason="the system has no device that is always full")
def test_a_full_disk_under_the_log_ends_nothing() -> None:
    with Path("/dev/full").open("w") as full:
        done = subprocess.run(
            [sys.executable, "-c", LOGS_WITHOUT_ROOM],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=full,
            text=True,
            timeout=PATIENCE_S,
        )
    assert (done.returncode, done.stdout) == (0, "goes on\n")
