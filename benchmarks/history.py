"""Measures how long a member takes to start and to catch up, by number and size of the missed changes.

    python -m benchmarks.history [--states control,batch] [--changes 300,3000] [--kilobytes 8,64]
                                 [--kept-jobs 40] [--sync-ms 1,30] [--mb-per-s 120,4] [--folder DIR]

Three members of one group run in this process and exchange encoded messages. One of them is stopped while the
others commit changes; then it starts again while further changes are committed. Printed are: the bytes on
its disk when it stopped and at the end, the time until it had read them (start), the time from then until it
had applied and synced all that was committed at its start (catch-up), and the processor time of all three
meanwhile. Writes and syncs of the restarted member take as long as on a disk of the given speed. Each line of
output has the figures of one combination; the load of the machine is printed before and after.
"""

import argparse
import asyncio
import contextlib
import itertools
import os
import random
import resource
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import orjson

from pewterring.batch import commands as batch_commands
from pewterring.batch.messages import ItemResult, ItemSpec
from pewterring.batch.state import BatchState
from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupEnvironment
from pewterring.consensus.messages import CONSENSUS_MESSAGES, ConsensusMessage, Membership
from pewterring.consensus.state_machine import StateMachine
from pewterring.control import commands as control_commands
from pewterring.control.state import ControlState
from pewterring.distribution.messages import WorkerRecord
from pewterring.storage.disk import DiskFile, FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.transport.line_codec import MessageCodec
from tests.configuration.documents import numbered_routes

NAMES = ("a", "b", "c")
ROUTE_BYTES = 160  # approximate size of a route
WORKERS = 200  # registered at the same time
ITEMS = 10  # of a batch job
RESULT_BYTES = 500
CONCURRENT_PROPOSALS = 16
PAUSE_S = 0.01  # between changes while the member catches up
TIMEOUT_S = 120.0


def control_changes(size_bytes: int, retained: int) -> Iterator[bytes]:
    """Yields configurations of that size, with registrations and removals of workers between them."""
    for version in itertools.count(1):
        document = msgspec.Raw(orjson.dumps(_document(version, size_bytes)))
        put = control_commands.PutConfiguration(version - 1, version, f"{version:064d}", document)
        yield control_commands_encoded(put)
        worker = WorkerRecord(
            f"w-{version}", "s", f"10.1.{version >> 8 & 255}.{version & 255}:80", "z", 8, "ready"
        )
        yield control_commands_encoded(control_commands.PutWorker(worker))
        if version > WORKERS:
            gone = control_commands.RemoveWorkers((f"w-{version - WORKERS}",), permanent=True)
            yield control_commands_encoded(gone)


def control_commands_encoded(command: control_commands.Command) -> bytes:
    return msgspec.json.encode(command)


