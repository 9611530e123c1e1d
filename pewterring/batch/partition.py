"""One batch partition on this store: its replicated group, and the service that answers where it leads."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from loguru import logger

from pewterring.batch.capacity import BYTES_A_MEGABYTE, StoreLimits, most_state_bytes
from pewterring.batch.dispatch import Dispatcher
from pewterring.batch.execution import ItemExecution, ItemRunner
from pewterring.batch.group_log import GroupLog
from pewterring.batch.members import store_candidates
from pewterring.batch.results import ResultCommitter
from pewterring.batch.service import BatchService
from pewterring.batch.state import BatchState, Clock
from pewterring.consensus.backpressure import retry_while_full
from pewterring.consensus.departure import DEPARTURE_TIMEOUT_FRACTION
from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.membership_planner import MAX_CHANGES_PER_CHECK, MembershipPlanner
from pewterring.consensus.messages import ConsensusMessage, Membership
from pewterring.distribution.messages import GroupStatus
from pewterring.distribution.tables import Tables
from pewterring.node.settings import NodeSettings
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage

FRESH_PART = 0.75  # of the shorter of the bounds on configuration and draining: older tables start no items
RESULT_BUDGET_PART = 0.15  # of the process's memory, for finished jobs that their clients did not end
LEADERSHIP_TRANSFER_TIMEOUT_S = 1.0  # a process that stops waits so long for its successor


@dataclass(frozen=True, slots=True)
class StoreParts:
    """What all partitions of a store share."""

    settings: NodeSettings
    member: str
    tables: Callable[[], Tables]
    confirmed_age: Callable[[float], float]
    dispatcher: Dispatcher
    runner: ItemRunner
    send: Callable[[ConsensusMessage], None]
    clock: Clock
    rng: random.Random
    on_failure: Callable[[Exception], None]


class Partition:
    """A member of the partition's group with all that hangs on it."""

    def __init__(self, name: str, data_dir: Path, parts: StoreParts) -> None:
        self.name = name
        self._parts = parts
        self._storage = DiskGroupStorage(FolderDisk(data_dir), name)
        self._state = BatchState(parts.clock)
        self._planner = MembershipPlanner(
            parts.member,
            parts.settings.tolerated_machines,
            parts.settings.bounds.catch_up_s,
            keeps_spare_learners=False,
        )
        self._changing = False
        self._departure_changes: asyncio.Task[None] | None = None
        self.group = ReplicatedGroup(
            name,
            parts.member,
            GroupEnvironment(
                storage=self._storage, machine=self._state, send=parts.send, clock=parts.clock, rng=parts.rng
            ),
            callbacks=GroupCallbacks(
                on_leadership=self._leadership_changed,
                on_departure=self._on_departure,
                on_failure=parts.on_failure,
            ),
        )
        log = GroupLog(self.group)
        execution = ItemExecution(
            self._state,
            parts.dispatcher,
            parts.runner,
            ResultCommitter(log),
            parts.tables,
            self.may_start_items,
            parts.clock,
        )
        self.service = BatchService(
            log,
            self._state,
            execution,
            parts.tables,
            parts.clock,
            status_s=parts.settings.bounds.status_s,
            result_budget_bytes=int(parts.settings.memory_mb * BYTES_A_MEGABYTE * RESULT_BUDGET_PART),
            most_state_bytes=most_state_bytes(_limits(parts.settings)),
        )

    async def start(self, first_voters: Membership | None = None) -> None:
        """Loads what is on disk. A new group starts with these voters; without them it waits to be joined."""
        if first_voters is not None:
            await retry_while_full(f"group {self.group.group}", lambda: self._initialize(first_voters))
        await self.group.start()

    async def _initialize(self, first_voters: Membership) -> None:
        self._storage.load()
        self._storage.initialize(first_voters)

    async def drain(self) -> None:
        """Gives leadership and vote to others before a planned stop, where a store is there to take it.

        Symptom answered: the disk of another store is lost as this one ends, and its successor, which has
        had its time, has no vote yet.
        """
        group = self.group
        members = {*group.membership.voters, *group.membership.learners}
        candidates = store_candidates(self._parts.tables().nodes, group.membership)
        if not group.membership.learners and not set(candidates.joining) - members:
            return
        with contextlib.suppress(ConsensusError):
            await group.depart(DEPARTURE_TIMEOUT_FRACTION * self._parts.settings.bounds.grace_s)

    async def stop(self) -> None:
        """Stops items, calls and the group. Where this store leads, another takes over first."""
        self.service.close()
        with contextlib.suppress(ConsensusError, TimeoutError):
            async with asyncio.timeout(LEADERSHIP_TRANSFER_TIMEOUT_S):
                await self.group.transfer_leadership()
        await self.group.stop()
        self._storage.close()

    def status(self) -> GroupStatus | None:
        """What the leader reports of the group; None elsewhere."""
        return status_of(self.group, self._parts.clock())

    async def manage_members(self) -> None:
        """Makes the changes of members that are due, one after the other, if this store leads."""
        if self._changing:
            return
        self._changing = True
        try:
            await self._change_members()
        finally:
            self._changing = False

    def _on_departure(self) -> None:
        """A voter leaves: its place is filled now, not at the next check."""
        if not self._changing:
            self._departure_changes = asyncio.create_task(self.manage_members())

    async def _change_members(self) -> None:
        with contextlib.suppress(ConsensusError):  # refused or lost: planned again at the next check
            for _ in range(MAX_CHANGES_PER_CHECK):
                change = self._due_change()
                if change is None:
                    return
                logger.info("{} changes to {}", self.name, change)
                await self.group.change_membership(change)

    def _due_change(self) -> Membership | None:
        now = self._parts.clock()
        group = self.group
        if not group.is_leader or not group.has_lease(now) or not self._tables_are_fresh(now):
            return None
        candidates = store_candidates(self._parts.tables().nodes, group.membership)
        return self._planner.plan(now, group, candidates)

    def _leadership_changed(self, leading: bool) -> None:
        if leading:
            logger.info("leads {} in term {}", self.name, self.group.term)
            self._planner.start(self._parts.clock(), self.group)
        self.service.leadership_changed(leading)

    def may_start_items(self, now: float) -> bool:
        """Answers a leader that is cut off: another may lead, and may have ended jobs that are open here."""
        return self.group.has_lease(now) and self._tables_are_fresh(now)

    def _tables_are_fresh(self, now: float) -> bool:
        bounds = self._parts.settings.bounds
        return self._parts.confirmed_age(now) < FRESH_PART * min(bounds.config_s, bounds.drain_s)


def _limits(settings: NodeSettings) -> StoreLimits:
    return StoreLimits(
        settings.memory_mb, settings.disk_mb, settings.copy_mb_per_s, settings.bounds.catch_up_s
    )


def status_of(group: ReplicatedGroup, now: float) -> GroupStatus | None:
    """What the leader reports of its group; None elsewhere.

    While a change of members is not committed nobody counts as complete. A later leader may take the change
    back, and a member that was to leave is needed then: a machine that was removed on the word of such a
    report, with the loss of one more, left a group of four with two.
    """
    if not group.is_leader or not group.has_lease(now):
        return None
    membership = group.membership
    commit = group.commit_index
    complete: tuple[str, ...] = ()
    if group.membership_is_committed:
        complete = tuple(voter for voter in membership.voters if group.match(voter) >= commit)
    return GroupStatus(
        group=group.group,
        term=group.term,
        commit=commit,
        leader=group.member,
        voters=membership.voters,
        learners=membership.learners,
        complete=complete,
    )
