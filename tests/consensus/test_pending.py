"""Calls end with their result, or with what became of the leadership under which they were made."""

import asyncio

import pytest

from pewterring.consensus.errors import GroupFailedError, NotLeaderError, OutcomeUnknownError
from pewterring.consensus.pending import PendingCalls
from tests.consensus.virtual_time import run


def test_a_proposal_gets_the_result_of_its_entry_only() -> None:
    async def scenario() -> None:
        pending = PendingCalls()
        proposal = pending.proposal(7, term=2)
        pending.applied(6, 2, "another index")
        pending.applied(7, 3, "another term")
        assert not proposal.done()
        pending.applied(7, 2, "its own")
        assert await proposal == "its own"

    run(scenario())


def test_a_lost_leadership_fails_the_calls_of_its_term() -> None:
    async def scenario() -> None:
        pending = PendingCalls()
        lost, read = pending.proposal(7, term=2), pending.read(2, 1)
        of_this_term = pending.proposal(8, term=3)
        pending.keep_term(3, "b")
        with pytest.raises(OutcomeUnknownError, match="the leader is b"):
            await lost
        with pytest.raises(NotLeaderError, match="the leader is b"):
            await read
        assert not of_this_term.done()

    run(scenario())


def test_a_failure_fails_what_waits_for_the_log() -> None:
    async def scenario() -> None:
        pending = PendingCalls()
        calls = [pending.proposal(7, term=2), pending.read(2, 1)]
        pending.fail_all(GroupFailedError("disk"))
        for call in calls:
            with pytest.raises(GroupFailedError, match="disk"):
                await call

    run(scenario())


def test_one_who_gives_up_does_not_end_the_wait_of_others_for_the_end_of_the_leadership() -> None:
    async def scenario() -> None:
        pending = PendingCalls()
        given_up, waiting = pending.end_of_leadership(), pending.end_of_leadership()
        given_up.cancel()
        await asyncio.sleep(0)
        assert not waiting.done()
        pending.leadership_ended()
        assert await waiting is None
        assert given_up.cancelled()

    run(scenario())
