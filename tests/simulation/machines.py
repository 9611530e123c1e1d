"""Machines that run the programs, each with a simulated disk: they lose power, and disks stall or fill up.

A process that is killed in the middle of a save leaves the disk as it was after one of the save's operations.
"""

import contextlib
import random
from collections.abc import Callable
from typing import Any

from pewterring.storage.errors import StorageError
from tests.simulation.network import Network
from tests.simulation.virtual_loop import BlockingHost, Process, VirtualLoop
from tests.storage.simulated_disk import PowerLossError, SimulatedDisk

SAVE_S = ((0.0008, 0.004), (0.005, 0.025))  # a fast and a slow kind of disk; all disks of one run are alike
SLOW_SAVE_S = (0.03, 0.25)
MOST_OPERATIONS = 8  # of the disk: an interrupted save ends within so many
DRIFT = 0.02  # each clock's rate deviates by up to this fraction

Hook = Callable[[str, "Machine"], None]


class Machine(BlockingHost):
    """Owns one address, one disk, and the process that runs there now."""

    def __init__(self, ip: str, loop: VirtualLoop, network: Network, rng: random.Random, hook: Hook) -> None:
        self.ip = ip
        self.process: Process | None = None
        self.disk = SimulatedDisk()
        self.disk_created_s = loop.time()
        self.slow_disk = False
        self.stalled = False
        self.incarnations = 0
        self.save_s = SAVE_S[0]
        self._loop = loop
        self._network = network
        self._rng = random.Random(rng.random())
        self._hook = hook
        self._rate = 1.0 + self._rng.uniform(-DRIFT, DRIFT)
        self._work: Callable[[], Any] | None = None

    @property
    def running(self) -> bool:
        """Whether a process runs, frozen or not."""
        return self.process is not None and self.process.alive

    def new_process(self) -> Process:
        """Powers the machine up and begins an incarnation of its program."""
        assert not self.running
        self.incarnations += 1
        self._network.powered_off_ips.discard(self.ip)
        self._network.heal()
        name = f"{self.ip}/{self.incarnations}"
        self.process = Process(name, self, self._rate, self._rng.uniform(10.0, 1000.0))
        return self.process

    # Ends of the process

    def kill(self) -> None:
        """Kills the process; what it wrote stays, synced or not."""
        self._end(power_lost=False)
        self.disk.kill()

    def lose_power(self) -> None:
        """Loses power: what was not synced is kept, torn or lost."""
        if self.running:
            self._end(power_lost=True)
        self._network.powered_off_ips.add(self.ip)
        self.disk.lose_power(self._rng)

    def wipe(self) -> None:
        """Loses power and the disk."""
        if self.running:
            self._end(power_lost=True)
        self._network.powered_off_ips.add(self.ip)
        self.disk = SimulatedDisk()
        self.disk_created_s = self._loop.time()

    def _end(self, power_lost: bool) -> None:
        process = self.process
        assert process is not None
        process.alive = False
        process.postponed.clear()
        work, self._work = self._work, None
        if work is not None:
            self.disk.lose_power_at(self._rng.randint(1, MOST_OPERATIONS))
            with contextlib.suppress(PowerLossError, StorageError):
                work()
        self._network.process_ended(process, power_lost)
        for action in process.on_end:
            action()
        process.on_end.clear()

    # The disk

    def run_blocking(self, loop: VirtualLoop, process: Process, work: Callable[[], Any]) -> Any:
        """Does the work of the process's storage after the latency of the disk."""
        future = loop.create_future()
        self._hook("before_save", self)
        if not process.alive:
            return future
        self._work = work
        loop.call_in(process, loop.time() + self._save_s(), self._finish, process, work, future)
        return future

    def _save_s(self) -> float:
        return self._rng.uniform(*(SLOW_SAVE_S if self.slow_disk else self.save_s))

    def _finish(self, process: Process, work: Callable[[], Any], future: Any) -> None:
        if self.stalled:
            self._loop.call_in(process, self._loop.time() + 0.05, self._finish, process, work, future)
            return
        self._work = None
        try:
            result = work()
        except Exception as error:  # noqa: BLE001 - as an executor's: the caller of the storage gets it
            future.set_exception(error)
            return
        self._hook("after_save", self)
        if process.alive:
            future.set_result(result)

    def fill_disk(self) -> None:
        """Leaves at most a few hundred bytes of free disk space."""
        used = sum(self.disk.size(name) for name in self.disk.names())
        self.disk.capacity = used + self._rng.randint(0, 300)

    def repair_disk(self) -> None:
        """Restores the disk's capacity and speed."""
        self.disk.capacity = None
        self.slow_disk = False
        self.stalled = False
