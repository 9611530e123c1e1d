"""Commits what `LeaderTasks` and the membership planner find due, one thing after the other.

Owns the one asyncio task in which this happens: two at once could both begin a change of membership. What
may go wrong: the leadership is lost or a command is not committed in time. Then the log says so, and what is
still due is found again at the next check.
"""

import asyncio
import contextlib

from loguru import logger

from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.membership_planner import MAX_CHANGES_PER_CHECK, MembershipPlanner
from pewterring.control.errors import ControlError
from pewterring.control.join_requests import JoinRequests
from pewterring.control.leader_tasks import LeaderTasks
from pewterring.control.leadership import GroupLeadership


class LeaderTaskRunner:
    """Runs the leader's tasks. All methods are called on the event loop, and only while this member leads."""

    def __init__(
        self,
        tasks: LeaderTasks,
        planner: MembershipPlanner,
        join_requests: JoinRequests,
        group: ReplicatedGroup,
        leadership: GroupLeadership,
    ) -> None:
        self._tasks = tasks
        self._planner = planner
        self._join_requests = join_requests
        self._group = group
        self._leadership = leadership
        self._running: asyncio.Task[None] | None = None

    def start(self, now: float) -> None:
        """Begins a leadership, everything before it being applied."""
        self._tasks.start(now, self._group.term, self._group.membership)
        self._planner.start(now, self._group)
        self._join_requests.start()

    async def stop(self) -> None:
        """Cancels what is under way, and waits for its end."""
        if self._running is not None:
            self._running.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._running

    def check(self, now: float) -> None:
        """Brings the leader's tables up to date, and begins what is due unless something is under way."""
        self._tasks.observe(now, self._group.membership)
        if not self._is_busy:
            self._running = asyncio.create_task(self.run_once(now))

    def on_departure(self, now: float) -> None:
        """Has the place of a voter that departs filled now, not at the next check."""
        if self._leadership.has_lease and not self._is_busy:
            self._running = asyncio.create_task(self.change_members(now))

    @property
    def _is_busy(self) -> bool:
        return self._running is not None and not self._running.done()

    async def run_once(self, now: float) -> None:
        """Does all that is due at `now`; what fails is found due again."""
        try:
            for command in self._tasks.due_commands(now):
                await self._leadership.propose(command)
        except (ControlError, ConsensusError) as error:
            logger.bind(event="leader_task_failed", error=repr(error)).info(
                "A task of the control leader was not done and is tried again."
            )
        else:
            await self.change_members(now)

    async def change_members(self, now: float) -> None:
        """Makes one change after the other until none is due, so that few checks complete the group."""
        try:
            for _ in range(MAX_CHANGES_PER_CHECK):
                change = self._planner.plan(now, self._group, self._join_requests.candidates(now))
                if change is None:
                    return
                logger.bind(
                    event="membership_change_started",
                    group=self._group.group,
                    term=self._group.term,
                    voters=change.voters,
                    learners=change.learners,
                ).info("The group changes its members.")
                await self._group.change_membership(change)
        except ConsensusError as error:
            logger.bind(event="membership_change_failed", group=self._group.group, error=repr(error)).info(
                "The group did not change its members; the change is planned anew."
            )
