"""Calls that were delayed on the way to the leader, or in sockets of a paused process, are not executed."""

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
UNKNOWN_WORKER_CALL = heartbeat_call("i-9")  # executing it adds the worker to the state


def follower_of(cluster: ControlCluster, leader: ControlMachine) -> ControlMachine:
    return next(machine for machine in cluster.machines.values() if machine is not leader)


async def start_configured_cluster() -> tuple[ControlCluster, ControlMachine]:
    cluster = ControlCluster()
    leader = await cluster.start()
    assert (await cluster.call(put_call(0, encoded(version=1)))).status == 200
    return cluster, leader


def seconds_to_next_round(leader: ControlMachine) -> float:
    """The time in seconds until the leader's next heartbeat round."""
    deadline = leader.group._driver.running().next_deadline()  # noqa: SLF001 - the timer of the core is not public
    assert deadline is not None
    return deadline - asyncio.get_running_loop().time()


@pytest.mark.parametrize("late", [False, True])
def test_a_call_is_executed_only_while_its_round_is_recent(late: bool) -> None:
    async def scenario() -> None:
        cluster, leader = await start_configured_cluster()
        await asyncio.sleep(seconds_to_next_round(leader))
        await asyncio.sleep(0)
        call = relayed_call(UNKNOWN_WORKER_CALL, leader)  # dated by the round that begins now
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
        cluster, leader = await start_configured_cluster()
        term, number = leader.leadership.newest_round
        for other in ((term - 1, number), (term + 1, number), (term, number + 1), (term, 0), (0, 0)):
            answer = await leader.router.answer_relayed(
                RelayedCall(
                    UNKNOWN_WORKER_CALL.method, UNKNOWN_WORKER_CALL.path, "", UNKNOWN_WORKER_CALL.body, *other
                )
            )
            assert answer.too_old, other
        assert not leader.state.workers
        await cluster.stop()

    run(scenario())


def test_a_leader_that_was_paused_does_not_execute_calls_that_waited_meanwhile() -> None:
    """It reads these calls before its timers end its leadership."""

    async def scenario() -> None:
        cluster, leader = await start_configured_cluster()
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        call = relayed_call(UNKNOWN_WORKER_CALL, leader)
        loop.pause_process(PAUSE_S)
        answer = await leader.router.answer_relayed(call)
        assert answer.too_old
        assert not leader.state.workers
        await cluster.stop()

    run(scenario())


def test_a_new_leader_does_not_execute_calls_meant_for_the_previous_one() -> None:
    async def scenario() -> None:
        cluster, leader = await start_configured_cluster()
        call = relayed_call(UNKNOWN_WORKER_CALL, leader)
        cluster.kill(leader.ip)
        leader = await cluster.leader()
        answer = await leader.router.answer_relayed(call)
        assert answer.too_old
        assert not leader.state.workers
        await cluster.stop()

    run(scenario())


def record_too_old(leader: ControlMachine) -> list[RelayedCall]:
    """Returns a list that collects the calls that the leader rejects as too old."""
    rejected: list[RelayedCall] = []
    answer_relayed = leader.router.answer_relayed

    async def recording_answer(message: RelayedCall) -> object:
        answer = await answer_relayed(message)
        if answer.too_old:
            rejected.append(message)
        return answer

    leader.router.answer_relayed = recording_answer  # type: ignore[assignment, method-assign]  # replaced on this object only
    return rejected


def test_no_call_that_arrives_in_time_is_rejected_as_too_old() -> None:
    """Holds at any time between two rounds, and as soon as a member knows a new leader."""

    async def scenario() -> None:
        cluster, leader = await start_configured_cluster()
        rng = random.Random(5)
        for _ in range(5):
            rejected = record_too_old(leader)
            follower = follower_of(cluster, leader)
            for _ in range(40):
                assert (await follower.router.answer(read_call())).status == 200
                await asyncio.sleep(rng.uniform(0.0, 2 * TIMING.heartbeat_s))
            assert rejected == []
            await leader.group.transfer_leadership()
            while not (leaders := [each for each in cluster.machines.values() if each.group.is_leader]):  # noqa: ASYNC110 - in virtual time, to see the leader at once
                await asyncio.sleep(0.001)
            leader = leaders[0]
        await cluster.stop()

    run(scenario())


def test_a_member_that_knows_only_old_rounds_retries_with_the_newest() -> None:
    """This happens when heartbeats to the member are queued behind a snapshot."""

    async def scenario() -> None:
        cluster, leader = await start_configured_cluster()
        rejected = record_too_old(leader)
        follower = follower_of(cluster, leader)
        await asyncio.sleep(PAUSE_S)
        follower.group._driver.running()._state.last_leader_round = 1  # noqa: SLF001 - no message brings an old round
        assert (await follower.router.answer(UNKNOWN_WORKER_CALL)).status == 200
        assert [call.round for call in rejected] == [1]
        assert "i-9" in leader.state.workers
        await cluster.stop()

    run(scenario())


# Calls that waited in the sockets of the machine that received them.


async def read_after_a_pause(leads: bool) -> None:
    cluster, leader = await start_configured_cluster()
    machine = leader if leads else follower_of(cluster, leader)
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.pause_process(PAUSE_S)
    answers = [machine.router.answer(UNKNOWN_WORKER_CALL) for _ in range(3)]  # read before any timer
    assert [answer.status for answer in await asyncio.gather(*answers)] == [503] * 3
    await asyncio.sleep(PAUSE_GRACE_S / 2)  # a connection accepted only now may have waited too
    assert (await machine.router.answer(UNKNOWN_WORKER_CALL)).status == 503
    await cluster.leader()
    assert all("i-9" not in each.state.workers for each in cluster.machines.values())
    assert (await cluster.call(UNKNOWN_WORKER_CALL, machine.ip)).status == 200
    await cluster.stop()


@pytest.mark.parametrize("leads", [False, True])
def test_calls_that_waited_in_a_paused_process_are_answered_503(leads: bool) -> None:
    run(read_after_a_pause(leads))


class DetectsNothing(PauseDetector):
    """Never detects a pause."""

    def was_paused(self) -> bool:
        return False


@pytest.mark.parametrize("leads", [False, True])
def test_a_pause_detector_that_detects_nothing_fails_the_test(leads: bool) -> None:
    with (
        patch("tests.control.cluster.PauseDetector", DetectsNothing),
        pytest.raises(AssertionError, match="503"),
    ):
        run(read_after_a_pause(leads))
