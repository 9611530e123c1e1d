"""Batch calls at a gateway: validation, search for the leading store, and calls of unknown outcome."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

import msgspec
import orjson
import pytest

from pewterring.batch.messages import (
    JobAccepted,
    JobRejected,
    NotFound,
    NotLeading,
    OutcomeUnknown,
    ResultPage,
    SubmitJob,
)
from pewterring.configuration.model import Route, RouteType
from pewterring.distribution.messages import NodeRecord
from pewterring.distribution.tables import Tables
from pewterring.gateway.answers import Answer
from pewterring.gateway.batch_calls import BatchCalls, BatchRequest, is_batch_call
from pewterring.gateway.batch_submission import read_submission
from pewterring.gateway.errors import InvalidSubmissionError
from pewterring.transport.lines import (
    ChannelClosedError,
    LinkPool,
    RequestFailedError,
    RequestNotSentError,
    RequestTimeoutError,
    TransportError,
)

ROUTE = Route("r", "h", "/jobs/", RouteType.BATCH_JOB, (), 0, 400, 2, 3)
Reply = Callable[[str, msgspec.Struct], msgspec.Struct]


def item(name: str = "a", **changed: object) -> dict[str, object]:
    return {"id": name, "path": "/jobs/1", "headers": {}, "body": "q83v", "tokens": 5} | changed


def document(*items: dict[str, object]) -> bytes:
    return orjson.dumps({"requests": items})


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"{", "cannot be read"),
        (b'{"requests": 3}', "cannot be read"),
        (document(item("a"), item("a")), "'a' is there twice"),
        (document(item("b", body="%%%")), "'b': its body is no base64"),
        (document(item("c", tokens=-1)), "'c': tokens are negative"),
        (document(item("")), "its id is empty"),
        (document(*(item(str(number)) for number in range(201))), "201 items"),
        (document(item("a\r\nX: 1")), "its id cannot be sent"),
        (document(item("d", path="/jobs/1 HTTP/1.1\r\n\r\nGET /x")), "'d': its path"),
        (document(item("d", path="jobs/1")), "'d': its path"),
        (document(item("d", path="/jobs/caf\xe9")), "'d': its path"),
        (document(item("e", headers={"X": "1\r\nY: 2"})), "'e': its header 'X'"),
        (document(item("e", headers={"X\n": "1"})), "'e': its header"),
        (document(item("e", headers={"": "1"})), "'e': its header"),
        (document(item("e", headers={"X": "\u20ac"})), "'e': its header 'X'"),
    ],
)
def test_an_invalid_submission_is_rejected_with_the_item_and_the_reason(body: bytes, message: str) -> None:
    with pytest.raises(InvalidSubmissionError, match=message):
        read_submission(body)


def test_a_good_submission_is_read_completely() -> None:
    (read,) = read_submission(document(item("a", headers={"Model-Id": "m"})))
    assert (read.id, read.headers, read.body, read.tokens) == ("a", {"Model-Id": "m"}, "q83v", 5)


def test_an_item_with_any_valid_header_is_accepted() -> None:
    headers = {"Prompt-Prefix": "9c2e41:300,5d07b8:240", "X-Empty": "", "X-Latin": "caf\xe9", "X.Y_z": "a\tb"}
    (read,) = read_submission(document(item("e5b2907c14da6f38", path="/jobs/1?a=%20&b", headers=headers)))
    assert read.headers == headers


def test_batch_calls_are_recognized_by_method_and_path() -> None:
    assert is_batch_call("GET", "/v1/lots/1")
    assert is_batch_call("DELETE", "/v1/lots/1")
    assert is_batch_call("GET", "/v1/items/1")
    assert not is_batch_call("POST", "/v1/lots/1")
    assert not is_batch_call("DELETE", "/v1/items/1")


class FakeLinks:
    """Replaces the links to stores; each call advances the clock by 0.5 s."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply
        self.called_ips: list[str] = []
        self.now = 0.0

    async def request(self, ip: str, message: msgspec.Struct, _timeout_s: float) -> msgspec.Struct:
        self.called_ips.append(ip)
        self.now += 0.5
        return self.reply(ip, message)


def call(reply: Reply, method: str = "POST", target: str = "/jobs/1") -> tuple[Answer, FakeLinks]:
    links = FakeLinks(reply)
    nodes = tuple(
        NodeRecord(f"s{number}", "store", f"10.0.0.{number}", "z", "incarnation", f"10.0.0.{number}#m")
        for number in (1, 2, 3)
    )
    calls = BatchCalls(
        cast(LinkPool, links), lambda: Tables(nodes=nodes), random.Random(1), clock=lambda: links.now
    )
    request = BatchRequest(method, target, "h", "job-1", 0.0, 3.0, document(item()))
    if method == "POST":
        return asyncio.run(calls.submit(request, ROUTE)), links
    return asyncio.run(calls.call(request)), links


