"""What one batch partition bears: accepts, results, bytes on disk, time to recover by length of the log.

    python benchmarks/batch.py [--jobs 200] [--items 60] [--body 3000] [--text 5000] [--folder DIR]

Three members in one process and one event loop, each with a log of its own on real files; messages between
them are handed over without sockets. So a figure is what one core does for all three: a store does a third
of it, and its network beside it.
"""

import argparse
import asyncio
import base64
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from pewterring.batch.commands import AcceptJob, AddResults, JobResult
from pewterring.batch.group_log import GroupLog
from pewterring.batch.messages import ItemResult, ItemSpec
from pewterring.batch.state import BatchState
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupEnvironment
from pewterring.consensus.messages import ConsensusMessage, Membership
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage

GROUP = "batch-0"
MEMBERS = ("10.0.0.1#a", "10.0.0.2#b", "10.0.0.3#c")
RESULTS_A_COMMAND = 16
CHECK_INTERVAL_S = 0.01
HOST, PREFIX = "h.example", "/jobs/"


class Members:
    """Three members of one partition in this process."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._groups: dict[str, ReplicatedGroup] = {}
        self._storages: list[DiskGroupStorage] = []

    async def start(self) -> GroupLog:
        """Starts all and returns the leader's log."""
        for name in MEMBERS:
            storage = DiskGroupStorage(FolderDisk(self._folder / name), GROUP)
            storage.load()
            storage.initialize(Membership(MEMBERS))
            self._storages.append(storage)
            state = BatchState(time.monotonic)
            self._groups[name] = ReplicatedGroup(
                GROUP,
                name,
                GroupEnvironment(storage=storage, machine=state, send=self._send, rng=random.Random(name)),
            )
        for group in self._groups.values():
            await group.start()
        while (leader := next((g for g in self._groups.values() if g.is_leader), None)) is None:
            await asyncio.sleep(CHECK_INTERVAL_S)
        return GroupLog(leader)

    def _send(self, message: ConsensusMessage) -> None:
        asyncio.get_running_loop().call_soon(self._groups[message.target].receive, message)

    async def stop(self) -> None:
        for group in self._groups.values():
            await group.stop()
        for storage in self._storages:
            storage.close()


def make_job(number: int, items: int, body: str) -> AcceptJob:
    specs = tuple(
        ItemSpec(
            id=f"{number:08x}-{index}",
            path=f"{PREFIX}{number}/{index}",
            headers={"Model-Id": "m", "Token-Usage": "1200,670", "Prompt-Prefix": "9c2e41:432,5d07b8:768"},
            body=body,
            tokens=1870,
        )
        for index in range(items)
    )
    return AcceptJob(f"{number:08x}", HOST, PREFIX, specs)


def make_results(job: AcceptJob, text: str) -> list[AddResults]:
    results = [JobResult(job.job, ItemResult(item.id, "succeeded", text)) for item in job.items]
    return [
        AddResults(tuple(results[start : start + RESULTS_A_COMMAND]))
        for start in range(0, len(results), RESULTS_A_COMMAND)
    ]


async def timed(calls: list[Callable[[], Awaitable[object]]], at_once: int) -> float:
    """Makes all calls, so many at a time; seconds."""
    gate = asyncio.Semaphore(at_once)

    async def one(call: Callable[[], Awaitable[object]]) -> None:
        async with gate:
            await call()

    began = time.perf_counter()
    await asyncio.gather(*(one(call) for call in calls))
    return time.perf_counter() - began


def folder_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


def recovery(folder: Path) -> tuple[float, int, int]:
    """Seconds to read one member's folder into its state, jobs in it, bytes read."""
    began = time.perf_counter()
    storage = DiskGroupStorage(FolderDisk(folder), GROUP)
    loaded = storage.load()
    state = BatchState(time.monotonic)
    if loaded.snapshot is not None:
        state.restore(loaded.snapshot)
    for entry in loaded.state.entries:
        if entry.kind == "command":
            state.apply(entry.index, bytes(entry.data))
    seconds = time.perf_counter() - began
    storage.close()
    return seconds, sum(1 for _ in state.jobs()), folder_bytes(folder)


async def play(folder: Path, jobs: int, items: int, body_bytes: int, text_bytes: int, at_once: int) -> None:
    body = base64.b64encode(b"x" * body_bytes).decode()
    made = [make_job(number, items, body) for number in range(jobs)]
    results = [command for job in made for command in make_results(job, "y" * text_bytes)]
    members = Members(folder)
    log = await members.start()
    before = folder_bytes(folder)
    accept_s = await timed([lambda job=job: log.propose(job) for job in made], at_once)  # type: ignore[misc]
    accepted = folder_bytes(folder)
    result_s = await timed([lambda c=c: log.propose(c) for c in results], at_once)  # type: ignore[misc]
    listed = folder_bytes(folder)
    await members.stop()
    count = jobs * items
    print(f"accepts: {jobs / accept_s:.0f} jobs/s, {count / accept_s:.0f} items/s")
    print(f"results: {count / result_s:.0f} items/s")
    print(f"log on one disk: {(accepted - before) / 3 / count:.0f} B an item accepted")
    print(f"growth of one disk by results, less compaction: {(listed - accepted) / 3 / count:.0f} B an item")
    seconds, found, size = recovery(folder / MEMBERS[0])
    print(f"recovery: {seconds * 1000:.0f} ms for {found} jobs, {count} items, {size / 1e6:.1f} MB")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--jobs", default="50,200,400", help="numbers of jobs to play, one after the other")
    parser.add_argument("--items", type=int, default=60)
    parser.add_argument("--body", type=int, default=3000, help="bytes of an item's body")
    parser.add_argument("--text", type=int, default=5000, help="bytes of a result's text")
    parser.add_argument("--at-once", type=int, default=16, help="calls under way together")
    parser.add_argument("--folder", type=Path, default=None, help="where the files go; default: temporary")
    given = parser.parse_args()
    for jobs in (int(number) for number in given.jobs.split(",")):
        with tempfile.TemporaryDirectory(dir=given.folder) as folder:
            print(f"{jobs} jobs of {given.items} items, bodies {given.body} B, texts {given.text} B")
            asyncio.run(play(Path(folder), jobs, given.items, given.body, given.text, given.at_once))


if __name__ == "__main__":
    main()
