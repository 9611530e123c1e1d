"""One run of the soak: starts the tier, its workers and clients, disturbs it, and judges what was seen."""

import asyncio
import random
import socket
import tempfile
from dataclasses import dataclass
from pathlib import Path

from benchmarks.soak.clients import Clients
from benchmarks.soak.disturbances import Disturbances, NotReadyError
from benchmarks.soak.fleet import Fleet, FleetError
from benchmarks.soak.report import Report
from benchmarks.soak.workers import Worker
from pewterring.local.layout import CONTROL_PORT, FRONT_PORT, Layout

LIVE_CLIENTS, STREAM_CLIENTS, BATCH_CLIENTS = 12, 4, 3
NETWORK_TRIES = 50
SETTLE_S = 0.5  # after the last request, in which a refused one might still run


@dataclass(frozen=True, slots=True)
class Size:
    """How many processes and events a run has."""

    gateways: int = 2
    stores: int = 3
    controls: int = 3
    workers: int = 3
    events: int = 4  # most events of a series
    lost_disks: int = 0  # of stores, in turn; then all processes end, and one more disk is lost
    decommissioned: int = 0  # stores that are emptied and removed, each with another disk lost right after
    routes: int = 0  # further routes of each configuration, each split over `large_configuration.SERVICES`


def free_network(rng: random.Random) -> str:
    """Returns the first three numbers of a loopback network whose ports are free."""
    for _ in range(NETWORK_TRIES):
        network = f"127.{rng.randint(10, 250)}.{rng.randint(1, 250)}"
        try:
            for port in (FRONT_PORT, CONTROL_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise OSError("no free loopback network")


async def play(seed: int, size: Size, folder: Path) -> Report:
    """Plays the run of a seed in an empty folder; the report has all that was seen."""
    rng = random.Random(seed)
    layout = Layout(
        free_network(random.Random()), folder, size.gateways, size.controls, size.stores, size.workers
    )
    report = Report()
    fleet = Fleet(layout)
    gateways = fleet.of("gateway")
    clients = Clients(gateways, report, random.Random(rng.random()))
    disturbances = Disturbances(
        fleet, clients, gateways, report, random.Random(rng.random()), further_routes=size.routes
    )
    workers = [
        Worker(
            address.partition(":")[0], number, layout.control_addresses(), report, random.Random(rng.random())
        )
        for number, address in enumerate(layout.worker_addresses())
    ]
    try:
        await _start(fleet, disturbances, workers)
        tasks = [
            *(asyncio.create_task(clients.send_requests(number)) for number in range(LIVE_CLIENTS)),
            *(asyncio.create_task(clients.read_streams(number)) for number in range(STREAM_CLIENTS)),
            *(asyncio.create_task(clients.submit_jobs(number)) for number in range(BATCH_CLIENTS)),
        ]
        await disturbances.play(size.events, size.lost_disks, size.decommissioned)
        if size.lost_disks:
            await disturbances.end_all()
            await disturbances.until_serving()
        clients.stop()
        await asyncio.gather(*tasks)
        await disturbances.until_serving()
        await clients.check_jobs()
        await asyncio.sleep(SETTLE_S)
    except (NotReadyError, FleetError) as error:
        report.faults.append(f"RECOVER: {error}")
    finally:
        report.faults += [f"Fault: {text}" for text in fleet.ended_by_themselves()]
        await fleet.kill_all()
        for worker in workers:
            await worker.stop()
        clients.close()
    return report


async def _start(fleet: Fleet, disturbances: Disturbances, workers: list[Worker]) -> None:
    await fleet.start_all()
    await disturbances.configure()
    for worker in workers:
        await worker.start()
    for worker in workers:
        await worker.registered.wait()
    await disturbances.until_serving()


def run_seed(seed: int, size: Size) -> Report:
    """Plays the run of a seed in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="pewterring-soak-") as folder:
        return asyncio.run(play(seed, size, Path(folder)))
