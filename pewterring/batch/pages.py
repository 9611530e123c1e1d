"""Pages of results, and calls that wait for the next result (long polling)."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from pewterring.batch.messages import ItemResult, ResultPage
from pewterring.batch.state import Job

PAGE_BYTES = 800_000  # of a page's results as JSON; clients accept up to 1 MB, and the page has a few more
SEPARATOR_BYTES = 1  # between two results


def result_page(job: Job, after: int) -> ResultPage:
    """A page of the job's results from position `after` on; it has at least one result if there is any."""
    page: list[ItemResult] = []
    remaining_bytes = PAGE_BYTES
    for position in range(max(0, after), len(job.results)):
        result = job.results[position]
        remaining_bytes -= _size_bytes(result)
        if page and remaining_bytes < 0:
            break
        page.append(result)
    return ResultPage(total=job.total, next_position=after + len(page), results=tuple(page))


def _size_bytes(result: ItemResult) -> int:
    """The result's size in a page. A text that is itself JSON takes far more bytes than characters."""
    return len(msgspec.json.encode(result)) + SEPARATOR_BYTES


class ResultWaiters:
    """The calls that wait for a job's next result. Applying a command to the job wakes them."""

    def __init__(self) -> None:
        self._futures_by_job: dict[str, set[asyncio.Future[None]]] = {}

    async def wait(self, job_id: str, timeout_s: float, ready: Callable[[], bool]) -> None:
        """Returns when `ready` returns True, the timeout has passed, or `stop_waiting` is called."""
        if timeout_s <= 0 or ready():
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        with contextlib.suppress(TimeoutError, _WaitingStoppedError):
            async with asyncio.timeout_at(deadline):
                while not ready():
                    await self._next(job_id)

    async def _next(self, job_id: str) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._futures_by_job.setdefault(job_id, set()).add(future)
        try:
            await future
        finally:
            self._discard(job_id, future)

    def _discard(self, job_id: str, future: "asyncio.Future[None]") -> None:
        waiting = self._futures_by_job.get(job_id)
        if waiting is None:
            return
        waiting.discard(future)
        if not waiting:
            del self._futures_by_job[job_id]

    def wake(self, job_id: str) -> None:
        """Makes the calls that wait for this job check their condition again."""
        for future in self._futures_by_job.pop(job_id, ()):
            if not future.done():
                future.set_result(None)

    def stop_waiting(self) -> None:
        """Makes all waiting calls return."""
        waiting, self._futures_by_job = self._futures_by_job, {}
        for futures in waiting.values():
            for future in futures:
                if not future.done():
                    future.set_exception(_WaitingStoppedError())


class _WaitingStoppedError(Exception):
    """Ends a wait; never raised outside this module."""
