"""Calls between gateways and the store that leads a batch partition, as JSON lines.

A message's tag is its type's name unless one is given: a type that is renamed keeps its old tag, so that
programs of different versions understand each other.
"""

import msgspec


class ItemSpec(msgspec.Struct, frozen=True):
    """One item as the client sent it; `body` is base64."""

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Asks to keep a job. `host` and `path_prefix` name its route; the gateway got it `age_ms` ago."""

    job: str
    host: str
    path_prefix: str
    items: tuple[ItemSpec, ...]
    age_ms: float = 0.0


class JobAccepted(msgspec.Struct, frozen=True, tag=True):
    """The job is kept, synced by a majority; also the answer to a repeated submission."""


class JobRejected(msgspec.Struct, frozen=True, tag="JobRefused"):  # the wire's name
    """None of the job runs or will. `over_quota`: its tokens exceed the route's quota (429); else 503."""

    over_quota: bool = msgspec.field(name="full")  # the wire's name
    retry_after_s: float


class ReadResults(msgspec.Struct, frozen=True, tag=True):
    """Asks for results from position `after` on, waiting up to `wait_ms` for one."""

    job: str
    after: int
    wait_ms: float = 0.0


class ItemResult(msgspec.Struct, frozen=True):
    """One result as the operators' page PROTOCOL describes it; `state` is "succeeded" or "dead_letter"."""

    id: str
    state: str
    text: str


class ResultPage(msgspec.Struct, frozen=True, tag=True):
    """Answers `ReadResults`."""

    total: int
    next_position: int
    results: tuple[ItemResult, ...]


class ReadItem(msgspec.Struct, frozen=True, tag=True):
    """Asks for the body of an item not listed yet."""

    job: str
    item: str


class ItemBody(msgspec.Struct, frozen=True, tag=True):
    """Answers `ReadItem`; `body` is base64 as the client sent it."""

    body: str


class EndJob(msgspec.Struct, frozen=True, tag=True):
    """Asks that nothing more of a job runs."""

    job: str


class JobEnded(msgspec.Struct, frozen=True, tag=True):
    """Answers `EndJob`: the end is committed."""


class NotFound(msgspec.Struct, frozen=True, tag="Unknown"):  # the wire's name
    """The leader is sure that there is no such job or item."""


class NotLeading(msgspec.Struct, frozen=True, tag=True):
    """Another store leads the partition; `leader` is its member name, or empty. Nothing was done."""

    leader: str


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="Unsure"):  # the wire's name
    """The outcome is not known (leadership was lost on the way); the call may be repeated."""


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
