"""The report of a partition's leader on its group during a membership change."""

import asyncio

from pewterring.batch.status import status_of
from pewterring.consensus.messages import Membership
from pewterring.control.decommissioning import is_decommissioned
from pewterring.control.snapshot import Decommissioning
from pewterring.distribution.messages import GroupStatus, PlacementRecord
from tests.batch.virtual_cluster import NAMES, FaultPoints, Store, VirtualCluster
from tests.consensus.virtual_time import run

PLACEMENT = PlacementRecord("batch-0", NAMES)
REQUIRED_VOTERS = 2  # voters that must be complete once the third has left


async def leader_with_lease(cluster: VirtualCluster) -> Store:
    async with asyncio.timeout(10.0):
        while True:
            leader = cluster.leader()
            if leader is not None and status_of(leader.group, asyncio.get_running_loop().time()):
                return leader
            await asyncio.sleep(0.01)


def report(store: Store) -> GroupStatus | None:
    return status_of(store.group, asyncio.get_running_loop().time())


def test_a_store_is_not_decommissioned_before_its_departure_is_committed() -> None:
    """A later leader may revert the change, and needs the member then."""

    async def scenario() -> None:
        cluster = VirtualCluster(FaultPoints())
        await cluster.start()
        leader = await leader_with_lease(cluster)
        staying, leaving = (name for name in NAMES if name != leader.name)
        decommissioning = Decommissioning("node", leaving)
        cluster.isolated |= {staying, leaving}
        removal = asyncio.ensure_future(leader.group.change_membership(Membership((leader.name, staying))))
        await asyncio.sleep(0.05)
        early = report(leader)
        assert early is not None, "the lease still holds"
        assert leaving not in early.voters
        assert not is_decommissioned(decommissioning, [PLACEMENT], {"batch-0": early}, REQUIRED_VOTERS)
        cluster.isolated.clear()
        await removal
        await asyncio.sleep(0.2)
        late = report(leader)
        assert late is not None
        assert set(late.complete) == {leader.name, staying}
        assert is_decommissioned(decommissioning, [PLACEMENT], {"batch-0": late}, REQUIRED_VOTERS)
        await cluster.stop()

    run(scenario())


def test_a_member_that_does_not_lead_reports_nothing() -> None:
    async def scenario() -> None:
        cluster = VirtualCluster(FaultPoints())
        await cluster.start()
        leader = await leader_with_lease(cluster)
        assert [store.name for store in cluster.stores.values() if report(store)] == [leader.name]
        await cluster.stop()

    run(scenario())
