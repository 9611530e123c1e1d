"""Calls between gateways and the store that leads a batch partition, as JSON lines.

A message's tag is its type's name unless one is given. A type that is renamed must keep its old tag, so that
programs of different versions understand each other.
"""

import msgspec


class ItemSpec(msgspec.Struct, frozen=True):
    """One item as the client sent it; `body` is encoded as base64."""

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Submits a job. `host` and `path_prefix` identify its route; the gateway received it `age_ms` ago."""

    job: str
    host: str
    path_prefix: str
    items: tuple[ItemSpec, ...]
    age_ms: float = 0.0


class JobAccepted(msgspec.Struct, frozen=True, tag=True):
    """The job is on disk at a majority of members. Also the answer to a repeated submission."""


class JobRejected(msgspec.Struct, frozen=True, tag="JobRefused"):  # the tag is the name on the wire
    """No item of the job runs, now or later.

    `over_quota`: whether the job's tokens exceed the route's quota (status 429; 503 for any other reason).
    """

    over_quota: bool = msgspec.field(name="full")  # "full" is the name on the wire
    retry_after_s: float


class ReadResults(msgspec.Struct, frozen=True, tag=True):
    """Requests the results from position `after` on, and waits up to `wait_ms` for the first of them."""

    job: str
    after: int
    wait_ms: float = 0.0


class ItemResult(msgspec.Struct, frozen=True):
    """One result, as the page PROTOCOL describes it; `state` is "succeeded" or "dead_letter"."""

    id: str
    state: str
    text: str


class ResultPage(msgspec.Struct, frozen=True, tag=True):
    """Answers `ReadResults`. `total` is the number of the job's items, with or without a result."""

    total: int
    next_position: int
    results: tuple[ItemResult, ...]


class ReadItem(msgspec.Struct, frozen=True, tag=True):
    """Requests the body of an item that has no result yet."""

    job: str
    item: str


class ItemBody(msgspec.Struct, frozen=True, tag=True):
    """Answers `ReadItem`; `body` is the base64 that the client sent."""

    body: str


class EndJob(msgspec.Struct, frozen=True, tag=True):
    """Requests that no more items of a job run."""

    job: str


class JobEnded(msgspec.Struct, frozen=True, tag=True):
    """Answers `EndJob`: the end is committed."""


class NotFound(msgspec.Struct, frozen=True, tag="Unknown"):  # the tag is the name on the wire
    """There is no such job or item. The leader answers this only after a read barrier."""


class NotLeading(msgspec.Struct, frozen=True, tag=True):
    """Another store leads the partition. `leader` is its member name, or empty. The call had no effect."""

    leader: str


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="Unsure"):  # the tag is the name on the wire
    """The call's outcome is unknown, because leadership was lost meanwhile; the call may be repeated."""


BATCH_MESSAGES = (
    SubmitJob,
    JobAccepted,
    JobRejected,
    ReadResults,
    ResultPage,
    ReadItem,
    ItemBody,
    EndJob,
    JobEnded,
    NotFound,
    NotLeading,
    OutcomeUnknown,
)
