"""Batch calls of clients: read, checked, passed to the store that leads, answered as it says."""

import asyncio
import base64
import binascii
import random
import re
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

import msgspec

from pewterring.batch.messages import (
    EndJob,
    ItemBody,
    ItemSpec,
    JobAccepted,
    JobEnded,
    JobRejected,
    NotFound,
    NotLeading,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from pewterring.configuration.model import Route
from pewterring.distribution.messages import STORE
from pewterring.distribution.tables import Tables
from pewterring.gateway.answers import Answer, failure, success
from pewterring.transport.lines import LinkPool, RequestNotSent, TransportError

LOTS, ITEMS = "/v1/lots/", "/v1/items/"
MAX_ITEMS = 200
TRY_S = 1.2  # one try at one store; a commit takes some milliseconds
TRY_PAUSE_S = 0.06
READ_BUDGET_S = 1.2  # beyond what a read may wait
SUBMIT_BUDGET_S = 3.0
MAX_WAIT_MS = 10_000.0
MAX_ID_BYTES = 200

_PATH = re.compile(r"/[!-~]*")
_POSITION = re.compile(r"[0-9]{1,18}")
_FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
_FIELD_VALUE = re.compile(r"[\t -~\x80-\xff]*")  # RFC 9110, 5.5: also obsolete text

CallMessage = SubmitJob | ReadResults | ReadItem | EndJob


class BadSubmission(Exception):
    """A submission cannot be used; the text says which item and why."""


class _Submission(msgspec.Struct):
    requests: list[ItemSpec]


@dataclass(frozen=True, slots=True)
class BatchRequest:
    """A batch call as it came: method, raw target, request id, waiting time, body."""

    method: str
    target: str
    host: str
    request_id: str
    wait_ms: float
    budget_s: float
    body: bytes


def is_batch_call(method: str, path: str) -> bool:
    """Whether a request reads or ends a job or reads an item."""
    if path.startswith(LOTS):
        return method in ("GET", "DELETE")
    return path.startswith(ITEMS) and method == "GET"


def longest_s(request: BatchRequest) -> float:
    """How long a call may take until it is answered."""
    if request.method == "GET":
        return _wait_ms(request) / 1000 + READ_BUDGET_S
    return SUBMIT_BUDGET_S


def _wait_ms(request: BatchRequest) -> float:
    return min(MAX_WAIT_MS, max(0.0, request.wait_ms))


def read_submission(body: bytes) -> tuple[ItemSpec, ...]:
    """Reads and checks the items of a job; raises `BadSubmission`."""
    try:
        items = msgspec.json.decode(body, type=_Submission).requests
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadSubmission(f"the submission cannot be read: {error}") from error
    if len(items) > MAX_ITEMS:
        raise BadSubmission(f"{len(items)} items, {MAX_ITEMS} at most")
    seen: set[str] = set()
    for item in items:
        if not item.id or len(item.id) > MAX_ID_BYTES:
            raise BadSubmission(f"item {item.id!r}: its id is empty or too long")
        if item.id in seen:
            raise BadSubmission(f"item {item.id!r} is there twice")
        seen.add(item.id)
        fault = _unsendable(item)
        if fault is not None:
            raise BadSubmission(f"item {item.id!r}: {fault}")
        if item.tokens < 0:
            raise BadSubmission(f"item {item.id!r}: tokens are negative")
        try:
            binascii.a2b_base64(item.body, strict_mode=True)
        except (binascii.Error, ValueError) as error:
            raise BadSubmission(f"item {item.id!r}: its body is no base64: {error}") from error
    return tuple(items)


def _unsendable(item: ItemSpec) -> str | None:
    """Why an item cannot go out as the HTTP request that it asks for, if so.

    Symptom answered: a line end in a path or header is a second request inside the first at a worker, and
    what has no bytes in HTTP would be tried in vain until the item may be given up.
    """
    if not _FIELD_VALUE.fullmatch(item.id):
        return "its id cannot be sent as a header"
    if not _PATH.fullmatch(item.path):
        return "its path is no path of a request"
    for name, value in item.headers.items():
        if not _FIELD_NAME.fullmatch(name) or not _FIELD_VALUE.fullmatch(value):
            return f"its header {name!r} cannot be sent"
    return None


class BatchCalls:
    """Finds the leading store and calls it until it answers or time is over."""

    def __init__(
        self,
        links: LinkPool,
        tables: Callable[[], Tables],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._links = links
        self._tables = tables
        self._rng = rng
        self._clock = clock
        self._leader = ""  # IP that answered or was named last

    async def submit(self, request: BatchRequest, route: Route) -> Answer:
        """Hands in a job."""
        if not request.request_id or len(request.request_id) > MAX_ID_BYTES:
            return failure(400, "a job needs an id in Request-Id")
        try:
            items = read_submission(request.body)
        except BadSubmission as error:
            return failure(400, str(error))
        job = SubmitJob(request.request_id, route.host, route.path_prefix, items)
        answer, may_have_run = await self._call(job, min(request.budget_s, SUBMIT_BUDGET_S))
        if isinstance(answer, JobAccepted):
            return Answer(202)
        if may_have_run:
            # A store that was asked before may still take the job: a refusal would promise too much.
            return failure(504, "no store said whether the job is kept")
        if isinstance(answer, JobRejected):
            status = 429 if answer.over_quota else 503
            reason = "the quota of waiting tokens is used up" if answer.over_quota else "not taken"
            return failure(status, reason, answer.retry_after_s)
        return failure(503, "no store leads at the moment", 0.3)

    async def call(self, request: BatchRequest) -> Answer:
        """Reads results or an item, or ends a job."""
        path, _, query = request.target.partition("?")
        parameters = parse_qs(query)
        if path.startswith(ITEMS):
            item = parameters.get("id", [""])[0]
            return await self._item(ReadItem(unquote(path[len(ITEMS) :]), item))
        job = unquote(path[len(LOTS) :])
        if request.method == "DELETE":
            return await self._end(EndJob(job))
        after = parameters.get("after", ["0"])[0]
        if not _POSITION.fullmatch(after):
            return failure(400, "after is not a position")
        return await self._results(ReadResults(job, int(after), _wait_ms(request)))

    async def _results(self, read: ReadResults) -> Answer:
        answer, _ = await self._call(read, read.wait_ms / 1000 + READ_BUDGET_S)
        if isinstance(answer, ResultPage):
            results = [msgspec.structs.asdict(result) for result in answer.results]
            page = {"total": answer.total, "next_page_token": answer.next_position, "results": results}
            return success(200, page)
        if isinstance(answer, NotFound):
            return failure(404, "no such batch job")
        return failure(503, "no store is sure at the moment", 0.3)

    async def _item(self, read: ReadItem) -> Answer:
        answer, _ = await self._call(read, READ_BUDGET_S)
        if isinstance(answer, ItemBody):
            body = base64.b64decode(answer.body)
            return Answer(200, (("Content-Type", "application/octet-stream"),), body)
        if isinstance(answer, NotFound):
            return failure(404, "no such item")
        return failure(503, "no store is sure at the moment", 0.3)

    async def _end(self, end: EndJob) -> Answer:
        answer, may_have_run = await self._call(end, SUBMIT_BUDGET_S)
        if isinstance(answer, JobEnded):
            return success(200, {})
        if isinstance(answer, NotFound):
            return failure(404, "no such batch job")
        return failure(504 if may_have_run else 503, "no store said whether the job is ended")

    async def _call(self, message: CallMessage, budget_s: float) -> tuple[msgspec.Struct | None, bool]:
        """The leader's answer, or None once time is over, and whether a store may have acted."""
        ends_at = self._clock() + budget_s
        wait_s = message.wait_ms / 1000 if isinstance(message, ReadResults) else 0.0
        may_have_run = False
        candidates = self._candidates()
        while (left := ends_at - self._clock()) > 0:
            ip = next(candidates, "")
            if not ip:
                await asyncio.sleep(min(left, TRY_PAUSE_S * (0.5 + self._rng.random())))
                candidates = self._candidates()
                continue
            try:
                answer = await self._links.request(ip, message, min(left, TRY_S + wait_s))
            except RequestNotSent:
                self._forget(ip)
                continue
            except TransportError:
                self._forget(ip)
                may_have_run = True
                continue
            if isinstance(answer, NotLeading):
                self._forget(ip)
                named = answer.leader.partition("#")[0]
                if named and named != ip:
                    self._leader = named
                    candidates = self._candidates()
                    await asyncio.sleep(0)
                continue
            if isinstance(answer, NotFound | ItemBody | ResultPage | JobAccepted | JobRejected | JobEnded):
                self._leader = ip
                return answer, may_have_run
            may_have_run = True
        return None, may_have_run

    def _forget(self, ip: str) -> None:
        if self._leader == ip:
            self._leader = ""

    def _candidates(self) -> Iterator[str]:
        """IPs to ask in turn: who led last, who is said to lead, then all stores."""
        tables = self._tables()
        order = [self._leader] if self._leader else []
        order += [group.leader.partition("#")[0] for group in tables.groups if group.leader]
        stores = [node.ip for node in tables.nodes if node.program == STORE]
        self._rng.shuffle(stores)
        return iter(dict.fromkeys([*order, *stores]))
