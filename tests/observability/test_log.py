"""Log lines: JSON, one name an event, thinned out where an event repeats."""

import json
import logging
from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from pewterring.observability.log import BURST_LINES, PERIOD_S, EventThinner, JsonLineSink, configure_log


class Lines:
    """Collects what the sink writes, at a time that the test moves."""

    def __init__(self) -> None:
        self.now = 0.0
        self.texts: list[str] = []

    def objects(self) -> list[dict[str, Any]]:
        return [json.loads(text) for text in self.texts]


@pytest.fixture
def lines() -> Iterator[Lines]:
    collected = Lines()
    sink = JsonLineSink(collected.texts.append, {"node": "n-1"}, clock=lambda: collected.now)
    number = logger.add(sink, level="INFO", format="{message}", backtrace=False, diagnose=False)
    yield collected
    logger.remove(number)


def test_a_line_has_the_events_name_and_its_fields(lines: Lines) -> None:
    logger.bind(event="request_held", request="9c41", seconds=0.5).info("a request is held")
    (line,) = lines.objects()
    assert line["event"] == "request_held"
    assert line["request"] == "9c41"
    assert line["seconds"] == 0.5
    assert line["node"] == "n-1"
    assert line["level"] == "info"
    assert line["message"] == "a request is held"
    assert isinstance(line["time"], float)
    assert lines.texts[0].endswith("}\n")


def test_an_event_without_a_name_is_named_by_its_place(lines: Lines) -> None:
    logger.info("something")
    (line,) = lines.objects()
    expected = "test_an_event_without_a_name_is_named_by_its_place"
    assert line["event"].startswith("tests.observability")
    assert line["event"].endswith(expected)


def test_bound_fields_do_not_replace_those_of_every_line(lines: Lines) -> None:
    logger.bind(event="e", node="other", time=0).info("x")
    (line,) = lines.objects()
    assert line["node"] == "n-1"
    assert line["time"] > 0


def test_an_exception_comes_with_its_trace(lines: Lines) -> None:
    try:
        raise RuntimeError("broken")
    except RuntimeError:
        logger.bind(event="failed").exception("it failed")
    (line,) = lines.objects()
    assert line["level"] == "error"
    assert "RuntimeError: broken" in line["exception"]


def test_repeated_events_are_thinned_out_and_counted(lines: Lines) -> None:
    for _ in range(100):
        logger.bind(event="again").info("x")
    logger.bind(event="other").info("y")
    assert [line["event"] for line in lines.objects()] == ["again"] * BURST_LINES + ["other"]
    lines.now = PERIOD_S
    logger.bind(event="again").info("x")
    assert lines.objects()[-1]["suppressed"] == 100 - BURST_LINES


def test_what_was_dropped_is_told_once() -> None:
    thinner = EventThinner(burst=1, period_s=1.0)
    assert [thinner.admit("e", 0.0) for _ in range(3)] == [0, None, None]
    assert thinner.admit("e", 1.0) == 2
    assert thinner.admit("e", 2.0) == 0


def test_names_without_end_do_not_fill_the_memory() -> None:
    thinner = EventThinner()
    assert all(thinner.admit(f"event-{number}", 0.0) == 0 for number in range(10_000))


def test_what_libraries_log_comes_as_lines_too(capsys: pytest.CaptureFixture[str]) -> None:
    handlers, level = logging.root.handlers[:], logging.root.level
    try:
        configure_log({"program": "gateway"})
        logging.getLogger("asyncio").warning("task %s failed", 7)
    finally:
        logger.remove()
        logging.root.handlers[:] = handlers
        logging.root.setLevel(level)
    line = json.loads(capsys.readouterr().err)
    assert line["event"] == "library.asyncio"
    assert line["message"] == "task 7 failed"
    assert line["level"] == "warning"
    assert line["program"] == "gateway"