def _document(version: int, size_bytes: int) -> dict[str, object]:
    routes = numbered_routes(version, max(1, size_bytes // ROUTE_BYTES))
    return {"version": version, "routes": routes, "backends": [{"name": "s"}]}


def batch_changes(size_bytes: int, retained: int) -> Iterator[bytes]:
    """Yields jobs of that size; the next change finishes each, and it is dropped after `retained` more."""
    body = "A" * (size_bytes // ITEMS)
    for number in itertools.count():
        job = f"j-{number}"
        items = tuple(ItemSpec(f"i-{item}", "/p", {}, body, 100) for item in range(ITEMS))
        yield batch_commands.encode_command(batch_commands.AcceptJob(job, "h.example", "/", items))
        results = tuple(
            batch_commands.JobResult(job, ItemResult(f"i-{item}", "succeeded", "r" * RESULT_BYTES))
            for item in range(ITEMS)
        )
        yield batch_commands.encode_command(batch_commands.AddResults(results))
        if number >= retained:
            yield batch_commands.encode_command(batch_commands.DropJobs((f"j-{number - retained}",)))


MACHINES: dict[str, Callable[[], StateMachine]] = {
    "control": ControlState,
    "batch": lambda: BatchState(time.monotonic),
}
CHANGES: dict[str, Callable[[int, int], Iterator[bytes]]] = {
    "control": control_changes,
    "batch": batch_changes,
}


class SlowFile:
    """A file whose syncs take as long as on a `SlowDisk`."""

    def __init__(self, file: DiskFile, disk: "SlowDisk") -> None:
        self._file = file
        self._disk = disk
        self._unsynced_bytes = 0

    def write(self, data: bytes) -> None:
        self._unsynced_bytes += len(data)
        self._file.write(data)

    def truncate(self, size: int) -> None:
        self._file.truncate(size)

    def sync(self) -> None:
        self._file.sync()
        time.sleep(self._disk.sync_s + self._unsynced_bytes / self._disk.bytes_per_s)
        self._unsynced_bytes = 0

    def close(self) -> None:
        self._file.close()


class SlowDisk(FolderDisk):
    """A folder on a disk of a given speed."""

    def __init__(self, folder: Path, sync_s: float, bytes_per_s: float) -> None:
        super().__init__(folder)
        self.sync_s = sync_s
        self.bytes_per_s = bytes_per_s

    def create(self, name: str) -> DiskFile:
        return SlowFile(super().create(name), self)

    def open(self, name: str) -> DiskFile:
        return SlowFile(super().open(name), self)

    def sync_folder(self) -> None:
        super().sync_folder()
        time.sleep(self.sync_s)


class Trio:
    """Three members in one event loop."""

    def __init__(self, folder: Path, state: str) -> None:
        self._folder = folder
        self._state = state
        self._codec = MessageCodec(CONSENSUS_MESSAGES)
        self.groups: dict[str, ReplicatedGroup] = {}
        self.machines: dict[str, StateMachine] = {}

    async def start(self, name: str, disk: FolderDisk) -> ReplicatedGroup:
        storage = DiskGroupStorage(disk, "group")
        storage.load()
        storage.initialize(Membership(NAMES))
        storage.close()
        self.machines[name] = MACHINES[self._state]()
        group = ReplicatedGroup(
            "group",
            name,
            GroupEnvironment(
                storage=DiskGroupStorage(disk, "group"),
                machine=self.machines[name],
                send=self._send,
                rng=random.Random(name),
            ),
        )
        await group.start()
        self.groups[name] = group
        return group

    def _send(self, message: ConsensusMessage) -> None:
        line = self._codec.line(message)
        asyncio.get_running_loop().call_soon(self._receive, message.target, line)

    def _receive(self, target: str, line: bytes) -> None:
        group = self.groups.get(target)
        if group is None:
            return
        message = self._codec.decode(self._codec.decode_line(line).body)
        assert isinstance(message, ConsensusMessage)
        group.receive(message)

    async def leader(self) -> ReplicatedGroup:
        while True:
            for group in self.groups.values():
                if group.is_leader:
                    return group
            await asyncio.sleep(PAUSE_S)

    async def has_all(self, member: ReplicatedGroup, index: int) -> bool:
        """Whether a member has applied all entries up to `index` and is known to have synced them."""
        return member.applied_index >= index and (await self.leader()).match(member.member) >= index

    async def propose(self, commands: Iterator[bytes], count: int) -> None:
        left = count
        while left > 0:
            batch = list(itertools.islice(commands, min(CONCURRENT_PROPOSALS, left)))
            leader = await self.leader()
            await asyncio.gather(*(leader.propose(command) for command in batch))
            left -= len(batch)


def _bytes_in(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


async def measure(
    folder: Path, state: str, count: int, size_bytes: int, retained: int, sync_s: float, bytes_per_s: float
) -> str:
    """Stops one member during `count` changes; returns the figures as a line."""
    trio = Trio(folder, state)
    for name in NAMES:
        await trio.start(name, FolderDisk(folder / name))
    commands = CHANGES[state](size_bytes, retained)
    await trio.propose(commands, 30)
    leader = await trio.leader()
    stopped = next(name for name in NAMES if name != leader.member)
    await trio.groups.pop(stopped).stop()
    initial_bytes = _bytes_in(folder / stopped)
    await trio.propose(commands, count)
    target = leader.commit_index

    state_bytes = len(trio.machines[leader.member].snapshot())
    proposing = asyncio.create_task(_propose_forever(trio, commands))
    began, began_cpu = time.monotonic(), time.process_time()
    restarted = await trio.start(stopped, SlowDisk(folder / stopped, sync_s, bytes_per_s))
    started = time.monotonic()
    while (
        not (has_caught_up := await trio.has_all(restarted, target))
        and time.monotonic() - started < TIMEOUT_S
    ):
        await asyncio.sleep(PAUSE_S)
    caught_up, used_cpu = time.monotonic(), time.process_time() - began_cpu
    proposing.cancel()
    await asyncio.wait([proposing])
    await trio.groups.pop(stopped).stop()
    final_bytes = _bytes_in(folder / stopped)
    second_start_at = time.monotonic()
    member = await trio.start(stopped, FolderDisk(folder / stopped))
    second_start_s = time.monotonic() - second_start_at
    await member.stop()
    for group in trio.groups.values():
        await group.stop()
    catch_up = f"{caught_up - started:6.2f}" if has_caught_up else f"over {TIMEOUT_S:g}"
    disk = f"disk {sync_s * 1000:3.0f} ms {bytes_per_s / 1e6:4.0f} MB/s"
    return (
        f"{state:8} {count:6} x {size_bytes // 1000:4} kB, {disk}:"
        f" state {state_bytes / 1e6:5.2f} MB, left {initial_bytes / 1e6:6.1f} MB,"
        f" start {started - began:5.2f} s, catch-up {catch_up} s,"
        f" processor {used_cpu:5.2f} s; holds {final_bytes / 1e6:6.1f} MB,"
        f" start again {second_start_s:5.2f} s"
    )


async def _propose_forever(trio: Trio, commands: Iterator[bytes]) -> None:
    while True:
        with contextlib.suppress(ConsensusError):  # the next change goes to the leader of that time
            await trio.propose(commands, 1)
        await asyncio.sleep(PAUSE_S)


def _numbers(text: str) -> list[float]:
    return [float(number) for number in text.split(",")]


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--states", default="control,batch")
    parser.add_argument("--changes", default="300,3000")
    parser.add_argument("--kilobytes", default="8,64")
    parser.add_argument("--kept-jobs", type=int, default=40, help="of the batch state: 5 kB of results each")
    parser.add_argument("--sync-ms", default="1,30")
    parser.add_argument("--mb-per-s", default="120,4", help="one for each of --sync-ms")
    parser.add_argument("--folder", default=None)
    given = parser.parse_args()
    print("load", *os.getloadavg(), flush=True)
    disks = list(zip(_numbers(given.sync_ms), _numbers(given.mb_per_s), strict=True))
    for state in given.states.split(","):
        for count, kilobytes in itertools.product(_numbers(given.changes), _numbers(given.kilobytes)):
            for sync_ms, mb_per_s in disks:
                with tempfile.TemporaryDirectory(dir=given.folder) as folder:
                    size_bytes = int(kilobytes * 1000)
                    disk = sync_ms / 1000, mb_per_s * 1e6
                    line = asyncio.run(
                        measure(Path(folder), state, int(count), size_bytes, given.kept_jobs, *disk)
                    )
                print(line, flush=True)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
    print(f"peak memory of the three members: {peak_mb:.0f} MB")
    print("load", *os.getloadavg(), flush=True)


if __name__ == "__main__":
    main()
