"""Runs the consensus core of one member on asyncio: passes it time and messages, and does its I/O.

The driver owns the core, its timer, the storage jobs, the pending calls, and all calls of the state machine.
Entries that arrive during a save are part of the next save. Any error in the storage, the state machine or
the core stops this member only: callers and `on_failure` get a `GroupFailedError`.
"""

import asyncio

from loguru import logger

from pewterring.consensus.deadline_timer import DeadlineTimer
from pewterring.consensus.errors import GroupFailedError, OutcomeUnknownError, StorageError
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment, GroupOptions
from pewterring.consensus.leadership_notifier import LeadershipNotifier
from pewterring.consensus.log import entry_size
from pewterring.consensus.messages import ENTRY_COMMAND, ConsensusMessage, Entry
from pewterring.consensus.pending import PendingCalls
from pewterring.consensus.persistent import LoadedGroup
from pewterring.consensus.raft import Raft
from pewterring.consensus.snapshot_schedule import SnapshotSchedule
from pewterring.consensus.storage_jobs import StorageJobs
from pewterring.consensus.types import RaftConfig, Ready, Save, Snapshot

# A leader whose disk stalls or is full keeps all entries in memory while the other voters commit them. Above
# this many bytes that are not on its disk it transfers its leadership: as a follower it receives no more than
# one replication window.
MAX_UNPERSISTED_BYTES = 16_000_000


