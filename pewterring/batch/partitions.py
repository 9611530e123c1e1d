"""The partitions of one store: starts and stops them, and checks their memberships periodically.

What may go wrong: a partition cannot start, or stops because its disk failed. This is reported once, and the
process must be restarted.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from pathlib import Path

from loguru import logger

from pewterring.batch.partition import Partition, StoreEnvironment
from pewterring.consensus.messages import ConsensusMessage, Membership
from pewterring.distribution.messages import GroupStatus, PlacementRecord
from pewterring.storage.disk import FolderDisk
from pewterring.storage.log import SEGMENT_SUFFIX
from pewterring.storage.snapshots import SNAPSHOT_SUFFIX

GROUP_FILE_SUFFIXES = (SEGMENT_SUFFIX, SNAPSHOT_SUFFIX)
MEMBERSHIP_CHECK_PERIOD_S = 0.1  # far below the time that a new member takes to catch up


class StorePartitions:
    """Starts each partition of a store once, and stops them all.

    Owns the tasks in which partitions start (`cancel_starts` ends them) and the task that checks memberships
    (it runs from `start_membership_checks` to `stop_membership_checks`).

    Args:
        data_dir: The folder with the files of all groups.
        environment: Returns the environment that all partitions share; called for each new partition.
    """

    def __init__(self, data_dir: Path, environment: Callable[[], StoreEnvironment]) -> None:
        self._data_dir = data_dir
        self._environment = environment
        self._partitions: dict[str, Partition] = {}
        self._starting: dict[str, asyncio.Task[None]] = {}
        self._membership_task: asyncio.Task[None] | None = None

    def __iter__(self) -> Iterator[Partition]:
        return iter(tuple(self._partitions.values()))

    async def load(self) -> None:
        """Starts the partitions that are on disk, whether or not they have a snapshot yet.

        A voter must be able to stand for election without a message of another: after a restart of all
        stores the others may wait as well.

        Raises:
            StorageError: A group's files cannot be read.
        """
        for name in sorted(self._groups_on_disk()):
            await self._add(name, None)

    def start_membership_checks(self) -> None:
        """Starts to check the membership of all groups periodically."""
        self._membership_task = asyncio.create_task(self._check_memberships())

    async def stop_membership_checks(self) -> None:
        """Ends the checks. A membership change in progress is abandoned; the next leader plans it again."""
        if self._membership_task is not None:
            self._membership_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._membership_task

    def cancel_starts(self) -> None:
        """Cancels the start of partitions that are still starting."""
        for task in self._starting.values():
            task.cancel()

    async def drain(self) -> None:
        """Gives up leadership and votes before a planned stop."""
        await asyncio.gather(*(partition.drain() for partition in self))

    async def stop(self) -> None:
        """Stops all partitions, one after the other."""
        for partition in self:
            await partition.stop()

    def ensure_placed(self, placement: PlacementRecord) -> None:
        """Starts a partition that control has placed on this store, unless it runs or is starting.

        One that runs without knowing its members, because the store ended before it had saved its first
        voters, is started anew with them.
        """
        name = placement.group
        running = self._partitions.get(name)
        if running is not None and not running.knows_members:
            del self._partitions[name]
            self._start_in_background(name, Membership(placement.voters), running)
        else:
            self._start_in_background(name, Membership(placement.voters))

    def receive(self, message: ConsensusMessage, placements: tuple[PlacementRecord, ...]) -> None:
        """Passes a message to its group. Starts the group if it does not run yet but is placed."""
        partition = self._partitions.get(message.group)
        if partition is not None:
            partition.group.receive(message)
        elif message.group in {placement.group for placement in placements}:
            self._start_in_background(message.group, None)

    def status(self) -> GroupStatus | None:
        """The report on the group that this store leads; None if it leads none."""
        statuses = (partition.status() for partition in self)
        return next((status for status in statuses if status is not None), None)

    def tables_changed(self) -> None:
        """Notifies all partitions that there are new tables."""
        for partition in self:
            partition.service.tables_changed()

    def _groups_on_disk(self) -> set[str]:
        """The names of the groups that have files on disk."""
        names = FolderDisk(self._data_dir).names()
        return {name.partition(".")[0] for name in names if name.endswith(GROUP_FILE_SUFFIXES)}

    def _start_in_background(
        self, name: str, first_voters: Membership | None, replaced: Partition | None = None
    ) -> None:
        """Starts a partition in the background, unless it runs or is starting; stops `replaced` first."""
        if name in self._partitions or name in self._starting:
            return
        task = asyncio.get_running_loop().create_task(self._add(name, first_voters, replaced))
        self._starting[name] = task
        task.add_done_callback(lambda done: self._on_started(name, done))

    def _on_started(self, name: str, task: "asyncio.Task[None]") -> None:
        self._starting.pop(name, None)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, Exception):
            self._environment().on_failure(error)

    async def _add(
        self, name: str, first_voters: Membership | None, replaced: Partition | None = None
    ) -> None:
        if replaced is not None:
            await replaced.stop()
        partition = Partition(name, self._data_dir, self._environment())
        await partition.start(first_voters)
        self._partitions[name] = partition

    async def _check_memberships(self) -> None:
        while True:
            await asyncio.sleep(MEMBERSHIP_CHECK_PERIOD_S)
            for partition in self:
                partition.check_leader()
                try:
                    await partition.manage_members()
                except Exception:  # noqa: BLE001 - an error must not end the task: other checks go on
                    logger.bind(event="membership_check_failed", group=partition.name).exception(
                        "Checking the membership of a partition failed; it is checked again shortly."
                    )
