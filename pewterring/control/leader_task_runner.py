"""Commits the commands of `LeaderTasks` and the changes of the membership planner, one after the other.

Everything runs in one asyncio task: two tasks at the same time could both begin a membership change. If the
leadership is lost or a command is not committed in time, this is logged, and the work that is still due is
found again at the next check.
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
        """Begins a leadership; all earlier log entries have been applied."""
        self._tasks.start(now, self._group.term, self._group.membership)
        self._planner.start(now, self._group)
        self._join_requests.start()

    async def stop(self) -> None:
        """Cancels the running task and waits until it has ended."""
        if self._running is not None:
            self._running.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._running

    def check(self, now: float) -> None:
        """Updates the leader's tables and starts a task for the work that is due, unless one is running."""
        self._tasks.observe(now, self._group.membership)
        if not self._is_busy:
            self._running = asyncio.create_task(self.run_once(now))

    def on_departure(self, now: float) -> None:
        """Replaces a departing voter at once rather than at the next check."""
        if self._leadership.has_lease and not self._is_busy:
            self._running = asyncio.create_task(self.change_members(now))

    @property
    def _is_busy(self) -> bool:
        return self._running is not None and not self._running.done()

    async def run_once(self, now: float) -> None:
        """Does all work that is due at `now`; work that fails is found due again at the next check."""
        try:
            for command in self._tasks.due_commands(now):
                await self._leadership.propose(command)
        except (ControlError, ConsensusError) as error:
            logger.bind(event="leader_task_failed", error=repr(error)).info(
                "A task of the control leader failed; it is retried at the next check."
            )
        else:
            await self.change_members(now)

    async def change_members(self, now: float) -> None:
        """Makes membership changes until none is due, so that the group is complete after a few checks."""
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
                ).info("Changing the members of the group.")
                await self._group.change_membership(change)
        except ConsensusError as error:
            logger.bind(event="membership_change_failed", group=self._group.group, error=repr(error)).info(
                "The membership change failed; it is planned again at the next check."
            )
