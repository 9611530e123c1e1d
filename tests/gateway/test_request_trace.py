"""What is noted of live requests, the lines that are logged, and their sums."""

from pathlib import Path

import orjson
import pytest

from pewterring.__main__ import main
from pewterring.configuration.model import Route, RouteType, WeightedService
from pewterring.gateway.metrics import Limit
from pewterring.gateway.request_trace import AttemptStart, RequestTrace
from pewterring.observability.event_thinner import EventThinner
from pewterring.observability.log import JsonLineSink
from pewterring.observability.request_log import RECORD_FORMAT, REQUEST_EVENT, Reason

ROUTE = Route(
    "plan",
    "h",
    "/p/",
    RouteType.STREAMING,
    (WeightedService("s", 1),),
    4000,
    400,
    0,
    2,
    token_gap_target_ms=300,
)


def trace(**sent: float) -> RequestTrace:
    made = RequestTrace("id-1", ROUTE, 100.0, tokens=17_000, admitted_at=100.01)
    made.sent(AttemptStart(100.02, "i-1", 15_000, sent.get("read_s", 0.0), sent.get("wait_s", 0.0), 1))
    return made


def ended(made: RequestTrace, *events: float) -> Reason | None:
    for moment in events:
        made.event(100.0 + moment)
    made.done = True
    return made.reason()


def test_a_request_in_time_has_no_reason() -> None:
    assert ended(trace(read_s=1.0), 0.39, 0.6) is None


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        ({"wait_s": 0.3}, Reason.BEHIND_PREFILLS),
        ({"read_s": 0.3}, Reason.PROMPT_NOT_CACHED),
        ({}, Reason.AT_WORKER),
    ],
)
def test_a_late_first_event_has_the_cause_that_took_most(sent: dict[str, float], reason: Reason) -> None:
    assert ended(trace(**sent), 0.5) is reason


def test_a_pause_and_a_second_attempt_are_reasons() -> None:
    assert ended(trace(), 0.1, 0.5) is Reason.PAUSE
    again = trace()
    again.failure = "WorkerUnresponsiveError"
    again.sent(AttemptStart(100.4, "i-2", 0, 0.0, 0.0, 0))
    assert ended(again, 0.5) is Reason.WORKER_FAILED


@pytest.mark.parametrize(
    ("limit", "reason"),
    [
        (Limit.SHARE, Reason.REFUSED),
        (Limit.CONCURRENCY, Reason.REFUSED),
        (Limit.DRAIN, Reason.REFUSED),
        (Limit.NO_WORKER, Reason.NO_WORKER),
        (Limit.CONNECTIONS, Reason.NO_CONNECTION),
        (Limit.DEADLINE, Reason.DEADLINE),
        (None, Reason.CLIENT_DISCONNECTED),
    ],
)
def test_a_request_without_an_answer_has_the_limit_as_its_reason(limit: Limit | None, reason: Reason) -> None:
    made = trace()
    made.limit = limit
    assert made.reason() is reason


def test_a_broken_stream_is_distinguished_from_a_failed_worker() -> None:
    made = trace()
    made.failure = "AnswerBrokenError"
    assert made.reason() is Reason.WORKER_FAILED
    made.event(100.1)
    assert made.reason() is Reason.STREAM_BROKEN


def logged(*made: RequestTrace) -> list[bytes]:
    from loguru import logger

    lines: list[str] = []
    sink = JsonLineSink(
        lines.append, {"node": "edge-1"}, EventThinner(unthinned=(REQUEST_EVENT,)), lambda: 0.0
    )
    logger.remove()
    number = logger.add(sink, format="{message}")
    for each in made:
        each.log(100.9)
    logger.remove(number)
    return [line.encode() for line in lines]


def test_lines_are_summed_up(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    late = [trace(wait_s=0.3) for _ in range(7)]
    for each in late:
        ended(each, 0.5)
    well = trace()
    ended(well, 0.1)
    lines = logged(*late, well)
    assert len(lines) == 7
    first = orjson.loads(lines[0])
    assert (first["event"], first["format"], first["reason"]) == (
        REQUEST_EVENT,
        RECORD_FORMAT,
        "behind_prompts",
    )
    assert (first["first_s"], first["end_s"], first["tokens"]) == (0.5, 0.9, 17_000)
    truncated = lines[0][:-40]
    other_version = lines[0].replace(b'"format":1', b'"format":2')
    file = tmp_path / "gateway.log"
    file.write_bytes(
        b"".join([*lines, b"12.5 edge-1: " + lines[0], truncated + b"\n", other_version, b"no line\n"])
    )
    assert main(["inspect", "requests", str(file), "--plot", str(tmp_path / "plot.svg")]) == 0
    said = capsys.readouterr().out
    assert "8 requests that ended badly" in said
    assert "2 lines cut or of another version" in said
    assert "8  plan up to 32768 tokens behind_prompts" in said
    assert (tmp_path / "plot.svg").stat().st_size > 1000


def test_a_file_that_is_not_there_is_one_clear_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "requests", "/nowhere/gateway.log"]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_thinned_lines_are_counted() -> None:
    thinner = EventThinner(burst=2, period_s=10.0)
    assert [thinner.admit(REQUEST_EVENT, now) for now in (0.0, 1.0, 2.0, 11.0)] == [0, 0, None, 1]