class RaftDriver:
    """Runs on the event loop except for the calls of the storage; `start` and `stop` are called once each."""

    def __init__(
        self,
        group: str,
        member: str,
        environment: GroupEnvironment,
        options: GroupOptions,
        callbacks: GroupCallbacks,
    ) -> None:
        self.group = group
        self.member = member
        self.raft: Raft | None = None  # None before the start
        self.is_stopped = False
        self.pending = PendingCalls()
        self.leadership = LeadershipNotifier(callbacks.on_leadership)
        self._environment = environment
        self._options = options
        self._on_failure = callbacks.on_failure
        self._machine = environment.machine
        self._send = environment.send
        self._clock = environment.clock
        self._jobs = StorageJobs(
            group, environment.storage, environment.executor, on_job_done=self.process, on_error=self._fail
        )
        self._snapshots = SnapshotSchedule(options.snapshot_after_bytes, environment.rng)
        self._timer = DeadlineTimer(environment.clock, self._on_deadline)
        self._failure: GroupFailedError | None = None
        self._is_scheduled = False

    async def start(self) -> None:
        """Loads the stored state and begins to take part in the group.

        Raises:
            GroupFailedError: if the storage or the snapshot in it cannot be read.
        """
        try:
            loaded = await self._jobs.load()
            self._restore(loaded)
        except Exception as error:
            raise GroupFailedError(f"group {self.group} cannot start: {error}") from error
        config = RaftConfig(self.group, self.member, self._options.timing, self._options.limits)
        self.raft = Raft(config, self._environment.rng, loaded.state, self._clock())
        self.process()

    def _restore(self, loaded: LoadedGroup) -> None:
        if loaded.snapshot is None:
            return
        try:
            self._machine.restore(loaded.snapshot)
        except Exception as error:
            source = loaded.snapshot_file or "the snapshot"
            raise StorageError(f"{source} cannot be read: {error}") from error
        self._snapshots.on_snapshot_loaded(len(loaded.snapshot))

    async def stop(self) -> None:
        """Stops the member. A save in progress is finished; pending calls raise `OutcomeUnknownError`."""
        self._halt(OutcomeUnknownError(f"group {self.group} is stopping"))
        await self._jobs.stop()

    def _halt(self, error: Exception) -> None:
        self.is_stopped = True
        self._jobs.halt()
        self._timer.cancel()
        self.pending.fail_all(error)
        self.pending.leadership_ended()
        self.leadership.update(None)

    def _fail(self, cause: BaseException) -> None:
        if self.is_stopped:
            return
        self._failure = GroupFailedError(f"group {self.group} stopped: {type(cause).__name__}: {cause}")
        self._failure.__cause__ = cause
        self._halt(self._failure)
        self._on_failure(self._failure)

    def running(self) -> Raft:
        """Returns the core.

        Raises:
            GroupFailedError: if the member is not running; the text says why it stopped.
        """
        if self._failure is not None:
            raise self._failure
        if self.raft is None or self.is_stopped:
            raise GroupFailedError(f"group {self.group} is not running")
        return self.raft

    def receive(self, message: ConsensusMessage) -> bool:
        """Passes a message to the core; False if the member is not running or the message made it fail."""
        if self.raft is None or self.is_stopped:
            return False
        try:
            self.raft.step(self._clock(), message)
        except Exception as error:  # noqa: BLE001 - outermost handler: any error stops this member
            self._fail(error)
            return False
        self.schedule()
        return True

    def schedule(self) -> None:
        """Schedules `process` for the next loop iteration, so that all work of this one is batched."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._is_scheduled = False
        self.process()

    def process(self) -> None:
        """Does all work that the core requests now."""
        raft = self.raft
        if raft is None or self.is_stopped:
            return
        try:
            self._snapshot_if_due(raft)
            while self._take_ready(raft):
                pass
            self._timer.arm(raft.next_deadline())
        except Exception as error:  # noqa: BLE001 - outermost handler: any error stops this member
            self._fail(error)

    def _on_deadline(self) -> None:
        raft = self.raft
        if raft is None or self.is_stopped:
            return
        try:
            raft.tick(self._clock())
            self._transfer_leadership_if_disk_lags(raft)
        except Exception as error:  # noqa: BLE001 - outermost handler: any error stops this member
            self._fail(error)
        else:
            self.process()

    def _transfer_leadership_if_disk_lags(self, raft: Raft) -> None:
        if raft.is_leader and self._jobs.is_busy and raft.unpersisted_bytes > MAX_UNPERSISTED_BYTES:
            raft.transfer_leadership(self._clock())

    def _take_ready(self, raft: Raft) -> bool:
        """Does the work that the core requests; True if it may request more at once."""
        ready = raft.take_ready(self._clock(), can_save=not self._jobs.is_busy)
        for message in ready.messages_before_sync:
            self._send(message)
        for entry in ready.committed:
            self._apply(entry)
        self._notify(raft, ready)
        if ready.save is not None:
            self._begin_save(ready.save)
        if ready.snapshot_wanted:
            raft.offer_snapshot(raft.make_snapshot(self._machine.snapshot()))
        return ready.snapshot_wanted

    def _apply(self, entry: Entry) -> None:
        result: object = None
        if entry.kind == ENTRY_COMMAND:
            result = self._machine.apply(entry.index, bytes(entry.data))
        self._snapshots.on_entry_applied(entry_size(entry))
        self.pending.applied(entry.index, entry.term, result)

    def _notify(self, raft: Raft, ready: Ready) -> None:
        """Notifies pending calls and the owner of changes, after all entries were applied."""
        for ticket in ready.confirmed_reads:
            self.pending.confirmed(raft.term, ticket.number)
        self.pending.fail_other_terms(raft.term if raft.is_leader else None, raft.leader)
        self.leadership.update(raft.term if raft.is_ready_leader else None)
        if not raft.is_leader:
            self.pending.leadership_ended()

    def _begin_save(self, save: Save) -> None:
        if save.snapshot is not None:
            # The snapshot is restored before it is written: the next start must be able to decode it.
            self._machine.restore(save.snapshot.data)
        self._jobs.begin_save(save, lambda: self._saved(save))

    def _saved(self, save: Save) -> None:
        raft = self.running()
        if save.snapshot is not None:
            self._snapshots.restart(len(save.snapshot.data))
            self._log_snapshot("snapshot_installed", "Installed the leader's snapshot", save.snapshot)
        raft.persisted(self._clock(), save)
        for message in save.messages_after_sync:
            self._send(message)

    def _snapshot_if_due(self, raft: Raft) -> None:
        if not self._snapshots.is_due or self._jobs.is_busy or raft.is_installing_snapshot:
            return
        snapshot = raft.make_snapshot(self._machine.snapshot())
        self._snapshots.restart(len(snapshot.data))
        self._jobs.begin_snapshot(snapshot, lambda: self._snapshot_saved(raft, snapshot))

    def _snapshot_saved(self, raft: Raft, snapshot: Snapshot) -> None:
        self._log_snapshot("snapshot_saved", "Saved a snapshot of this member's state", snapshot)
        raft.compact(snapshot)

    def _log_snapshot(self, event: str, text: str, snapshot: Snapshot) -> None:
        logger.bind(event=event, group=self.group, index=snapshot.index, bytes=len(snapshot.data)).info(text)
