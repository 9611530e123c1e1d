"""Membership changes of a partition, which its leader plans and makes.

Owns the planner, and the task that a departure starts. What may go wrong: a change is refused, or leadership
is lost during the change; the next check plans it again from the membership at that time.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from pewterring.batch.members import store_candidates
from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.membership_planner import MAX_CHANGES_PER_CHECK, MembershipPlanner
from pewterring.consensus.membership_view import Candidates
from pewterring.consensus.messages import Membership
from pewterring.distribution.tables import Tables


@dataclass(frozen=True, slots=True)
class MembershipInputs:
    """What the planning of membership changes needs from the store."""

    tables: Callable[[], Tables]
    tables_are_fresh: Callable[[float], bool]  # takes the monotonic time
    clock: Callable[[], float]


class MembershipChanges:
    """Makes one group's due membership changes, one after the other, while this store leads the group."""

    def __init__(self, group: ReplicatedGroup, planner: MembershipPlanner, inputs: MembershipInputs) -> None:
        self._group = group
        self._planner = planner
        self._inputs = inputs
        self._changing = False
        self._departure_task: asyncio.Task[None] | None = None

    def candidates(self) -> Candidates:
        """The stores that may be members, according to the tables."""
        return store_candidates(self._inputs.tables().nodes, self._group.membership)

    def start_leading(self) -> None:
        """Starts planning afresh: observations of members from earlier leaderships are discarded."""
        self._planner.start(self._inputs.clock(), self._group)

    def on_departure(self) -> None:
        """Replaces a voter that departs now, rather than at the next check."""
        if not self._changing:
            self._departure_task = asyncio.create_task(self.make_due_changes())

    async def make_due_changes(self) -> None:
        """Makes the changes that are due if this store leads. Returns at once if changes are in progress."""
        if self._changing:
            return
        self._changing = True
        try:
            await self._make_changes()
        finally:
            self._changing = False

    async def _make_changes(self) -> None:
        with contextlib.suppress(ConsensusError):  # a change that failed is planned again at the next check
            for _ in range(MAX_CHANGES_PER_CHECK):
                change = self._due_change()
                if change is None:
                    return
                logger.bind(
                    event="membership_change_started",
                    group=self._group.group,
                    voters=change.voters,
                    learners=change.learners,
                ).info("The partition changes its members.")
                await self._group.change_membership(change)

    def _due_change(self) -> Membership | None:
        now = self._inputs.clock()
        group = self._group
        if not group.is_leader or not group.has_lease(now) or not self._inputs.tables_are_fresh(now):
            return None
        return self._planner.plan(now, group, self.candidates())
