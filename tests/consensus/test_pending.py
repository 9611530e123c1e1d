"""Pending calls complete with their result, or fail when the leadership in which they were made is lost."""

import asyncio

import pytest

from pewterring.consensus.errors import GroupFailedError, NotLeaderError, OutcomeUnknownError
from pewterring.consensus.pending import PendingCalls
from tests.consensus.virtual_time import run


def test_a_proposal_completes_with_the_result_of_its_own_entry_only() -> None:
    async def scenario() -> None:
        pending = PendingCalls()
        proposal = pending.proposal(7, term=2)
        pending.applied(6, 2, "another index")
        pending.applied(7, 3, "another term")
        assert not proposal.done()
        pending.applied(7, 2, "its own")
        assert await proposal == "its own"

    run(scenario())


def test_loss_of_leadership_fails_the_calls_of_its_term() -> None:
    async def scenario() -> None:
        pending = PendingCalls()
        lost, read = pending.proposal(7, term=2), pending.read(2, 1)
        current = pending.proposal(8, term=3)
        pending.fail_other_terms(3, "b")
        with pytest.raises(OutcomeUnknownError, match="the leader is b"):
            await lost
        with pytest.raises(NotLeaderError, match="the leader is b"):
            await read
        assert not current.done()

    run(scenario())


def test_a_failure_of_the_member_fails_all_proposals_and_reads() -> None:
    async def scenario() -> None:
        pending = PendingCalls()
        calls = [pending.proposal(7, term=2), pending.read(2, 1)]
        pending.fail_all(GroupFailedError("disk"))
        for call in calls:
            with pytest.raises(GroupFailedError, match="disk"):
                await call

    run(scenario())


def test_a_cancelled_leadership_transfer_call_does_not_complete_other_calls() -> None:
    async def scenario() -> None:
        pending = PendingCalls()
        cancelled, other = pending.end_of_leadership(), pending.end_of_leadership()
        cancelled.cancel()
        await asyncio.sleep(0)
        assert not other.done()
        pending.leadership_ended()
        assert await other is None
        assert cancelled.cancelled()

    run(scenario())
