"""Batch calls at a gateway: bad input is named, the leader is found, the unsure is answered neither way."""

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
from pewterring.gateway.batch_calls import (
    BadSubmission,
    BatchCalls,
    BatchRequest,
    is_batch_call,
    read_submission,
)
from pewterring.transport.lines import (
    ChannelClosed,
    LinkPool,
    RequestFailed,
    RequestNotSent,
    RequestTimeout,
    TransportError,
)

ROUTE = Route("r", "h", "/jobs/", RouteType.BATCH_JOB, (), 0, 400, 2, 3)
Reply = Callable[[str, msgspec.Struct], msgspec.Struct]


def item(name: str = "a", **changed: object) -> dict[str, object]:
    return {"id": name, "path": "/jobs/1", "headers": {}, "body": "q83v", "tokens": 5} | changed


def document(*items: dict[str, object]) -> bytes:
    return orjson.dumps({"requests": items})


@pytest.mark.parametrize(
    ("body", "named"),
    [
        (b"{", "cannot be read"),
        (b'{"requests": 3}', "cannot be read"),
        (document(item("a"), item("a")), "'a' is there twice"),
        (document(item("b", body="%%%")), "'b': its body is no base64"),
        (document(item("c", tokens=-1)), "'c': tokens are negative"),
        (document(item("")), "its id is empty"),
        (document(*(item(str(n)) for n in range(201))), "201 items"),
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
def test_bad_submissions_are_refused_by_name(body: bytes, named: str) -> None:
    with pytest.raises(BadSubmission, match=named):
        read_submission(body)


def test_a_good_submission_is_read_whole() -> None:
    (read,) = read_submission(document(item("a", headers={"Model-Id": "m"})))
    assert (read.id, read.headers, read.body, read.tokens) == ("a", {"Model-Id": "m"}, "q83v", 5)


def test_a_proper_item_of_any_header_is_taken() -> None:
    headers = {"Prompt-Prefix": "9c2e41:300,5d07b8:240", "X-Empty": "", "X-Latin": "caf\xe9", "X.Y_z": "a\tb"}
    (read,) = read_submission(document(item("e5b2907c14da6f38", path="/jobs/1?a=%20&b", headers=headers)))
    assert read.headers == headers


def test_only_calls_of_the_batch_interface_count_as_such() -> None:
    assert is_batch_call("GET", "/v1/lots/1")
    assert is_batch_call("DELETE", "/v1/lots/1")
    assert is_batch_call("GET", "/v1/items/1")
    assert not is_batch_call("POST", "/v1/lots/1")
    assert not is_batch_call("DELETE", "/v1/items/1")


class Links:
    """Stands in for the links to stores; the clock moves on with each call."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply
        self.asked: list[str] = []
        self.now = 0.0

    async def request(self, ip: str, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        self.asked.append(ip)
        self.now += 0.5
        return self.reply(ip, message)


def call(reply: Reply, method: str = "POST", target: str = "/jobs/1") -> tuple[Answer, Links]:
    links = Links(reply)
    nodes = tuple(
        NodeRecord(f"s{n}", "store", f"10.0.0.{n}", "z", "life", f"10.0.0.{n}#m") for n in (1, 2, 3)
    )
    calls = BatchCalls(
        cast(LinkPool, links), lambda: Tables(nodes=nodes), random.Random(1), clock=lambda: links.now
    )
    request = BatchRequest(method, target, "h", "job-1", 0.0, 3.0, document(item()))
    if method == "POST":
        return asyncio.run(calls.submit(request, ROUTE)), links
    return asyncio.run(calls.call(request)), links


def test_the_named_leader_is_asked_next() -> None:
    def reply(ip: str, message: msgspec.Struct) -> msgspec.Struct:
        return JobAccepted() if ip == "10.0.0.2" else NotLeading("10.0.0.2#m")

    answer, links = call(reply)
    assert answer.status == 202
    assert links.asked[-1] == "10.0.0.2"
    assert len(links.asked) <= 2


@pytest.mark.parametrize(("over_quota", "status"), [(True, 429), (False, 503)])
def test_a_refusal_says_when_to_come_back(over_quota: bool, status: int) -> None:
    answer, _ = call(lambda ip, message: JobRejected(over_quota, 1.5))
    assert answer.status == status
    assert ("Retry-After", "1.50") in answer.headers


def test_nothing_sent_to_anybody_is_a_promise() -> None:
    def reply(ip: str, message: msgspec.Struct) -> msgspec.Struct:
        raise RequestNotSent("down")

    assert call(reply)[0].status == 503


@pytest.mark.parametrize("unsure", [True, False])
def test_what_may_have_been_taken_is_answered_neither_way(unsure: bool) -> None:
    def reply(ip: str, message: msgspec.Struct) -> msgspec.Struct:
        if unsure:
            return OutcomeUnknown()
        raise RequestTimeout("late")

    assert call(reply)[0].status == 504


def test_a_refusal_after_an_unanswered_try_promises_nothing() -> None:
    tries = iter(range(10))

    def reply(ip: str, message: msgspec.Struct) -> msgspec.Struct:
        if next(tries) == 0:
            raise RequestTimeout("late")
        return JobRejected(True, 1.0)

    assert call(reply)[0].status == 504


def test_a_job_without_an_id_is_bad() -> None:
    links = Links(lambda ip, message: JobAccepted())
    calls = BatchCalls(cast(LinkPool, links), Tables, random.Random(1))
    request = BatchRequest("POST", "/jobs/1", "h", "", 0.0, 3.0, document(item()))
    assert asyncio.run(calls.submit(request, ROUTE)).status == 400
    assert links.asked == []


def test_reads_pass_pages_on_and_tell_unknown_from_unsure() -> None:
    page, _ = call(lambda ip, message: ResultPage(4, 2, ()), "GET", "/v1/lots/job-1?after=2")
    assert orjson.loads(page.body) == {"total": 4, "next_page_token": 2, "results": []}
    assert call(lambda ip, message: NotFound(), "GET", "/v1/lots/job-1")[0].status == 404
    assert call(lambda ip, message: OutcomeUnknown(), "GET", "/v1/lots/job-1")[0].status == 503
    assert call(lambda ip, message: NotFound(), "GET", "/v1/lots/job-1?after=x")[0].status == 400


@pytest.mark.parametrize("after", ["x", "-1", "%D9%A3", "9" * 19, "9" * 5000])
def test_what_is_no_position_is_refused_at_once(after: str) -> None:
    answer, links = call(lambda ip, message: NotFound(), "GET", f"/v1/lots/job-1?after={after}")
    assert answer.status == 400
    assert links.asked == []


def test_a_submission_carries_its_route() -> None:
    seen: list[msgspec.Struct] = []

    def reply(ip: str, message: msgspec.Struct) -> msgspec.Struct:
        seen.append(message)
        return JobAccepted()

    call(reply)
    (submitted,) = seen
    assert isinstance(submitted, SubmitJob)
    assert (submitted.job, submitted.host, submitted.path_prefix) == ("job-1", "h", "/jobs/")


@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize("error", [ChannelClosed, RequestTimeout, RequestFailed])
def test_only_a_call_that_was_never_written_counts_as_not_arrived(
    error: type[TransportError], method: str
) -> None:
    target = "/jobs/1" if method == "POST" else "/v1/lots/job-1"

    def reply_with(*errors: type[TransportError]) -> Reply:
        def reply(ip: str, message: msgspec.Struct) -> msgspec.Struct:
            raise errors[min(len(asked), len(errors)) - 1]("lost")

        asked: list[str] = []

        def counted(ip: str, message: msgspec.Struct) -> msgspec.Struct:
            asked.append(ip)
            return reply(ip, message)

        return counted

    assert call(reply_with(RequestNotSent), method, target)[0].status == 503
    assert call(reply_with(error), method, target)[0].status == 504
    assert call(reply_with(error, RequestNotSent), method, target)[0].status == 504
    assert call(reply_with(RequestNotSent, error), method, target)[0].status == 504
