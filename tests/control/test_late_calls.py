"""Calls that were delayed on their way to the leader, or in the sockets of a process that was paused."""

import asyncio
import random
from unittest.mock import patch

import pytest

from pewterring.consensus.types import RaftTiming
from pewterring.control.messages import RelayedCall
from pewterring.control.pause_detector import PAUSE_GRACE_S, PauseDetector
from tests.configuration.documents import encoded
from tests.consensus.virtual_time import VirtualTimeLoop, run
from tests.control.cluster import (
    ControlCluster,
    ControlMachine,
    heartbeat_call,
    put_call,
    read_call,
    relayed_call,
)

TIMING = RaftTiming()
PAUSE_S = 20.0
MARGIN_S = 0.01
GONE = heartbeat_call("i-9")  # of a worker that control does not know


def follower_of(cluster: ControlCluster, leader: ControlMachine) -> ControlMachine:
    return next(machine for machine in cluster.machines.values() if machine is not leader)


async def configured() -> tuple[ControlCluster, ControlMachine]:
    cluster = ControlCluster()
    leader = await cluster.start()
    assert (await cluster.call(put_call(0, encoded(version=1)))).status == 200
    return cluster, leader


def until_next_round(leader: ControlMachine) -> float:
    """How long it takes until the leader's next round."""
    deadline = leader.group._driver.running().next_deadline()  # noqa: SLF001 - the timer of the core is not public
    assert deadline is not None
    return deadline - asyncio.get_running_loop().time()


@pytest.mark.parametrize("late", [False, True])
def test_a_call_is_begun_for_as_long_as_its_round_is_recent(late: bool) -> None:
    async def scenario() -> None:
        cluster, leader = await configured()
        await asyncio.sleep(until_next_round(leader))
        await asyncio.sleep(0)
        call = relayed_call(GONE, leader)  # of a round that begins just now
        await asyncio.sleep(TIMING.election_max_s + (MARGIN_S if late else -MARGIN_S))
        answer = await leader.router.answer_relayed(call)
        assert answer.too_old == late
        assert answer.status == (503 if late else 200)
        assert ("i-9" in leader.state.workers) != late
        if late:
            assert (answer.term, answer.round) == leader.leadership.newest_round
        await cluster.stop()

    run(scenario())


def test_a_round_of_another_term_is_not_recent() -> None:
    async def scenario() -> None:
        cluster, leader = await configured()
        term, number = leader.leadership.newest_round
        for other in ((term - 1, number), (term + 1, number), (term, number + 1), (term, 0), (0, 0)):
            answer = await leader.router.answer_relayed(
                RelayedCall(GONE.method, GONE.path, "", GONE.body, *other)
            )
            assert answer.too_old, other
        assert not leader.state.workers
        await cluster.stop()

    run(scenario())


def test_a_leader_that_was_paused_begins_nothing_that_waited_in_it() -> None:
    """It reads what waited before its timers tell it that it leads no longer."""

    async def scenario() -> None:
        cluster, leader = await configured()
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        call = relayed_call(GONE, leader)
        loop.pause_process(PAUSE_S)
        answer = await leader.router.answer_relayed(call)
        assert answer.too_old
        assert not leader.state.workers
        await cluster.stop()

    run(scenario())


def test_a_new_term_does_not_begin_what_was_meant_for_the_last() -> None:
    async def scenario() -> None:
        cluster, leader = await configured()
        call = relayed_call(GONE, leader)
        cluster.kill(leader.ip)
        leader = await cluster.leader()
        answer = await leader.router.answer_relayed(call)
        assert answer.too_old
        assert not leader.state.workers
        await cluster.stop()

    run(scenario())


def count_too_old(leader: ControlMachine) -> list[RelayedCall]:
    """Notes the calls that the leader takes for too old."""
    refused: list[RelayedCall] = []
    answer_relayed = leader.router.answer_relayed

    async def counted(message: RelayedCall) -> object:
        answer = await answer_relayed(message)
        if answer.too_old:
            refused.append(message)
        return answer

    leader.router.answer_relayed = counted  # type: ignore[assignment, method-assign]  # of this object alone
    return refused


def test_no_call_that_comes_in_time_is_too_old() -> None:
    """At any moment between two rounds, and from the moment at which a member knows the leader."""

    async def scenario() -> None:
        cluster, leader = await configured()
        rng = random.Random(5)
        for _ in range(5):
            refused = count_too_old(leader)
            follower = follower_of(cluster, leader)
            for _ in range(40):
                assert (await follower.router.answer(read_call())).status == 200
                await asyncio.sleep(rng.uniform(0.0, 2 * TIMING.heartbeat_s))
            assert refused == []
            await leader.group.transfer_leadership()
            while not (leaders := [each for each in cluster.machines.values() if each.group.is_leader]):  # noqa: ASYNC110 - in virtual time, to see the leader at once
                await asyncio.sleep(0.001)
            leader = leaders[0]
        await cluster.stop()

    run(scenario())


def test_a_member_that_knows_old_rounds_alone_sends_again_with_the_newest() -> None:
    """Its heartbeats wait behind a snapshot, say."""

    async def scenario() -> None:
        cluster, leader = await configured()
        refused = count_too_old(leader)
        follower = follower_of(cluster, leader)
        await asyncio.sleep(PAUSE_S)
        follower.group._driver.running()._state.last_leader_round = 1  # noqa: SLF001 - no message brings an old round
        assert (await follower.router.answer(GONE)).status == 200
        assert [call.round for call in refused] == [1]
        assert "i-9" in leader.state.workers
        await cluster.stop()

    run(scenario())


# Calls that waited in the sockets of the machine that was called.


async def read_after_a_pause(leads: bool) -> None:
    cluster, leader = await configured()
    machine = leader if leads else follower_of(cluster, leader)
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.pause_process(PAUSE_S)
    waited = [machine.router.answer(GONE) for _ in range(3)]  # read before any timer
    assert [answer.status for answer in await asyncio.gather(*waited)] == [503] * 3
    await asyncio.sleep(PAUSE_GRACE_S / 2)  # of a connection that was accepted only now
    assert (await machine.router.answer(GONE)).status == 503
    await cluster.leader()
    assert all("i-9" not in each.state.workers for each in cluster.machines.values())
    assert (await cluster.call(GONE, machine.ip)).status == 200
    await cluster.stop()


@pytest.mark.parametrize("leads", [False, True])
def test_what_waited_in_a_paused_process_is_answered_503(leads: bool) -> None:
    run(read_after_a_pause(leads))


class DetectsNothing(PauseDetector):
    """Takes all that it reads for new."""

    def was_paused(self) -> bool:
        return False


@pytest.mark.parametrize("leads", [False, True])
def test_a_detector_that_detects_nothing_is_caught(leads: bool) -> None:
    with (
        patch("tests.control.cluster.PauseDetector", DetectsNothing),
        pytest.raises(AssertionError, match="503"),
    ):
        run(read_after_a_pause(leads))