def test_the_leader_that_a_store_names_is_called_next() -> None:
    def reply(ip: str, _message: msgspec.Struct) -> msgspec.Struct:
        return JobAccepted() if ip == "10.0.0.2" else NotLeading("10.0.0.2#m")

    answer, links = call(reply)
    assert answer.status == 202
    assert links.called_ips[-1] == "10.0.0.2"
    assert len(links.called_ips) <= 2


@pytest.mark.parametrize(("over_quota", "status"), [(True, 429), (False, 503)])
def test_a_rejected_job_is_answered_with_retry_after(over_quota: bool, status: int) -> None:
    answer, _ = call(lambda *_: JobRejected(over_quota, 1.5))
    assert answer.status == status
    assert ("Retry-After", "1.50") in answer.headers


def test_a_call_that_reached_no_store_is_answered_as_not_run() -> None:
    def reply(_ip: str, _message: msgspec.Struct) -> msgspec.Struct:
        raise RequestNotSentError("down")

    assert call(reply)[0].status == 503


@pytest.mark.parametrize("is_answered", [True, False])
def test_a_job_that_may_have_been_accepted_is_answered_with_504(is_answered: bool) -> None:
    def reply(_ip: str, _message: msgspec.Struct) -> msgspec.Struct:
        if is_answered:
            return OutcomeUnknown()
        raise RequestTimeoutError("late")

    assert call(reply)[0].status == 504


def test_a_rejection_after_an_unanswered_attempt_is_answered_with_504() -> None:
    attempts = iter(range(10))

    def reply(_ip: str, _message: msgspec.Struct) -> msgspec.Struct:
        if next(attempts) == 0:
            raise RequestTimeoutError("late")
        return JobRejected(True, 1.0)

    assert call(reply)[0].status == 504


def test_a_job_without_an_id_is_rejected() -> None:
    links = FakeLinks(lambda *_: JobAccepted())
    calls = BatchCalls(cast(LinkPool, links), Tables, random.Random(1))
    request = BatchRequest("POST", "/jobs/1", "h", "", 0.0, 3.0, document(item()))
    assert asyncio.run(calls.submit(request, ROUTE)).status == 400
    assert links.called_ips == []


def test_reads_forward_pages_and_distinguish_unknown_jobs_from_unknown_outcomes() -> None:
    page, _ = call(lambda *_: ResultPage(4, 2, ()), "GET", "/v1/lots/job-1?after=2")
    assert orjson.loads(page.body) == {"total": 4, "next_page_token": 2, "results": []}
    assert call(lambda *_: NotFound(), "GET", "/v1/lots/job-1")[0].status == 404
    assert call(lambda *_: OutcomeUnknown(), "GET", "/v1/lots/job-1")[0].status == 503
    assert call(lambda *_: NotFound(), "GET", "/v1/lots/job-1?after=x")[0].status == 400


@pytest.mark.parametrize("after", ["x", "-1", "%D9%A3", "9" * 19, "9" * 5000])
def test_an_invalid_position_is_rejected_without_a_call(after: str) -> None:
    answer, links = call(lambda *_: NotFound(), "GET", f"/v1/lots/job-1?after={after}")
    assert answer.status == 400
    assert links.called_ips == []


def test_a_submission_carries_its_route() -> None:
    seen: list[msgspec.Struct] = []

    def reply(_ip: str, message: msgspec.Struct) -> msgspec.Struct:
        seen.append(message)
        return JobAccepted()

    call(reply)
    (submitted,) = seen
    assert isinstance(submitted, SubmitJob)
    assert (submitted.job, submitted.host, submitted.path_prefix) == ("job-1", "h", "/jobs/")


@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize("error", [ChannelClosedError, RequestTimeoutError, RequestFailedError])
def test_only_a_call_that_was_never_written_counts_as_not_arrived(
    error: type[TransportError], method: str
) -> None:
    target = "/jobs/1" if method == "POST" else "/v1/lots/job-1"

    def reply_with(*errors: type[TransportError]) -> Reply:
        called_ips: list[str] = []

        def reply(ip: str, _message: msgspec.Struct) -> msgspec.Struct:
            called_ips.append(ip)
            raise errors[min(len(called_ips), len(errors)) - 1]("lost")

        return reply

    assert call(reply_with(RequestNotSentError), method, target)[0].status == 503
    assert call(reply_with(error), method, target)[0].status == 504
    assert call(reply_with(error, RequestNotSentError), method, target)[0].status == 504
    assert call(reply_with(RequestNotSentError, error), method, target)[0].status == 504
