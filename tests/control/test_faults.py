"""A control machine dies at each point of a call in turn: what was acknowledged holds, and reaches all."""

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

POINTS = 8  # messages of one call and a little more
Scenario = Callable[[ControlCluster], Coroutine[Any, Any, None]]
VICTIMS = ("leader", "subscription", "all")


def victims(cluster: ControlCluster, leader: ControlMachine, which: str) -> list[ControlMachine]:
    others = [machine for machine in cluster.machines.values() if machine is not leader]
    return {"leader": [leader], "subscription": others[:1], "all": [leader, *others]}[which]


def each_point(scenario: Scenario) -> None:
    """Plays the scenario with each victim killed at each point, called at each machine."""
    for which in VICTIMS:
        for point in range(POINTS):
            run(_at_point(scenario, which, point))


async def _at_point(scenario: Scenario, which: str, point: int) -> None:
    cluster = ControlCluster()
    leader = await cluster.start()
    assert (await cluster.call(put_call(0, encoded(version=1)))).status == 200
    lost = victims(cluster, leader, which)

    def strike() -> None:
        for machine in lost:
            cluster.kill(machine.ip)
        cluster.in_background(come_back())

    async def come_back() -> None:
        await asyncio.sleep(0.9)
        for machine in lost:
            await cluster.restart(machine)

    cluster.at_point(point, strike)
    await scenario(cluster)
    assert cluster.reached_point
    await cluster.stop()


async def tables_from(machine: ControlMachine) -> FeedSubscription:
    """A node that begins a session now."""
    machine.tables.publisher.take_state_changes()
    subscription = FeedSubscription()
    subscription.replace_all(machine.tables.publisher.open("node"), 0.0)
    return subscription


@pytest.mark.parametrize("first", IPS)
def test_a_configuration_is_accepted_once_and_outlasts_crashes(first: str) -> None:
    async def scenario(cluster: ControlCluster) -> None:
        document = encoded(version=2)
        assert (await cluster.call(put_call(1, document), first)).status == 200
        await asyncio.sleep(2.0)
        assert (await cluster.call(read_call(), first)).body == single_line(document)
        assert (await cluster.call(put_call(1, document), first)).status == 200, "sent once more"
        assert (await cluster.call(put_call(1, encoded(version=3)), first)).status == 412
        configuration = (await tables_from(await cluster.leader())).tables.configuration
        assert configuration is not None
        assert configuration.version == 2

    each_point(scenario)


def test_one_of_two_that_build_on_the_same_version_wins() -> None:
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

    each_point(scenario)


def test_an_acknowledged_drain_is_known_to_every_later_leader() -> None:
    async def scenario(cluster: ControlCluster) -> None:
        assert (await cluster.call(heartbeat_call("i-1"))).status == 200
        drain = heartbeat_call("i-1", "draining", 2)
        assert (await cluster.call(drain)).status == 200
        late = await cluster.call(heartbeat_call("i-1", "ready", 1))
        assert late.status == 200
        workers = (await tables_from(await cluster.leader())).tables.workers
        assert workers["i-1"].state == "draining"

    each_point(scenario)


def test_a_leadership_transfer_loses_no_call() -> None:
    """The leader transfers its leadership at each point of a call, which is answered without a repeat."""

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


def test_a_minority_neither_acknowledges_nor_reads() -> None:
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
