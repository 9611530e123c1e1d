"""The replicated group as the control layer uses it: leases, commands, reads and their errors."""

import asyncio

import pytest

from pewterring.consensus.errors import (
    GroupFailedError,
    NotLeaderError,
    OutcomeUnknownError,
    TooManyUncommittedError,
)
from pewterring.control.commands import RemoveWorkers
from pewterring.control.errors import CommandOutcomeUnknownError, NotLeadingError
from pewterring.control.leadership import READ_BARRIER_TIMEOUT_S
from tests.consensus.virtual_time import run
from tests.control.group_stand_in import leading_group

COMMAND = RemoveWorkers(("i-1",))


def test_the_group_is_not_called_before_this_process_leads() -> None:
    group, leadership = leading_group()
    leadership.ready = False
    assert not leadership.has_lease
    for call in (leadership.propose(COMMAND), leadership.read_barrier()):
        with pytest.raises(NotLeadingError):
            run(call)
    assert group.proposed == []


def test_an_expired_lease_is_rejected() -> None:
    group, leadership = leading_group()
    leadership.check_lease()
    group.lease = False
    with pytest.raises(NotLeadingError):
        leadership.check_lease()


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (NotLeaderError("b"), NotLeadingError),  # the command was not appended
        (TooManyUncommittedError(1), NotLeadingError),  # nor was this one
        (OutcomeUnknownError("lost"), CommandOutcomeUnknownError),  # it may still be committed
        (GroupFailedError("disk"), CommandOutcomeUnknownError),
    ],
)
def test_errors_of_the_group_tell_whether_the_command_may_still_take_effect(
    error: Exception, expected: type[Exception]
) -> None:
    group, leadership = leading_group()
    group.error = error
    with pytest.raises(expected):
        run(leadership.propose(COMMAND))


def test_an_unconfirmed_read_times_out() -> None:
    group, leadership = leading_group()
    group.hangs = True

    async def scenario() -> float:
        started_at = asyncio.get_running_loop().time()
        with pytest.raises(NotLeadingError):
            await leadership.read_barrier()
        return asyncio.get_running_loop().time() - started_at

    assert run(scenario()) == pytest.approx(READ_BARRIER_TIMEOUT_S)
