"""The processes of the tier under test: started, signalled and restarted."""

import asyncio
import os
import shutil
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from pewterring.local.layout import FRONT_PORT, READY_PORT, Layout, Process

PROC = Path("/proc")
IGNORED, CAUGHT = "SigIgn", "SigCgt"  # masks of signals in a process's status
END_TIMEOUT_S = 30.0  # longest time from SIGTERM to the end of a process


class FleetError(Exception):
    """A process ended by itself, or did not end; the text says which one."""


@dataclass(slots=True, eq=False)
class Member:
    """One process of the tier. `is_stopping` from the signal that ends it until it is started again."""

    process: Process
    child: asyncio.subprocess.Process | None = None
    is_stopping: bool = False
    lost_disks: int = 0  # how often its disk was lost
    is_removed: bool = False  # for good, with its disk

    @property
    def front(self) -> str:
        """The address for clients."""
        return f"{self.process.ip}:{FRONT_PORT}"

    @property
    def ready(self) -> str:
        """The address for readiness and metrics."""
        return f"{self.process.ip}:{READY_PORT}"

    def hang_up(self) -> bool:
        """Sends SIGHUP unless the process is so young that only its interpreter runs; returns whether it did.

        The interpreter leaves SIGHUP at its default action, so nothing of the program could prevent its end.
        """
        if self.child is None or self.child.returncode is not None or not _handles_hangup(self.child.pid):
            return False
        self.child.send_signal(signal.SIGHUP)
        return True

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)


class Fleet:
    """Owns all processes of a layout."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.members = [Member(process) for process in layout.processes()]

    def of(self, program: str) -> list[Member]:
        """The members that run one program and were not removed."""
        return [member for member in self.present if member.process.program == program]

    @property
    def present(self) -> list[Member]:
        """The members that were not removed."""
        return [member for member in self.members if not member.is_removed]

    async def start_all(self) -> None:
        """Writes the settings files and starts all processes."""
        for member in self.members:
            (self.layout.folder_of(member.process) / "data").mkdir(parents=True)
            self._write_settings(member, bootstrap=True)
            await self.start(member)

    def _write_settings(self, member: Member, bootstrap: bool) -> None:
        settings = self.layout.settings(member.process, bootstrap)
        (self.layout.folder_of(member.process) / "node.conf").write_text(settings, encoding="utf-8")

    def lose_disk(self, member: Member) -> None:
        """Empties the data folder of a member whose process has ended."""
        data = self.layout.folder_of(member.process) / "data"
        shutil.rmtree(data)
        data.mkdir()
        self._write_settings(member, bootstrap=False)
        member.lost_disks += 1

    async def remove(self, member: Member) -> None:
        """Ends a member for good, and removes its disk."""
        await self.end(member, signal.SIGKILL)
        self.lose_disk(member)
        member.is_removed = True

    def oldest_disk(self, program: str) -> Member:
        """The member of a program whose disk has lasted longest, if disks are always lost in this order."""
        return min(self.of(program), key=lambda member: member.lost_disks)

    async def start(self, member: Member) -> None:
        """Starts one process on the settings and data that are there."""
        folder = self.layout.folder_of(member.process)
        with (folder / "log").open("ab") as log:
            member.child = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "pewterring", member.process.program,
                "--settings", str(folder / "node.conf"),
                env=dict(os.environ), stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        member.is_stopping = False

    async def end(self, member: Member, number: signal.Signals) -> None:
        """Ends a process by SIGTERM or SIGKILL, and waits for its end.

        Raises:
            FleetError: The process does not end in time.
        """
        assert member.child is not None
        member.is_stopping = True
        member.send(number)
        try:
            await asyncio.wait_for(member.child.wait(), END_TIMEOUT_S)
        except TimeoutError:
            raise FleetError(f"{member.process.name} did not end after {number.name}") from None

    def ended_by_themselves(self) -> list[str]:
        """The processes that have ended although nothing ended them, with their exit statuses."""
        return [
            f"{member.process.name} ended by itself with status {member.child.returncode}"
            for member in self.members
            if member.child is not None and member.child.returncode is not None and not member.is_stopping
        ]

    async def kill_all(self) -> None:
        """Ends whatever still runs."""
        for member in self.members:
            if member.child is not None and member.child.returncode is None:
                member.child.kill()
                await member.child.wait()


def _handles_hangup(pid: int) -> bool:
    """Whether a process ignores or catches SIGHUP."""
    mask = 0
    for line in (PROC / str(pid) / "status").read_text(encoding="ascii").splitlines():
        name, _, value = line.partition(":")
        if name in {IGNORED, CAUGHT}:
            mask |= int(value, 16)
    return bool(mask >> (signal.SIGHUP - 1) & 1)
