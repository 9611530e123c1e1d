"""One batch partition on this store: its replicated group, and the service that answers calls at the leader.

Owns the group's storage on disk, and starts and stops its components. What may go wrong: no items start
because the lease has expired or the tables are stale (`may_start_items`), or the group stops because its disk
failed (`StoreEnvironment.on_failure`).
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from loguru import logger

from pewterring.batch.capacity import BYTES_PER_MEGABYTE, StoreLimits, max_state_bytes
from pewterring.batch.dispatch import Dispatcher
from pewterring.batch.execution import ExecutionEnvironment, ItemExecution, ItemRunner
from pewterring.batch.group_log import GroupLog
from pewterring.batch.leaderless_watch import LeaderlessWatch
from pewterring.batch.membership_changes import MembershipChanges, MembershipInputs
from pewterring.batch.results import ResultCommitter
from pewterring.batch.retention import RetentionLimits
from pewterring.batch.service import BatchService, ServiceEnvironment
from pewterring.batch.state import BatchState, Clock
from pewterring.batch.status import status_of
from pewterring.consensus.backpressure import retry_while_full
from pewterring.consensus.departure import DEPARTURE_TIMEOUT_FRACTION
from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.membership_planner import MembershipPlanner
from pewterring.consensus.messages import ConsensusMessage, Membership
from pewterring.distribution.messages import GroupStatus
from pewterring.distribution.tables import Tables
from pewterring.node.settings import NodeSettings
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage

# Share of the shorter of the bounds on configuration and draining. No items start while the tables are older.
TABLES_FRESH_FRACTION = 0.75
RESULT_BUDGET_FRACTION = 0.15  # share of the process's memory for finished jobs that clients have not ended
LEADERSHIP_TRANSFER_TIMEOUT_S = 1.0  # how long a process that stops waits for another store to take over


@dataclass(frozen=True, slots=True)
class StoreEnvironment:
    """Settings, callbacks and collaborators that all partitions of a store share."""

    settings: NodeSettings
    member: str  # this store's member name
    tables: Callable[[], Tables]
    confirmed_age: Callable[[float], float]  # seconds since the tables were last confirmed, at that time
    dispatcher: Dispatcher
    runner: ItemRunner
    send: Callable[[ConsensusMessage], None]
    clock: Clock
    rng: random.Random
    on_failure: Callable[[Exception], None]  # called when a group has stopped and will not restart


class Partition:
    """A member of the partition's group, with the service, execution and membership changes that use it."""

    def __init__(self, name: str, data_dir: Path, environment: StoreEnvironment) -> None:
        self.name = name
        self._environment = environment
        self._storage = DiskGroupStorage(FolderDisk(data_dir), name)
        self._state = BatchState(environment.clock)
        self.group = self._build_group()
        self._leaderless = LeaderlessWatch()
        self._membership = self._build_membership()
        self.service = self._build_service()

    def _build_group(self) -> ReplicatedGroup:
        environment = self._environment
        return ReplicatedGroup(
            self.name,
            environment.member,
            GroupEnvironment(
                storage=self._storage,
                machine=self._state,
                send=environment.send,
                clock=environment.clock,
                rng=environment.rng,
            ),
            callbacks=GroupCallbacks(
                on_leadership=self._on_leadership,
                on_departure=self._on_departure,
                on_failure=environment.on_failure,
            ),
        )

    def _build_membership(self) -> MembershipChanges:
        environment = self._environment
        settings = environment.settings
        planner = MembershipPlanner(
            environment.member,
            settings.tolerated_machines,
            settings.bounds.catch_up_s,
            settings.warm_learners,
        )
        inputs = MembershipInputs(environment.tables, self._tables_are_fresh, environment.clock)
        return MembershipChanges(self.group, planner, inputs)

    def _build_service(self) -> BatchService:
        environment = self._environment
        settings = environment.settings
        log = GroupLog(self.group)
        execution_environment = ExecutionEnvironment(
            environment.dispatcher,
            environment.runner,
            environment.tables,
            self.may_start_items,
            environment.clock,
        )
        execution = ItemExecution(self._state, ResultCommitter(log), execution_environment)
        result_budget_bytes = int(settings.memory_mb * BYTES_PER_MEGABYTE * RESULT_BUDGET_FRACTION)
        service_environment = ServiceEnvironment(
            environment.tables,
            self._tables_bind,
            environment.clock,
            RetentionLimits(settings.bounds.status_s, result_budget_bytes),
            max_state_bytes(_limits(settings)),
        )
        return BatchService(log, self._state, execution, service_environment)

    async def start(self, first_voters: Membership | None = None) -> None:
        """Loads the group from disk and starts it. Waits for free space while the disk is full.

        Args:
            first_voters: The voters with which a new group starts. Without them, a new member waits until the
                leader adds it to the group.

        Raises:
            StorageError: The group's files cannot be read or written.
        """
        if first_voters is not None:
            await retry_while_full(f"group {self.group.group}", lambda: self._initialize(first_voters))
        await self.group.start()
        group = self.group
        logger.bind(
            event="partition_loaded",
            group=self.name,
            term=group.term,
            last_index=group.last_index,
            voters=group.membership.voters,
            learners=group.membership.learners,
        ).info("The partition is loaded from disk and takes part in its group.")

    @property
    def knows_members(self) -> bool:
        """Whether this store knows any member of the group, so that it can stand for election if it votes."""
        return bool(self.group.membership.voters)

    async def _initialize(self, first_voters: Membership) -> None:
        self._storage.load()
        self._storage.initialize(first_voters)

    async def drain(self) -> None:
        """Gives up leadership and vote before a planned stop, if another store can take them over.

        Without this step the group has too few voters if another store loses its disk while this one stops
        and the member that replaces this one has no vote yet.
        """
        membership = self.group.membership
        members = {*membership.voters, *membership.learners}
        if not membership.learners and not set(self._membership.candidates().joining) - members:
            return
        with contextlib.suppress(ConsensusError):
            await self.group.depart(DEPARTURE_TIMEOUT_FRACTION * self._environment.settings.bounds.grace_s)

    async def stop(self) -> None:
        """Stops items, calls and the group. If this store leads, it first transfers its leadership."""
        self.service.close()
        with contextlib.suppress(ConsensusError, TimeoutError):
            async with asyncio.timeout(LEADERSHIP_TRANSFER_TIMEOUT_S):
                await self.group.transfer_leadership()
        await self.group.stop()
        self._storage.close()

    def status(self) -> GroupStatus | None:
        """The leader's report on the group; None at other members."""
        return status_of(self.group, self._environment.clock())

    async def manage_members(self) -> None:
        """Makes the membership changes that are due, if this store leads."""
        await self._membership.make_due_changes()

    def check_leader(self) -> None:
        """Logs a warning if the partition has known no leader for long."""
        group = self.group
        membership = group.membership
        is_member = group.member in (*membership.voters, *membership.learners)
        has_leader = group.leader is not None or not is_member
        overdue_s = self._leaderless.overdue_s(self._environment.clock(), has_leader)
        if overdue_s is None:
            return
        logger.bind(
            event="partition_without_leader",
            group=self.name,
            leaderless_s=round(overdue_s, 1),
            term=group.term,
            last_index=group.last_index,
            is_voter=group.member in membership.voters,
            voters=membership.voters,
        ).warning("The partition has no leader that this store knows of; its jobs cannot be read.")

    def may_start_items(self, now: float) -> bool:
        """Whether items may start: this store holds the lease and its tables are fresh.

        During a network partition another store may lead, and may have ended jobs that are open here.
        """
        return self.group.has_lease(now) and self._tables_are_fresh(now)

    def _tables_are_fresh(self, now: float) -> bool:
        bounds = self._environment.settings.bounds
        max_age_s = TABLES_FRESH_FRACTION * min(bounds.config_s, bounds.drain_s)
        return self._environment.confirmed_age(now) < max_age_s

    def _tables_bind(self) -> bool:
        """Whether no newer configuration than that of the tables binds: each does so after `config_ms`."""
        age_s = self._environment.confirmed_age(self._environment.clock())
        return age_s <= self._environment.settings.bounds.config_s

    def _on_departure(self) -> None:
        self._membership.on_departure()

    def _on_leadership(self, leading: bool) -> None:
        if leading:
            logger.bind(
                event="leadership_acquired",
                group=self.name,
                term=self.group.term,
                last_index=self.group.last_index,
            ).info("This store leads the partition.")
            self._membership.start_leading()
        self.service.leadership_changed(leading)


def _limits(settings: NodeSettings) -> StoreLimits:
    return StoreLimits(
        settings.memory_mb, settings.disk_mb, settings.copy_mb_per_s, settings.bounds.catch_up_s
    )
