"""Calls between gateways and the store that leads a batch partition, for golden tests of their encoding."""

import msgspec

from pewterring.batch.messages import (
    BATCH_MESSAGES,
    EndJob,
    ItemBody,
    JobAccepted,
    JobEnded,
    JobRejected,
    NotFound,
    NotLeading,
    OutcomeUnknown,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from pewterring.consensus.messages import CONSENSUS_MESSAGES
from pewterring.distribution.messages import FEED_MESSAGES
from pewterring.transport.lines import MessageCodec
from tests.golden.batch_commands import ITEMS, RESULTS
from tests.golden.rows import Family, Row, message_row

# The messages that a store decodes. All messages of one codec must have different names on the wire.
CODEC = MessageCodec((*CONSENSUS_MESSAGES, *BATCH_MESSAGES, *FEED_MESSAGES), "cluster-1")

_REQUESTS: tuple[tuple[str, msgspec.Struct], ...] = (
    (
        "SubmitJob-full",
        SubmitJob(job="job-1", host="chat.example", path_prefix="/batch/", items=ITEMS, age_ms=12.5),
    ),
    (
        "SubmitJob-defaults",
        SubmitJob(job="job-1", host="chat.example", path_prefix="/batch/", items=ITEMS[:1]),
    ),
    ("ReadResults-full", ReadResults(job="job-1", after=1, wait_ms=250.5)),
    ("ReadResults-defaults", ReadResults(job="job-1", after=0)),
    ("ReadItem-full", ReadItem(job="job-1", item="b")),
    ("EndJob-full", EndJob(job="job-1")),
)
_REPLIES: tuple[tuple[str, msgspec.Struct], ...] = (
    ("JobAccepted-full", JobAccepted()),
    ("JobRefused-full", JobRejected(over_quota=True, retry_after_s=2.5)),
    ("JobRefused-not-full", JobRejected(over_quota=False, retry_after_s=0.0)),
    ("ResultPage-full", ResultPage(total=3, next_position=2, results=RESULTS)),
    ("ResultPage-empty", ResultPage(total=3, next_position=0, results=())),
    ("ItemBody-full", ItemBody(body="aGk=")),
    ("JobEnded-full", JobEnded()),
    ("Unknown-full", NotFound()),
    ("NotLeading-full", NotLeading(leader="10.0.1.2#b2")),
    ("NotLeading-unknown", NotLeading(leader="")),
    ("Unsure-full", OutcomeUnknown()),
)


def _rows() -> tuple[Row, ...]:
    """Requests with an id of their own, and replies with the id of their request."""
    return (
        *(message_row(CODEC, name, message, request_id=3) for name, message in _REQUESTS),
        *(message_row(CODEC, name, message, reply_to=3) for name, message in _REPLIES),
    )


FAMILY = Family("batch_messages.txt", _rows(), BATCH_MESSAGES)
