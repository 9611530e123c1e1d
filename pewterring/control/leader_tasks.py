"""What the leader of the control group does by itself, again and again."""

from collections.abc import Iterator

from loguru import logger

from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.membership import address_of
from pewterring.consensus.messages import Membership
from pewterring.consensus.planner import CHANGES_A_CHECK, MembershipPlanner
from pewterring.control.commands import Command, CreateGroup, EndRetirement, RemoveWorkers, SilenceWorkers
from pewterring.control.errors import ControlError
from pewterring.control.leadership import GroupLeadership
from pewterring.control.membership import JoinRequests
from pewterring.control.nodes import NodeTable
from pewterring.control.publisher import FeedPublisher
from pewterring.control.retiring import RetirementDesk
from pewterring.control.state import ControlState
from pewterring.control.stores import (
    FIRST_GROUP,
    first_placement,
    is_emptied,
    live_stores,
    zones_of,
)
from pewterring.registry.workers import WorkerRegistry

ZONE_WAIT_S = 1.0  # after the first store was seen, stores in different zones are no longer waited for


class LeaderTasks:
    """Finds the commands and the change of membership that are due."""

    def __init__(
        self,
        state: ControlState,
        nodes: NodeTable,
        registry: WorkerRegistry,
        publisher: FeedPublisher,
        desk: RetirementDesk,
        needed_stores: int,
        report_s: float,
    ) -> None:
        """`report_s`: a retirement is judged by reports that came so long after it was committed. It is no
        shorter than a store's leader plans with tables that were not confirmed; before, such a leader may
        not know of the retirement and make a voter of the very store."""
        self._state = state
        self._nodes = nodes
        self._registry = registry
        self._publisher = publisher
        self._desk = desk
        self._needed = needed_stores
        self._report_s = report_s
        self._first_store_seen: float | None = None
        self._retiring_since: dict[str, float] = {}

    def start(self, now: float, epoch: int, membership: Membership) -> None:
        """Begins a leadership, everything before it being applied."""
        self._nodes.start(now, self._state.nodes)
        self._registry.start(now)
        self._publisher.start(epoch, controls_of(membership))
        self._first_store_seen = None
        self._retiring_since = {}

    def observe(self, now: float, membership: Membership) -> None:
        """Brings soft state up to date."""
        self._nodes.expire(now)
        self._desk.watch(now)
        self._publisher.set_controls(controls_of(membership))

    def due_commands(self, now: float) -> list[Command]:
        """What is to be committed now."""
        due: list[Command] = []
        silent = self._registry.silent(now)
        if silent.fallen:
            due.append(SilenceWorkers(silent.fallen))
        if silent.gone:
            due.append(RemoveWorkers(silent.gone))
        nodes = self._nodes.uncommitted(self._state.nodes)
        if nodes is not None:
            due.append(nodes)
        placement = self._due_placement(now)
        if placement is not None:
            due.append(placement)
        due.extend(self._ended_retirements(now))
        return due

    def _due_placement(self, now: float) -> CreateGroup | None:
        if FIRST_GROUP in self._state.placements:
            return None
        stores = [
            store for store in live_stores(self._nodes.records.values()) if not self._state.is_retiring(store)
        ]
        if not stores:
            return None
        if self._first_store_seen is None:
            self._first_store_seen = now
        if zones_of(stores) < self._needed and now - self._first_store_seen < ZONE_WAIT_S:
            return None
        placement = first_placement(stores, self._needed)
        return CreateGroup(placement) if placement is not None else None

    def _ended_retirements(self, now: float) -> Iterator[EndRetirement]:
        for node_id, retirement in self._state.retirements.items():
            if retirement.ended:
                continue
            since = self._retiring_since.setdefault(node_id, now)
            reports = self._publisher.reports_since(since + self._report_s)
            if is_emptied(retirement, self._state.placements.values(), reports, self._needed):
                yield EndRetirement(node_id)


class LeaderTaskRunner:
    """Commits what is due, one thing after the other."""

    def __init__(
        self,
        duties: LeaderTasks,
        planner: MembershipPlanner,
        joins: JoinRequests,
        group: ReplicatedGroup,
        leadership: GroupLeadership,
    ) -> None:
        self._duties = duties
        self._planner = planner
        self._joins = joins
        self._group = group
        self._leadership = leadership

    def start(self, now: float) -> None:
        """Begins a leadership, everything before it being applied."""
        self._duties.start(now, self._group.term, self._group.membership)
        self._planner.start(now, self._group)
        self._joins.start()

    async def run_once(self, now: float) -> None:
        """Does all that is due at `now`; what fails is found due again."""
        try:
            for command in self._duties.due_commands(now):
                await self._leadership.propose(command)
        except (ControlError, ConsensusError) as error:
            logger.info("a duty of the leader was not done: {!r}", error)
        else:
            await self.change_members(now)

    async def change_members(self, now: float) -> None:
        """Makes one change after the other until none is due, so that few checks make the group whole."""
        try:
            for _ in range(CHANGES_A_CHECK):
                change = self._planner.plan(now, self._group, self._joins.candidates(now))
                if change is None:
                    return
                logger.info("control group changes to {}", change)
                await self._group.change_membership(change)
        except ConsensusError as error:
            logger.info("a change of the control group was not made: {!r}", error)


def controls_of(membership: Membership) -> set[str]:
    """The IPs of the members."""
    return {address_of(member) for member in (*membership.voters, *membership.learners)}
