"""The replicated group as the control layer sees it, and the leader's duties over it."""

import asyncio
from typing import cast

import pytest

from pewterring.consensus.errors import (
    GroupFailed,
    MembershipRefused,
    NotLeader,
    OutcomeUnknown,
    TooManyUncommitted,
)
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.messages import Membership
from pewterring.consensus.planner import Candidates, MembershipPlanner, PlannedGroup
from pewterring.control.commands import Accepted, Command, PutNodes, RemoveWorkers
from pewterring.control.errors import NotLeading, OutcomeUnsure
from pewterring.control.leader_tasks import LeaderTaskRunner, LeaderTasks
from pewterring.control.leadership import READ_BARRIER_TIMEOUT_S, GroupLeadership
from pewterring.control.membership import JoinRequests
from pewterring.control.state import encode_command
from tests.consensus.virtual_time import run
from tests.control.records import gateway

FIRST = Membership(("10.0.0.1#a", "10.0.0.2#b", "10.0.0.3#c"))
JOINED = Membership(FIRST.voters, ("10.0.0.4#d",))
COMMANDS: list[Command] = [RemoveWorkers(("i-1",)), PutNodes((gateway(1),))]


class StandInGroup:
    """A group whose calls end as the test says."""

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.silent = False
        self.lease = True
        self.proposed: list[bytes] = []
        self.changes: list[Membership] = []
        self.membership = FIRST
        self.commit_index = 0

    def has_lease(self, now: float) -> bool:
        return self.lease

    def match(self, member: str) -> int:
        return 0

    async def propose(self, command: bytes) -> object:
        self._fail()
        self.proposed.append(command)
        return Accepted()

    async def change_membership(self, membership: Membership) -> None:
        self._fail()
        self.changes.append(membership)
        self.membership = membership

    async def read_barrier(self) -> None:
        self._fail()
        if self.silent:
            await asyncio.get_running_loop().create_future()

    def _fail(self) -> None:
        if self.error is not None:
            raise self.error


class StandInDuties:
    """Has the same commands due until they are told to be done."""

    def __init__(self) -> None:
        self.due = list(COMMANDS)

    def due_commands(self, now: float) -> list[Command]:
        return self.due


class StandInPlanner:
    """Wants one change of membership."""

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        return JOINED if group.membership == FIRST else None


def made() -> tuple[StandInGroup, GroupLeadership]:
    group = StandInGroup()
    leadership = GroupLeadership(cast(ReplicatedGroup, group), lambda: 1.0)
    leadership.ready = True
    return group, leadership


def runner(group: StandInGroup, leadership: GroupLeadership) -> LeaderTaskRunner:
    return LeaderTaskRunner(
        cast(LeaderTasks, StandInDuties()),
        cast(MembershipPlanner, StandInPlanner()),
        JoinRequests(),
        cast(ReplicatedGroup, group),
        leadership,
    )


def test_nothing_is_asked_of_the_group_before_this_process_leads() -> None:
    group, leadership = made()
    leadership.ready = False
    assert not leadership.has_lease
    for call in (leadership.propose(COMMANDS[0]), leadership.read_barrier()):
        with pytest.raises(NotLeading):
            run(call)
    assert group.proposed == []


def test_a_lease_that_has_run_out_answers_nothing() -> None:
    group, leadership = made()
    leadership.check_lease()
    group.lease = False
    with pytest.raises(NotLeading):
        leadership.check_lease()


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (NotLeader("b"), NotLeading),  # nothing was done
        (TooManyUncommitted(1), NotLeading),  # nothing either
        (OutcomeUnknown("lost"), OutcomeUnsure),  # may come into force yet
        (GroupFailed("disk"), OutcomeUnsure),
    ],
)
def test_errors_of_the_group_say_whether_the_command_may_come_into_force(
    error: Exception, expected: type[Exception]
) -> None:
    group, leadership = made()
    group.error = error
    with pytest.raises(expected):
        run(leadership.propose(COMMANDS[0]))


def test_a_read_that_is_not_confirmed_ends_in_time() -> None:
    group, leadership = made()
    group.silent = True

    async def scenario() -> float:
        began = asyncio.get_running_loop().time()
        with pytest.raises(NotLeading):
            await leadership.read_barrier()
        return asyncio.get_running_loop().time() - began

    assert run(scenario()) == pytest.approx(READ_BARRIER_TIMEOUT_S)


def test_duties_are_done_in_order_and_then_one_change_of_membership() -> None:
    group, leadership = made()
    run(runner(group, leadership).run_once(1.0))
    assert group.proposed == [encode_command(command) for command in COMMANDS]
    assert group.changes == [JOINED]


@pytest.mark.parametrize(
    "error", [NotLeader(None), OutcomeUnknown("lost"), MembershipRefused("one at a time")]
)
def test_a_duty_that_failed_is_found_due_again(error: Exception) -> None:
    group, leadership = made()
    duties = runner(group, leadership)
    group.error = error
    run(duties.run_once(1.0))
    assert group.proposed == []
    assert group.changes == []
    group.error = None
    run(duties.run_once(1.2))
    assert len(group.proposed) == len(COMMANDS)
    assert group.changes == [JOINED]
