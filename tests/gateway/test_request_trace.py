"""Traces of live requests: reasons, log records, and their summary by `pewterring inspect requests`."""

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


def make_trace(**sent: float) -> RequestTrace:
    request_trace = RequestTrace("id-1", ROUTE, 100.0, tokens=17_000, admitted_at=100.01)
    request_trace.add_attempt(
        AttemptStart(100.02, "i-1", 15_000, sent.get("prefill_s", 0.0), sent.get("wait_s", 0.0), 1)
    )
    return request_trace


def complete(request_trace: RequestTrace, *events: float) -> Reason | None:
    for event_s in events:
        request_trace.add_event(100.0 + event_s)
    request_trace.done = True
    return request_trace.reason()


def test_a_request_in_time_has_no_reason() -> None:
    assert complete(make_trace(prefill_s=1.0), 0.39, 0.6) is None


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        ({"wait_s": 0.3}, Reason.BEHIND_PREFILLS),
        ({"prefill_s": 0.3}, Reason.PROMPT_NOT_CACHED),
        ({}, Reason.AT_WORKER),
    ],
)
def test_the_reason_of_a_late_first_event_is_its_dominant_cause(
    sent: dict[str, float], reason: Reason
) -> None:
    assert complete(make_trace(**sent), 0.5) is reason


def test_pauses_and_failed_attempts_are_reasons() -> None:
    assert complete(make_trace(), 0.1, 0.5) is Reason.PAUSE
    retried = make_trace()
    retried.failure = "WorkerUnresponsiveError"
    retried.add_attempt(AttemptStart(100.4, "i-2", 0, 0.0, 0.0, 0))
    assert complete(retried, 0.5) is Reason.WORKER_FAILED


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
    request_trace = make_trace()
    request_trace.limit = limit
    assert request_trace.reason() is reason


def test_a_broken_stream_is_distinguished_from_a_failed_worker() -> None:
    request_trace = make_trace()
    request_trace.failure = "AnswerBrokenError"
    assert request_trace.reason() is Reason.WORKER_FAILED
    request_trace.add_event(100.1)
    assert request_trace.reason() is Reason.STREAM_BROKEN


def log_lines(*traces: RequestTrace) -> list[bytes]:
    from loguru import logger

    lines: list[str] = []
    sink = JsonLineSink(
        lines.append, {"node": "edge-1"}, EventThinner(unthinned=(REQUEST_EVENT,)), lambda: 0.0
    )
    logger.remove()
    sink_id = logger.add(sink, format="{message}")
    for request_trace in traces:
        request_trace.log(100.9)
    logger.remove(sink_id)
    return [line.encode() for line in lines]


def test_inspect_requests_sums_up_logged_records(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    late_traces = [make_trace(wait_s=0.3) for _ in range(7)]
    for request_trace in late_traces:
        complete(request_trace, 0.5)
    on_time = make_trace()
    complete(on_time, 0.1)
    lines = log_lines(*late_traces, on_time)
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
    stdout = capsys.readouterr().out
    assert "8 requests that ended badly" in stdout
    assert "2 lines cut or of another version" in stdout
    assert "8  plan up to 32768 tokens behind_prompts" in stdout
    assert (tmp_path / "plot.svg").stat().st_size > 1000


def test_inspecting_a_missing_file_prints_a_one_line_error(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "requests", "/nowhere/gateway.log"]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_suppressed_events_are_counted() -> None:
    thinner = EventThinner(burst=2, period_s=10.0)
    assert [thinner.admit(REQUEST_EVENT, now) for now in (0.0, 1.0, 2.0, 11.0)] == [0, 0, None, 1]
