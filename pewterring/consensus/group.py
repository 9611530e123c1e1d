"""Runs one member of a replicated group: the consensus core, its storage and its state machine, on asyncio.

The storage works in one thread, so that the event loop never waits for the disk. Whatever comes while it
saves goes into the next save.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Protocol

from loguru import logger

from pewterring.consensus.errors import GroupFailedError, OutcomeUnknownError, StorageError
from pewterring.consensus.log import entry_size
from pewterring.consensus.messages import (
    ENTRY_COMMAND,
    ConsensusMessage,
    DepartureAck,
    DepartureNotice,
    Entry,
    Membership,
)
from pewterring.consensus.pending import PendingCalls, resolve
from pewterring.consensus.persistent import GroupStorage, LoadedGroup
from pewterring.consensus.raft import Raft
from pewterring.consensus.storage_jobs import StorageJobs
from pewterring.consensus.types import RaftConfig, RaftLimits, RaftTiming, Ready, Save, Snapshot

SNAPSHOT_AFTER_BYTES = 4_000_000  # of entries applied since the last snapshot
SNAPSHOT_AFTER_MAX_BYTES = 16_000_000  # the same for large states: bounds the disk, and replay at a start
# A leader whose disk stands still or is full keeps all entries in memory while the others commit them. With
# so many that its disk does not hold, it lets another lead, who sends it no more than a window.
MAX_UNPERSISTED_BYTES = 16_000_000
SNAPSHOT_JITTER_FRACTION = (
    0.25  # members take theirs at different times, so that not all disks are busy at once
)


class StateMachine(Protocol):
    """What the committed commands act on. All calls come from the event loop, in the log's order."""

    def apply(self, index: int, command: bytes) -> object:
        """Applies one command and returns its result, which depends on nothing but the commands so far."""
        ...

    def snapshot(self) -> bytes:
        """The whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by one that `snapshot` returned; raises where it cannot be read."""
        ...


