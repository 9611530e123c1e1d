"""Calls between gateways and the store that leads a batch partition, as JSON lines."""

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


class JobRefused(msgspec.Struct, frozen=True, tag=True):
    """None of the job runs or will. `full`: it does not fit the quota (429); else 503."""

    full: bool
    retry_after_s: float


class ReadResults(msgspec.Struct, frozen=True, tag=True):
    """Asks for results from position `after` on, waiting up to `wait_ms` for one."""

    job: str
    after: int
    wait_ms: float = 0.0


class ItemResult(msgspec.Struct, frozen=True):
    """One result as PROTOCOL has it; `state` is "succeeded" or "dead_letter"."""

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
    """Answers `EndJob`: committed."""


class Unknown(msgspec.Struct, frozen=True, tag=True):
    """The leader is sure that there is no such job or item."""


class NotLeading(msgspec.Struct, frozen=True, tag=True):
    """Another store leads the partition; `leader` is its member name, or empty. Nothing was done."""

    leader: str


class Unsure(msgspec.Struct, frozen=True, tag=True):
    """The outcome is not known (leadership was lost on the way); the call may be repeated."""


BATCH_MESSAGES = (
    SubmitJob,
    JobAccepted,
    JobRefused,
    ReadResults,
    ResultPage,
    ReadItem,
    ItemBody,
    EndJob,
    JobEnded,
    Unknown,
    NotLeading,
    Unsure,
)
