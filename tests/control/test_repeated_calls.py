"""Repeated calls get the same answer: at a member that lagged, after snapshots, and across crashes."""

import asyncio

import pytest

from pewterring.control.calls import Answer
from pewterring.control.commands import PutNodes
from tests.configuration.documents import encoded
from tests.consensus.virtual_time import run
from tests.control.cluster import IPS, ControlCluster, ControlMachine, decommission_call, put_call
from tests.control.records import store

REQUESTS = 40
SNAPSHOT_AFTER_BYTES = 8_000  # a few configurations
POINTS = 10  # more than the messages of one call
STORES = tuple(store(number) for number in (1, 2, 3, 4))


async def lead_with(cluster: ControlCluster, wanted: ControlMachine) -> None:
    """Transfers the leadership until `wanted` has it."""
    for _ in range(20):
        leader = await cluster.leader()
        if leader is wanted:
            return
        await leader.group.transfer_leadership()
    raise AssertionError("the wanted machine was never elected")


def test_a_leader_that_caught_up_by_a_snapshot_knows_every_earlier_request() -> None:
    async def scenario() -> None:
        cluster = ControlCluster(snapshot_after_bytes=SNAPSHOT_AFTER_BYTES)
        leader = await cluster.start()
        absent = next(machine for machine in cluster.machines.values() if machine is not leader)
        cluster.kill(absent.ip)
        winners = [encoded(version=version) for version in range(1, REQUESTS + 1)]
        losers = [encoded(version=version, limits={}) for version in range(1, REQUESTS + 1)]
        for base, (winner, loser) in enumerate(zip(winners, losers, strict=True)):
            assert (await cluster.call(put_call(base, winner))).status == 200
            assert (await cluster.call(put_call(base, loser))).status == 412
        restarted = await cluster.restart(absent)
        await asyncio.sleep(3.0)
        assert restarted.storage.snapshot is not None, "it caught up by a snapshot"
        await lead_with(cluster, restarted)
        for base, (winner, loser) in enumerate(zip(winners, losers, strict=True)):
            first = IPS[base % len(IPS)]
            assert (await cluster.call(put_call(base, winner), first)).status == 200
            assert (await cluster.call(put_call(base, loser), first)).status == 412
        assert restarted.state.version == REQUESTS
        await cluster.stop()

    run(scenario())


async def start_with_stores(cluster: ControlCluster) -> ControlMachine:
    leader = await cluster.start()
    await leader.leadership.propose(PutNodes(STORES))
    for node in STORES:
        leader.tables.nodes.observe(asyncio.get_running_loop().time(), node)
    return leader


@pytest.mark.parametrize("victim", ["leader", "follower", "all"])
def test_of_two_decommissionings_that_leave_too_few_stores_only_one_is_ever_accepted(victim: str) -> None:
    """Machines are killed at each message in turn; both operators repeat their call until it is answered."""

    async def run_at_point(point: int) -> None:
        cluster = ControlCluster()
        leader = await start_with_stores(cluster)
        followers = [machine for machine in cluster.machines.values() if machine is not leader]
        victims = {"leader": [leader], "follower": followers[:1], "all": [leader, *followers]}[victim]

        async def restart_victims() -> None:
            await asyncio.sleep(0.9)
            for machine in victims:
                await cluster.restart(machine)

        def kill_victims() -> None:
            for machine in victims:
                cluster.kill(machine.ip)
            cluster.in_background(restart_victims())

        cluster.at_point(point, kill_victims)
        names = [node.node_id for node in STORES[:2]]
        answers: list[Answer] = await asyncio.gather(
            *(cluster.call(decommission_call(name), ip) for name, ip in zip(names, IPS[1:], strict=True))
        )
        statuses = [answer.status for answer in answers]
        assert sorted(statuses) == [200, 409]
        for first in IPS:
            for name, status in zip(names, statuses, strict=True):
                assert (await cluster.call(decommission_call(name), first)).status == status
        await asyncio.sleep(2.0)
        assert len((await cluster.leader()).state.decommissionings) == 1
        await cluster.stop()

    for point in range(POINTS):
        run(run_at_point(point))
