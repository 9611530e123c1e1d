"""Control machines are killed at each message of a call in turn: acknowledged changes are never lost."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from pewterring.configuration.digest import single_line
from pewterring.control.calls import Answer, Call
from pewterring.distribution.subscription import FeedSubscription
from tests.configuration.documents import encoded
from tests.consensus.virtual_time import run
from tests.control.cluster import (
    IPS,
    ControlCluster,
    ControlMachine,
    heartbeat_call,
    put_call,
    read_call,
    relayed_call,
)

POINTS = 8  # more than the messages of one call
Scenario = Callable[[ControlCluster], Coroutine[Any, Any, None]]
VICTIMS = ("leader", "follower", "all")


def victims(cluster: ControlCluster, leader: ControlMachine, selection: str) -> list[ControlMachine]:
    others = [machine for machine in cluster.machines.values() if machine is not leader]
    return {"leader": [leader], "follower": others[:1], "all": [leader, *others]}[selection]


def run_at_each_point(scenario: Scenario) -> None:
    """Runs the scenario with each kind of victim killed at each point."""
    for selection in VICTIMS:
        for point in range(POINTS):
            run(_run_at_point(scenario, selection, point))


async def _run_at_point(scenario: Scenario, selection: str, point: int) -> None:
    cluster = ControlCluster()
    leader = await cluster.start()
    assert (await cluster.call(put_call(0, encoded(version=1)))).status == 200
    killed = victims(cluster, leader, selection)

    def kill_victims() -> None:
        for machine in killed:
            cluster.kill(machine.ip)
        cluster.in_background(restart_victims())

    async def restart_victims() -> None:
        await asyncio.sleep(0.9)
        for machine in killed:
            await cluster.restart(machine)

    cluster.at_point(point, kill_victims)
    await scenario(cluster)
    assert cluster.reached_point
    await cluster.stop()


async def subscribe_to(machine: ControlMachine) -> FeedSubscription:
    """The subscription of a node that opens a session now."""
    machine.tables.publisher.take_state_changes()
    subscription = FeedSubscription()
    subscription.replace_all(machine.tables.publisher.open("node"), 0.0)
    return subscription


@pytest.mark.parametrize("first", IPS)
def test_a_configuration_is_accepted_once_and_survives_crashes(first: str) -> None:
    async def scenario(cluster: ControlCluster) -> None:
        document = encoded(version=2)
        assert (await cluster.call(put_call(1, document), first)).status == 200
        await asyncio.sleep(2.0)
        assert (await cluster.call(read_call(), first)).body == single_line(document)
        assert (await cluster.call(put_call(1, document), first)).status == 200, (
            "a repeated request is acknowledged"
        )
        assert (await cluster.call(put_call(1, encoded(version=3)), first)).status == 412
        configuration = (await subscribe_to(await cluster.leader())).tables.configuration
        assert configuration is not None
        assert configuration.version == 2

    run_at_each_point(scenario)


def test_one_of_two_requests_with_the_same_base_is_accepted() -> None:
    async def scenario(cluster: ControlCluster) -> None:
        documents = [encoded(version=2, extra=name) for name in ("a", "b")]
        calls = [
            cluster.call(put_call(1, document), ip) for document, ip in zip(documents, IPS[:2], strict=True)
        ]
        answers = await asyncio.gather(*calls)
        assert sorted(answer.status for answer in answers) == [200, 412]
        winner = documents[[answer.status for answer in answers].index(200)]
        await asyncio.sleep(2.0)
        assert (await cluster.call(read_call())).body == single_line(winner)

    run_at_each_point(scenario)


def test_an_acknowledged_drain_is_known_to_every_later_leader() -> None:
    async def scenario(cluster: ControlCluster) -> None:
        assert (await cluster.call(heartbeat_call("i-1"))).status == 200
        drain = heartbeat_call("i-1", "draining", 2)
        assert (await cluster.call(drain)).status == 200
        late = await cluster.call(heartbeat_call("i-1", "ready", 1))
        assert late.status == 200
        workers = (await subscribe_to(await cluster.leader())).tables.workers
        assert workers["i-1"].state == "draining"

    run_at_each_point(scenario)


def test_a_leadership_transfer_loses_no_call() -> None:
    """The leader transfers its leadership at each message of a call, which succeeds at the first attempt."""

    async def at(point: int, first: str) -> None:
        cluster = ControlCluster()
        leader = await cluster.start()
        transfers: list[asyncio.Task[object]] = []

        def transfer() -> None:
            transfers.append(cluster.in_background(leader.group.transfer_leadership()))

        cluster.at_point(point, transfer)
        answer = await cluster.machines[first].router.answer(put_call(0, encoded(version=1)))
        assert answer.status == 200
        if point < 4:
            assert len(transfers) == 1
            await transfers[0]
            assert (await cluster.leader()) is not leader
        await cluster.stop()

    for point in range(8):
        for first in IPS:
            run(at(point, first))


def test_a_minority_neither_acknowledges_changes_nor_answers_reads() -> None:
    async def scenario() -> None:
        cluster = ControlCluster()
        leader = await cluster.start()
        for ip in [ip for ip in IPS if ip != leader.ip]:
            cluster.kill(ip)
        late = await leader.router.answer(put_call(0, encoded(version=1)))
        assert late.status == 503
        assert not leader.leadership.has_lease
        assert (await leader.router.answer(read_call())).status == 503
        relayed = await leader.router.answer_relayed(relayed_call(read_call(), leader))
        assert relayed.not_leading
        await cluster.stop()

    run(scenario())


def test_calls_are_answered_while_no_leader_is_known_yet() -> None:
    async def scenario() -> None:
        cluster = ControlCluster()
        leader = await cluster.start()
        cluster.kill(leader.ip)
        call: Call = put_call(0, encoded(version=1))
        answer: Answer = await cluster.call(call, next(iter(cluster.machines)))
        assert answer.status == 200
        await cluster.stop()

    run(scenario())
