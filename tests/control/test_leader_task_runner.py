"""Due commands are committed in order, one at a time, and are found due again after a failure."""

import asyncio
from typing import cast

import pytest

from pewterring.consensus.errors import MembershipRejectedError, NotLeaderError, OutcomeUnknownError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.membership_planner import MembershipPlanner
from pewterring.consensus.membership_view import Candidates, PlannedGroup
from pewterring.consensus.messages import Membership
from pewterring.control.commands import Command, PutNodes, RemoveWorkers, encode_command
from pewterring.control.join_requests import JoinRequests
from pewterring.control.leader_task_runner import LeaderTaskRunner
from pewterring.control.leader_tasks import LeaderTasks
from pewterring.control.leadership import GroupLeadership
from tests.consensus.virtual_time import run
from tests.control.group_stand_in import FIRST, StandInGroup, leading_group
from tests.control.records import gateway

JOINED = Membership(FIRST.voters, ("10.0.0.4#d",))
COMMANDS: list[Command] = [RemoveWorkers(("i-1",)), PutNodes((gateway(1),))]


class StandInTasks:
    """Returns the same due commands at each check."""

    def __init__(self) -> None:
        self.due = list(COMMANDS)
        self.observed: list[float] = []

    def observe(self, now: float, _membership: Membership) -> None:
        self.observed.append(now)

    def due_commands(self, _now: float) -> list[Command]:
        return self.due


class StandInPlanner:
    """Plans one membership change."""

    def plan(self, _now: float, group: PlannedGroup, _candidates: Candidates) -> Membership | None:
        return JOINED if group.membership == FIRST else None


def runner(
    group: StandInGroup, leadership: GroupLeadership, tasks: StandInTasks | None = None
) -> LeaderTaskRunner:
    return LeaderTaskRunner(
        cast(LeaderTasks, tasks or StandInTasks()),
        cast(MembershipPlanner, StandInPlanner()),
        JoinRequests(),
        cast(ReplicatedGroup, group),
        leadership,
    )


def test_tasks_are_done_in_order_before_a_membership_change() -> None:
    group, leadership = leading_group()
    run(runner(group, leadership).run_once(1.0))
    assert group.proposed == [encode_command(command) for command in COMMANDS]
    assert group.changes == [JOINED]


@pytest.mark.parametrize(
    "error", [NotLeaderError(None), OutcomeUnknownError("lost"), MembershipRejectedError("one at a time")]
)
def test_a_task_that_failed_is_found_due_again(error: Exception) -> None:
    group, leadership = leading_group()
    tasks = runner(group, leadership)
    group.error = error
    run(tasks.run_once(1.0))
    assert group.proposed == []
    assert group.changes == []
    group.error = None
    run(tasks.run_once(1.2))
    assert len(group.proposed) == len(COMMANDS)
    assert group.changes == [JOINED]


def test_a_check_starts_nothing_while_a_task_is_running() -> None:
    async def scenario() -> None:
        group, leadership = leading_group()
        group.hangs = True
        tasks = StandInTasks()
        running = runner(group, leadership, tasks)
        for now in (1.0, 1.2, 1.4):
            running.check(now)
            running.on_departure(now)
            await asyncio.sleep(0)
        assert tasks.observed == [1.0, 1.2, 1.4]
        assert group.proposed == [encode_command(COMMANDS[0])]
        assert group.changes == []
        await running.stop()
        group.hangs = False
        running.check(1.6)
        await asyncio.sleep(0)
        assert group.changes == [JOINED], "cancelled work is found due again"

    run(scenario())


@pytest.mark.parametrize("has_lease", [False, True])
def test_a_departure_starts_a_membership_change_only_under_a_lease(has_lease: bool) -> None:
    async def scenario() -> None:
        group, leadership = leading_group()
        group.lease = has_lease
        runner(group, leadership).on_departure(1.0)
        await asyncio.sleep(0)
        assert group.proposed == []
        assert group.changes == ([JOINED] if has_lease else [])

    run(scenario())
