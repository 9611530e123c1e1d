"""Batch calls of clients: validated, forwarded to the leading store, and answered with its result.

If a store may have acted on a call but did not answer, the client gets 504, which leaves open whether the
call took effect.
"""

import base64
import random
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

import msgspec

from pewterring.batch.messages import (
    EndJob,
    ItemBody,
    JobAccepted,
    JobEnded,
    JobRejected,
    NotFound,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from pewterring.configuration.model import Route
from pewterring.distribution.tables import Tables
from pewterring.gateway.answers import Answer, failure, success
from pewterring.gateway.batch_submission import MAX_ID_BYTES, read_submission
from pewterring.gateway.errors import InvalidSubmissionError
from pewterring.gateway.store_calls import StoreCaller
from pewterring.transport.lines import LinkPool

JOBS_PATH, ITEMS_PATH = "/v1/lots/", "/v1/items/"
READ_BUDGET_S = 1.2  # time for a read, in addition to its requested waiting time
SUBMIT_BUDGET_S = 3.0  # long enough for a leader change
MAX_WAIT_MS = 10_000.0  # longest time that a read may wait for results
NO_LEADER_RETRY_AFTER_S = 0.3  # about the duration of an election

_POSITION = re.compile(r"[0-9]{1,18}")


@dataclass(frozen=True, slots=True)
class BatchRequest:
    """A batch call as received.

    `wait_ms` is how long a read may wait for new results; `budget_s` is the time left for the whole call.
    """

    method: str
    target: str
    host: str
    request_id: str
    wait_ms: float
    budget_s: float
    body: bytes


def is_batch_call(method: str, path: str) -> bool:
    """Returns whether a request reads or ends a job, or reads an item."""
    if path.startswith(JOBS_PATH):
        return method in ("GET", "DELETE")
    return path.startswith(ITEMS_PATH) and method == "GET"


def max_duration_s(request: BatchRequest) -> float:
    """Returns the maximum number of seconds until a call is answered."""
    if request.method == "GET":
        return _wait_ms(request) / 1000 + READ_BUDGET_S
    return SUBMIT_BUDGET_S


def _wait_ms(request: BatchRequest) -> float:
    return min(MAX_WAIT_MS, max(0.0, request.wait_ms))


class BatchCalls:
    """Translates batch calls into messages to the leading store, and its answers into HTTP answers."""

    def __init__(
        self,
        links: LinkPool,
        tables: Callable[[], Tables],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._stores = StoreCaller(links, tables, rng, clock)

    async def submit(self, request: BatchRequest, route: Route) -> Answer:
        """Validates a job and submits it to the leading store."""
        if not request.request_id or len(request.request_id) > MAX_ID_BYTES:
            return failure(400, "a job needs an id in Request-Id")
        try:
            items = read_submission(request.body)
        except InvalidSubmissionError as error:
            return failure(400, str(error))
        job = SubmitJob(request.request_id, route.host, route.path_prefix, items)
        answer, may_have_run = await self._stores.call(job, min(request.budget_s, SUBMIT_BUDGET_S))
        if isinstance(answer, JobAccepted):
            return Answer(202)
        if may_have_run:
            # A store called earlier may still accept the job, so no refusal may say it did not run.
            return failure(504, "no store said whether the job is kept")
        if isinstance(answer, JobRejected):
            status = 429 if answer.over_quota else 503
            reason = "the quota of waiting tokens is used up" if answer.over_quota else "not taken"
            return failure(status, reason, answer.retry_after_s)
        return failure(503, "no store leads at the moment", NO_LEADER_RETRY_AFTER_S)

    async def call(self, request: BatchRequest) -> Answer:
        """Reads the results of a job or one item, or ends a job."""
        path, _, query = request.target.partition("?")
        parameters = parse_qs(query)
        if path.startswith(ITEMS_PATH):
            item = parameters.get("id", [""])[0]
            return await self._read_item(ReadItem(unquote(path[len(ITEMS_PATH) :]), item))
        job = unquote(path[len(JOBS_PATH) :])
        if request.method == "DELETE":
            return await self._end_job(EndJob(job))
        after = parameters.get("after", ["0"])[0]
        if not _POSITION.fullmatch(after):
            return failure(400, "after is not a position")
        return await self._read_results(ReadResults(job, int(after), _wait_ms(request)))

    async def _read_results(self, read: ReadResults) -> Answer:
        answer, _ = await self._stores.call(read, read.wait_ms / 1000 + READ_BUDGET_S)
        if isinstance(answer, ResultPage):
            results = [msgspec.structs.asdict(result) for result in answer.results]
            page = {"total": answer.total, "next_page_token": answer.next_position, "results": results}
            return success(200, page)
        if isinstance(answer, NotFound):
            return failure(404, "no such batch job")
        return failure(503, "no store is sure at the moment", NO_LEADER_RETRY_AFTER_S)

    async def _read_item(self, read: ReadItem) -> Answer:
        answer, _ = await self._stores.call(read, READ_BUDGET_S)
        if isinstance(answer, ItemBody):
            body = base64.b64decode(answer.body)
            return Answer(200, (("Content-Type", "application/octet-stream"),), body)
        if isinstance(answer, NotFound):
            return failure(404, "no such item")
        return failure(503, "no store is sure at the moment", NO_LEADER_RETRY_AFTER_S)

    async def _end_job(self, end: EndJob) -> Answer:
        answer, may_have_run = await self._stores.call(end, SUBMIT_BUDGET_S)
        if isinstance(answer, JobEnded):
            return success(200, {})
        if isinstance(answer, NotFound):
            return failure(404, "no such batch job")
        return failure(504 if may_have_run else 503, "no store said whether the job is ended")
