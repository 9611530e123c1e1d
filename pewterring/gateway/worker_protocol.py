"""The protocol between a gateway and workers: a request as a worker gets it, and what its answer means."""

from enum import Enum, auto

from pewterring.routing.load_report import LOAD_HEADER, Load, parse_load
from pewterring.transport.http_answer import AnswerHead
from pewterring.transport.http_client import SendRequest
from pewterring.transport.http_common import MISDIRECTED, Headers, end_to_end_headers
from pewterring.transport.http_exchange import REQUEST_ID
from pewterring.transport.http_request import ServerRequest

REQUEST_TIMEOUT = b"request-timeout-ms"
LAST_EVENT_ID = b"last-event-id"
TARGET_INSTANCE = b"target-instance"
RESPONSE_SIGNATURE = b"response-signature"
NOT_EXECUTED = b"not-executed"
EXPECT_VERSION = b"expect-version"
CONTENT_ENCODING = b"content-encoding"
EVENT_STREAM = b"text/event-stream"
REPLACED_HEADERS = frozenset({b"content-length", b"expect", REQUEST_TIMEOUT, TARGET_INSTANCE})

# To a client these promise that its request has not run and never will. A worker that says so without
# `Not-Executed` promises nothing.
NOT_RUN_STATUSES = frozenset({408, 429, 503})


class Verdict(Enum):
    """What the head of a worker's answer says of the attempt."""

    SUCCESS = auto()
    NOT_RUN = auto()  # the worker declined; the request may go elsewhere
    FAILURE = auto()  # the worker's own failure; it counts as run
    UNUSABLE = auto()  # it counts as run, and nothing of the answer may reach the client


def worker_request(
    request: ServerRequest, worker_id: str, deadline: float, last_event_id: int | None
) -> SendRequest:
    """Returns the request as the worker gets it. `last_event_id` resumes a stream behind that event.

    The worker always gets the time that is left, also where the client named none: it ceases work then.
    """
    dropped = REPLACED_HEADERS | {LAST_EVENT_ID} if last_event_id is not None else REPLACED_HEADERS
    headers: Headers = [
        (name, value) for name, value in end_to_end_headers(request.headers) if name.lower() not in dropped
    ]
    if last_event_id is not None:
        headers.append((b"Last-Event-Id", b"%d" % last_event_id))
    headers.append((b"Target-Instance", worker_id.encode("latin-1")))
    return SendRequest(
        request.method, request.target, headers, request.body, request.get(REQUEST_ID), deadline
    )


def judge(head: AnswerHead) -> Verdict:
    """Returns what the head of a worker's answer means.

    Symptom answered by `UNUSABLE`: a success without the worker's stamp, or with a body that was encoded on
    the way, reached the client as a success; and a worker's own 503 for a request that had run promised the
    client that it had not.
    """
    if head.status == MISDIRECTED or head.get(NOT_EXECUTED) is not None:
        return Verdict.NOT_RUN
    if head.get(CONTENT_ENCODING) is not None or head.status in NOT_RUN_STATUSES:
        return Verdict.UNUSABLE
    if 200 <= head.status < 300:
        return Verdict.SUCCESS if head.get(RESPONSE_SIGNATURE) is not None else Verdict.UNUSABLE
    return Verdict.FAILURE


def is_misdirected(request: ServerRequest, head: AnswerHead) -> bool:
    """Returns whether the answer says that another worker has the address.

    A worker answers 421 also where it holds weights of another version than the client expects: it is well.
    """
    return head.status == MISDIRECTED and request.get(EXPECT_VERSION) is None


def client_headers(head: AnswerHead) -> Headers:
    """Returns the headers of a worker's answer as the client gets them."""
    return [
        (name, value) for name, value in end_to_end_headers(head.headers) if name.lower() != b"content-length"
    ]


def is_event_stream(head: AnswerHead) -> bool:
    """Returns whether the body is a series of events."""
    return (head.get(b"content-type") or b"").lower().startswith(EVENT_STREAM)


def read_load(head: AnswerHead) -> Load | None:
    """Returns the load that the worker reports in a head, if any."""
    return parse_load(head.get(LOAD_HEADER))
