"""Runs the calls of a group's storage in a thread, one at a time, to keep disk I/O off the event loop."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass

from loguru import logger

from pewterring.consensus.backpressure import DISK_FULL_RETRY_S, DiskFullWarning, retry_while_full
from pewterring.consensus.errors import StorageFullError
from pewterring.consensus.persistent import GroupStorage, LoadedGroup
from pewterring.consensus.types import Save, Snapshot


@dataclass(frozen=True, slots=True)
class _Job:
    write: Callable[[], None]  # runs in the storage thread
    on_written: Callable[[], None]
    is_required: bool  # retried until the disk has free space; other jobs are skipped if it is full


class StorageJobs:
    """Owns the calls of the storage and the thread in which they run, one job at a time.

    While the disk is full, a save is retried until there is free space, and nothing of it is acknowledged
    meanwhile. The other members continue, so this one neither fails nor steps down as leader. Any other error
    stops the member.
    """

    def __init__(
        self,
        group: str,
        storage: GroupStorage,
        executor: Executor | None,
        on_job_done: Callable[[], None],
        on_error: Callable[[BaseException], None],
    ) -> None:
        """Calls `on_job_done` after each job and `on_error` with each error, both on the event loop."""
        self._group = group
        self._storage = storage
        self._own_executor = ThreadPoolExecutor(1, f"storage-{group}") if executor is None else None
        self._executor = executor or self._own_executor
        self._on_job_done = on_job_done
        self._on_error = on_error
        self._running: asyncio.Future[None] | None = None
        self._disk_full = DiskFullWarning(f"group {group}")
        self._is_halted = False

    @property
    def is_busy(self) -> bool:
        """Whether a job is running or waiting for free disk space."""
        return self._running is not None

    async def load(self) -> LoadedGroup:
        """Loads the stored state before the first job; waits while the disk is full.

        Raises:
            StorageError: the stored state cannot be read.
        """
        return await retry_while_full(f"group {self._group}", self._load_once)

    async def _load_once(self) -> LoadedGroup:
        return await asyncio.get_running_loop().run_in_executor(self._executor, self._storage.load)

    def begin_save(self, save: Save, on_saved: Callable[[], None]) -> None:
        """Begins a save that the core requested; `on_saved` is called when all of it is on disk."""
        self._begin(_Job(lambda: self._write_save(save), on_saved, is_required=True))

    def begin_snapshot(self, snapshot: Snapshot, on_saved: Callable[[], None]) -> None:
        """Begins to save a snapshot of this member; skips it if the disk is full: the log has its content."""
        self._begin(_Job(lambda: self._write_snapshot(snapshot), on_saved, is_required=False))

    def halt(self) -> None:
        """Stops callbacks and retries; a running job may still finish."""
        self._is_halted = True

    async def stop(self) -> None:
        """Halts, and waits for the running job."""
        self.halt()
        if self._running is not None:
            await asyncio.wait([self._running])
        if self._own_executor is not None:
            self._own_executor.shutdown(wait=False)

    def _write_save(self, save: Save) -> None:
        if save.snapshot is None:
            self._storage.save(save.hard_state, save.truncate_from, save.entries)
            return
        if save.hard_state is not None:
            self._storage.save(save.hard_state, None, ())
        self._write_snapshot(save.snapshot)
        if save.truncate_from is not None or save.entries:
            self._storage.save(None, save.truncate_from, save.entries)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        self._storage.save_snapshot(snapshot.index, snapshot.term, snapshot.membership, snapshot.data)

    def _begin(self, job: _Job) -> None:
        running = asyncio.get_running_loop().run_in_executor(self._executor, job.write)
        self._running = running
        running.add_done_callback(lambda finished: self._finish(job, finished))

    def _finish(self, job: _Job, finished: asyncio.Future[None]) -> None:
        if finished.cancelled() or self._is_halted:
            return
        error = finished.exception()
        if isinstance(error, StorageFullError) and job.is_required:
            self._disk_full.begin()
            asyncio.get_running_loop().call_later(DISK_FULL_RETRY_S, self._begin_again, job)
            return
        self._running = None
        if error is None:
            self._succeed(job)
        elif isinstance(error, StorageFullError):
            logger.bind(event="snapshot_postponed", group=self._group).info(
                "No disk space for a snapshot; it will be retried later"
            )
        else:
            self._on_error(error)
            return
        self._on_job_done()

    def _succeed(self, job: _Job) -> None:
        self._disk_full.end()
        try:
            job.on_written()
        except Exception as error:  # noqa: BLE001 - outermost handler: any error stops this member
            self._on_error(error)

    def _begin_again(self, job: _Job) -> None:
        if not self._is_halted:
            self._begin(job)
