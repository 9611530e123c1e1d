"""The protocol between gateways and workers: building requests, and interpreting heads of answers."""

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

# To a client these statuses guarantee that its request has not run and never will. From a worker they
# guarantee nothing unless the answer has a `Not-Executed` header.
NOT_RUN_STATUSES = frozenset({408, 429, 503})


class AnswerClass(Enum):
    """What the head of a worker's answer means for the attempt."""

    SUCCESS = auto()
    NOT_RUN = auto()  # the worker declined; the request may go elsewhere
    FAILURE = auto()  # the worker failed; the request counts as run
    UNUSABLE = auto()  # the request counts as run; the answer must not be forwarded to the client


def worker_request(
    request: ServerRequest, worker_id: str, deadline: float, last_event_id: int | None
) -> SendRequest:
    """Returns the request to send to a worker. `last_event_id` resumes a stream after that event.

    The worker always receives the remaining time, even if the client sent no time-out, so that it can stop
    work at the deadline.
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


def classify_answer(head: AnswerHead) -> AnswerClass:
    """Classifies a worker's answer by its head.

    `UNUSABLE` covers successes that lack the worker's signature or whose body was encoded on the way, which
    must not reach the client as successes. It also covers a 503 that a worker sends for a request that has
    run, because to the client it would mean that the request has not run.
    """
    if head.status == MISDIRECTED or head.get(NOT_EXECUTED) is not None:
        return AnswerClass.NOT_RUN
    if head.get(CONTENT_ENCODING) is not None or head.status in NOT_RUN_STATUSES:
        return AnswerClass.UNUSABLE
    if 200 <= head.status < 300:
        return AnswerClass.SUCCESS if head.get(RESPONSE_SIGNATURE) is not None else AnswerClass.UNUSABLE
    return AnswerClass.FAILURE


def is_misdirected(request: ServerRequest, head: AnswerHead) -> bool:
    """Returns whether the answer shows that another worker now uses the address.

    A healthy worker also answers 421 if it serves another version of the weights than the client expects.
    """
    return head.status == MISDIRECTED and request.get(EXPECT_VERSION) is None


def client_headers(head: AnswerHead) -> Headers:
    """Returns the headers of a worker's answer to forward to the client."""
    return [
        (name, value) for name, value in end_to_end_headers(head.headers) if name.lower() != b"content-length"
    ]


def is_event_stream(head: AnswerHead) -> bool:
    """Returns whether the body is a stream of server-sent events."""
    return (head.get(b"content-type") or b"").lower().startswith(EVENT_STREAM)


def read_load(head: AnswerHead) -> Load | None:
    """Returns the load that the worker reports in the head, or None."""
    return parse_load(head.get(LOAD_HEADER))
