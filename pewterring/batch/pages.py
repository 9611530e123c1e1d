"""Pages of results, and calls that wait for the next result (long polling)."""

import asyncio
import contextlib
from collections.abc import Callable

from pewterring.batch.messages import ItemResult, ResultPage
from pewterring.batch.state import Job

PAGE_BYTES = 800_000  # by the estimate below; the client's limit is 1 MB
RESULT_OVERHEAD_BYTES = 200  # of a result beside its text
MAX_CHARACTER_BYTES = 4  # of one character that is not ASCII


def result_page(job: Job, after: int) -> ResultPage:
    """Results from position `after` on; at least one if there is one."""
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
    text = result.text
    return RESULT_OVERHEAD_BYTES + len(text) * (1 if text.isascii() else MAX_CHARACTER_BYTES)


class ResultWaiters:
    """Calls that wait for a job's next result; woken when something is applied, without polling."""

    def __init__(self) -> None:
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}

    async def wait(self, job_id: str, timeout_s: float, ready: Callable[[], bool]) -> None:
        """Returns when `ready` holds, the time is over, or `stop_waiting` was called."""
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
        self._waiting.setdefault(job_id, set()).add(future)
        try:
            await future
        finally:
            self._discard(job_id, future)

    def _discard(self, job_id: str, future: "asyncio.Future[None]") -> None:
        waiting = self._waiting.get(job_id)
        if waiting is None:
            return
        waiting.discard(future)
        if not waiting:
            del self._waiting[job_id]

    def wake(self, job_id: str) -> None:
        """Lets the calls that wait for that job look again."""
        for future in self._waiting.pop(job_id, ()):
            if not future.done():
                future.set_result(None)

    def stop_waiting(self) -> None:
        """Ends all waiting."""
        waiting, self._waiting = self._waiting, {}
        for futures in waiting.values():
            for future in futures:
                if not future.done():
                    future.set_exception(_WaitingStoppedError())


class _WaitingStoppedError(Exception):
    """Ends a wait from within; never leaves this module."""
