"""A partition whose members all joined after its first voters, when all stores start anew."""

import asyncio
from pathlib import Path

from pewterring.batch.messages import JobAccepted, ReadResults, ResultPage, SubmitJob
from tests.batch.stand_ins import ROUTE, item
from tests.batch.test_program import STORE_IPS, Cluster, cluster, complete_page


async def restart_all(stores: Cluster, lost_ips: tuple[str, ...] = ()) -> None:
    """Stops all stores, empties the folders of the lost ones, and starts all."""
    for ip in tuple(stores.stores):
        await stores.stop(ip)
    for ip in lost_ips:
        stores.lose_disk(ip)
    for ip in STORE_IPS:
        await stores.start(ip)


# Guards against voters without a snapshot that wait for a message of their group, as all of them do.
def test_jobs_are_read_after_a_restart_of_stores_that_have_all_been_replaced(tmp_path: Path) -> None:
    async def run() -> None:
        async with cluster(tmp_path) as stores:
            assert await stores.call(SubmitJob("j", *ROUTE, items=(item("i"),))) == JobAccepted()
            first = await complete_page(stores, "j", 1)
            for ip in STORE_IPS:
                await stores.replace_disk(ip)
            await restart_all(stores)
            page = await stores.call(ReadResults("j", 0))
            assert isinstance(page, ResultPage)
            assert page.results == first.results

    asyncio.run(run())


# Guards against the same when the last of the first voters loses its disk as all others restart.
def test_jobs_are_read_after_the_last_first_voter_loses_its_disk_in_a_restart_of_all(tmp_path: Path) -> None:
    async def run() -> None:
        async with cluster(tmp_path) as stores:
            assert await stores.call(SubmitJob("j", *ROUTE, items=(item("i"),))) == JobAccepted()
            first = await complete_page(stores, "j", 1)
            for ip in STORE_IPS[1:]:
                await stores.replace_disk(ip)
            await restart_all(stores, STORE_IPS[:1])
            page = await stores.call(ReadResults("j", 0))
            assert isinstance(page, ResultPage)
            assert page.results == first.results

    asyncio.run(run())
