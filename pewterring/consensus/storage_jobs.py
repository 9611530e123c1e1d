"""Calls of a group's storage, one at a time, in a thread."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from typing import TypeVar

from loguru import logger

from pewterring.consensus.backpressure import DISK_FULL_RETRY_S, retry_while_full
from pewterring.consensus.errors import StorageFullError

_Result = TypeVar("_Result")


class StorageJobs:
    """Runs one job at a time. `after` is called behind each, `fail` with what went wrong.

    Where the disk is full, a job that must be done is tried again until there is room, and meanwhile claims
    nothing: the other members go on, so this one neither fails nor gives up leading.
    """

    def __init__(
        self,
        group: str,
        executor: Executor | None,
        after: Callable[[], None],
        fail: Callable[[BaseException], None],
    ) -> None:
        self._group = group
        self._own_executor = ThreadPoolExecutor(1, f"storage-{group}") if executor is None else None
        self._executor = executor or self._own_executor
        self._after = after
        self._fail = fail
        self._job: asyncio.Future[None] | None = None
        self._waits_for_room = False
        self._stopped = False

    @property
    def busy(self) -> bool:
        """Whether a job is under way, or waits for room."""
        return self._job is not None

    async def call(self, work: Callable[[], _Result]) -> _Result:
        """Does the work in the thread, beside the jobs. On a full disk it waits for room."""
        return await retry_while_full(f"group {self._group}", lambda: self._run(work))

    async def _run(self, work: Callable[[], _Result]) -> _Result:
        return await asyncio.get_running_loop().run_in_executor(self._executor, work)

    def begin(self, work: Callable[[], None], done: Callable[[], None], must_be_done: bool) -> None:
        """Begins a job; `done` is called when it has succeeded."""
        job = asyncio.get_running_loop().run_in_executor(self._executor, work)
        self._job = job
        job.add_done_callback(lambda finished: self._finish(finished, work, done, must_be_done))

    def halt(self) -> None:
        """What still ends is told to nobody."""
        self._stopped = True

    async def stop(self) -> None:
        """Waits for the job under way."""
        self.halt()
        if self._job is not None:
            await asyncio.wait([self._job])
        if self._own_executor is not None:
            self._own_executor.shutdown(wait=False)

    def _finish(
        self,
        job: asyncio.Future[None],
        work: Callable[[], None],
        done: Callable[[], None],
        must_be_done: bool,
    ) -> None:
        if job.cancelled() or self._stopped:
            return
        error = job.exception()
        if isinstance(error, StorageFullError) and must_be_done:
            self._begin_later(work, done)
            return
        self._job = None
        if error is None:
            self._succeed(done)
        elif isinstance(error, StorageFullError):
            logger.info("group {} has no room for a snapshot; it is tried again later", self._group)
        else:
            self._fail(error)
            return
        self._after()

    def _succeed(self, done: Callable[[], None]) -> None:
        self._waits_for_room = False
        try:
            done()
        except Exception as failure:
            self._fail(failure)

    def _begin_later(self, work: Callable[[], None], done: Callable[[], None]) -> None:
        if not self._waits_for_room:
            self._waits_for_room = True
            logger.warning("group {} waits for room on the disk", self._group)
        asyncio.get_running_loop().call_later(DISK_FULL_RETRY_S, self._begin_again, work, done)

    def _begin_again(self, work: Callable[[], None], done: Callable[[], None]) -> None:
        if not self._stopped:
            self.begin(work, done, must_be_done=True)