class ReplicatedGroup:
    """One member of one group."""

    def __init__(
        self,
        group: str,
        member: str,
        storage: GroupStorage,
        machine: StateMachine,
        send: Callable[[ConsensusMessage], None],
        timing: RaftTiming | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        *,
        limits: RaftLimits | None = None,
        snapshot_after_bytes: int = SNAPSHOT_AFTER_BYTES,
        on_leadership: Callable[[bool], None] | None = None,
        on_departure: Callable[[], None] | None = None,
        on_failure: Callable[[GroupFailedError], None] | None = None,
        executor: Executor | None = None,
    ) -> None:
        self.group = group
        self.member = member
        self._storage = storage
        self._machine = machine
        self._send = send
        self._timing = timing or RaftTiming()
        self._rng = rng or random.Random()
        self._clock = clock
        self._limits = limits or RaftLimits()
        self._snapshot_after_bytes = snapshot_after_bytes
        self._on_leadership = on_leadership
        self._on_departure = on_departure
        self._on_failure = on_failure
        self._jobs = StorageJobs(group, executor, after=self._process, fail=self._fail)
        self._raft: Raft | None = None
        self._failure: GroupFailedError | None = None
        self._stopped = False
        self._waiting = PendingCalls()
        self._told_term: int | None = (
            None  # the term for which `on_leadership` was told that this member leads
        )
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._stepped_down: asyncio.Future[object] | None = None  # while the leadership is handed over
        self._departure_acknowledged = asyncio.Event()
        self._bytes_since_snapshot = 0
        self._next_snapshot_bytes = self._snapshot_size(0)

    # Life.

    async def start(self) -> None:
        """Reads the storage and takes part in the group; raises `GroupFailedError` if that cannot be."""
        try:
            loaded = await self._jobs.call(self._storage.load)
            self._restore_loaded(loaded)
        except Exception as error:
            raise GroupFailedError(f"group {self.group} cannot start: {error}") from error
        config = RaftConfig(self.group, self.member, self._timing, self._limits)
        self._raft = Raft(config, self._rng, loaded.state, self._clock())
        self._process()

    def _restore_loaded(self, loaded: LoadedGroup) -> None:
        if loaded.snapshot is None:
            return
        try:
            self._machine.restore(loaded.snapshot)
        except Exception as error:
            where = loaded.snapshot_file or "the snapshot"
            raise StorageError(f"{where} cannot be read: {error}") from error
        self._next_snapshot_bytes = self._snapshot_size(len(loaded.snapshot))

    async def stop(self) -> None:
        """Takes part no longer. A save under way is finished; open calls end with `OutcomeUnknownError`."""
        self._halt(OutcomeUnknownError(f"group {self.group} stops"))
        await self._jobs.stop()

    def _halt(self, error: Exception) -> None:
        self._stopped = True
        self._jobs.halt()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._waiting.fail_all(error)
        self._end_leadership_transfer()
        self._tell_leadership(None)

    def _fail(self, cause: BaseException) -> None:
        if self._stopped:
            return
        self._failure = GroupFailedError(f"group {self.group} stopped: {type(cause).__name__}: {cause}")
        self._failure.__cause__ = cause
        self._halt(self._failure)
        if self._on_failure is not None:
            self._on_failure(self._failure)

    def _running(self) -> Raft:
        if self._failure is not None:
            raise self._failure
        if self._raft is None or self._stopped:
            raise GroupFailedError(f"group {self.group} does not run")
        return self._raft

    # What is known.

    @property
    def is_leader(self) -> bool:
        """Whether this member leads and has applied all that earlier leaders committed."""
        raft = self._raft
        return raft is not None and self._told_term == raft.term and raft.is_leader and not self._stopped

    @property
    def leader(self) -> str | None:
        """The leader's member name, if known."""
        return self._raft.leader if self._raft is not None and not self._stopped else None

    @property
    def term(self) -> int:
        """The current term."""
        return self._raft.term if self._raft is not None else 0

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._raft.commit_index if self._raft is not None else 0

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the state machine has applied."""
        return self._raft.applied_index if self._raft is not None else 0

    @property
    def membership(self) -> Membership:
        """The membership in force, which may not be committed yet."""
        return self._raft.membership if self._raft is not None else Membership(voters=())

    @property
    def membership_is_committed(self) -> bool:
        """Whether the membership in force can no longer be taken back."""
        return self._raft is not None and self._raft.membership_is_committed

    def match(self, member: str) -> int:
        """Up to which index `member` has the log on disk, as far as this leader knows; 0 elsewhere."""
        return self._raft.match(member) if self._raft is not None else 0

    def seconds_since_contact(self, member: str, now: float) -> float:
        """For how long `member` has answered no heartbeat of this leadership; 0 elsewhere."""
        return self._raft.seconds_since_contact(member, now) if self._raft is not None else 0.0

    def is_departing(self, member: str) -> bool:
        """Whether `member` has told this leader that its process is about to end; False elsewhere."""
        return self._raft is not None and self._raft.is_departing(member)

    def has_lease(self, now: float) -> bool:
        """Whether this member leads, has applied what was committed before, and no other leads at `now`."""
        return self.is_leader and self._raft is not None and self._raft.has_lease(now)

    @property
    def newest_round(self) -> tuple[int, int]:
        """The current term, and the newest round that its leader is known to have sent in it."""
        return (self._raft.term, self._raft.newest_round) if self._raft is not None else (0, 0)

    def is_recent_round(self, term: int, number: int, now: float) -> bool:
        """Whether this member leads in `term` and sent that round within the longest election time-out."""
        return self.is_leader and self._raft is not None and self._raft.is_recent_round(term, number, now)

    # Calls.

    def receive(self, message: ConsensusMessage) -> None:
        """Takes a message of another member."""
        if self._raft is None or self._stopped:
            return
        try:
            self._raft.step(self._clock(), message)
        except Exception as error:
            self._fail(error)
        else:
            self._schedule()
            if isinstance(message, DepartureAck):
                self._departure_acknowledged.set()
            if isinstance(message, DepartureNotice) and self.is_leader and self._on_departure is not None:
                self._on_departure()

    async def propose(self, command: bytes) -> object:
        """Replicates a command, JSON on one line, and returns what applying it here returned.

        Raises `NotLeaderError` or `TooManyUncommittedError` if nothing was done, `OutcomeUnknownError` if
        leadership was lost meanwhile.
        """
        index, term = self._running().propose(command)
        self._schedule()
        return await self._waiting.proposal(index, term)

    async def change_membership(self, membership: Membership) -> None:
        """Replicates a change of membership; also raises `MembershipRejectedError`."""
        index, term = self._running().propose_membership(membership)
        self._schedule()
        await self._waiting.proposal(index, term)

    async def transfer_leadership(self) -> None:
        """Has another voter elected; returns when this member leads no longer, at once where it doesn't.

        Commands are refused from then on. It takes some messages, or the shortest election time-out where
        no successor can be had. The only voter goes on leading.
        """
        if not self._running().transfer_leadership(self._clock()):
            return
        if self._stepped_down is None:
            self._stepped_down = asyncio.get_running_loop().create_future()
        self._schedule()
        await self._stepped_down

    async def depart(self, patience_s: float) -> None:
        """Ends the membership of a process that is about to end, as far as another can take its place.

        Hands the leadership over, and says its farewell until the leader has taken the vote away, for
        `patience_s` at most. The member answers and counts like any other meanwhile.
        """
        ends_at = self._clock() + patience_s
        while not self._running().has_departed and (left_s := ends_at - self._clock()) > 0.0:
            await self.transfer_leadership()
            if self.is_leader:
                return  # nobody else votes
            self._running().announce_departure()
            self._schedule()
            await self._wait_for_answer(min(self._timing.heartbeat_s, left_s))

    async def _wait_for_answer(self, patience_s: float) -> None:
        self._departure_acknowledged.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                await self._departure_acknowledged.wait()

    def _end_leadership_transfer(self) -> None:
        stepped_down, self._stepped_down = self._stepped_down, None
        if stepped_down is not None:
            resolve(stepped_down, None)

    async def read_barrier(self) -> None:
        """Returns when the state machine has applied all that was committed before the call.

        Returns at once while the lease holds. Raises `NotLeaderError`.
        """
        raft = self._running()
        ticket = raft.request_read(self._clock())
        if ticket.index is None:
            self._schedule()
            await self._waiting.read(raft.term, ticket.number)
        elif ticket.index > raft.applied_index:
            self._process()
            self._running()

    # Work.

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._scheduled = False
        self._process()

    def _process(self) -> None:
        raft = self._raft
        if raft is None or self._stopped:
            return
        try:
            self._compact_if_due(raft)
            while self._take_ready(raft):
                pass
            self._arm_timer(raft)
        except Exception as error:
            self._fail(error)

    def _take_ready(self, raft: Raft) -> bool:
        """Does what the core wants; True if it may want more at once."""
        ready = raft.take_ready(self._clock(), can_save=not self._jobs.busy)
        for message in ready.messages_before_sync:
            self._send(message)
        for entry in ready.committed:
            self._apply(entry)
        self._after_apply(raft, ready)
        if ready.save is not None:
            self._begin_save(ready.save)
        if ready.snapshot_wanted:
            raft.offer_snapshot(raft.make_snapshot(self._machine.snapshot()))
        return ready.snapshot_wanted

    def _apply(self, entry: Entry) -> None:
        result: object = None
        if entry.kind == ENTRY_COMMAND:
            result = self._machine.apply(entry.index, bytes(entry.data))
        self._bytes_since_snapshot += entry_size(entry)
        self._waiting.applied(entry.index, entry.term, result)

    def _after_apply(self, raft: Raft, ready: Ready) -> None:
        for ticket in ready.confirmed_reads:
            self._waiting.confirmed(raft.term, ticket.number)
        self._waiting.keep_term(raft.term if raft.is_leader else None, raft.leader)
        self._tell_leadership(raft.term if raft.is_ready_leader else None)
        if not raft.is_leader:
            self._end_leadership_transfer()

    def _tell_leadership(self, term: int | None) -> None:
        if term == self._told_term:
            return
        was_told = self._told_term is not None
        self._told_term = term
        if self._on_leadership is None:
            return
        if was_told:
            self._on_leadership(False)
        if term is not None:
            self._on_leadership(True)

    def _arm_timer(self, raft: Raft) -> None:
        deadline = raft.next_deadline()
        if deadline is None or (self._timer is not None and self._timer_at <= deadline):
            return  # a timer that comes early finds nothing due and is set again
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, deadline - self._clock())
        self._timer_at = deadline
        self._timer = asyncio.get_running_loop().call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        raft = self._raft
        if raft is None or self._stopped:
            return
        try:
            raft.tick(self._clock())
            self._transfer_leadership_if_disk_lags(raft)
        except Exception as error:
            self._fail(error)
        else:
            self._process()

    def _transfer_leadership_if_disk_lags(self, raft: Raft) -> None:
        if raft.is_leader and self._jobs.busy and raft.unpersisted_bytes > MAX_UNPERSISTED_BYTES:
            raft.transfer_leadership(self._clock())

    # Storage.

    def _begin_save(self, save: Save) -> None:
        if save.snapshot is not None:
            # Before it is written: one that cannot be read must not be what the next start finds.
            self._machine.restore(save.snapshot.data)
        self._jobs.begin(lambda: self._write(save), lambda: self._saved(save), must_be_done=True)

    def _write(self, save: Save) -> None:
        """Runs in the storage's thread."""
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

    def _saved(self, save: Save) -> None:
        raft = self._running()
        if save.snapshot is not None:
            self._start_count(len(save.snapshot.data))
        raft.persisted(self._clock(), save)
        for message in save.messages_after_sync:
            self._send(message)

    # Snapshots.

    def _snapshot_size(self, last_bytes: int) -> int:
        """Bytes of entries after which the next snapshot is worth its while."""
        most = max(self._snapshot_after_bytes, SNAPSHOT_AFTER_MAX_BYTES)
        wanted = min(max(self._snapshot_after_bytes, last_bytes), most)
        return int(wanted * self._rng.uniform(1 - SNAPSHOT_JITTER_FRACTION, 1 + SNAPSHOT_JITTER_FRACTION))

    def _start_count(self, snapshot_bytes: int) -> None:
        logger.info("group {} has a snapshot of {} bytes", self.group, snapshot_bytes)
        self._bytes_since_snapshot = 0
        self._next_snapshot_bytes = self._snapshot_size(snapshot_bytes)

    def _compact_if_due(self, raft: Raft) -> None:
        due = self._bytes_since_snapshot >= self._next_snapshot_bytes
        if not due or self._jobs.busy or raft.is_installing_snapshot:
            return
        snapshot = raft.make_snapshot(self._machine.snapshot())
        self._start_count(len(snapshot.data))
        self._jobs.begin(
            lambda: self._write_snapshot(snapshot), lambda: raft.compact(snapshot), must_be_done=False
        )
