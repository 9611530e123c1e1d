"""The processes of a local tier as children of this one."""

import asyncio
import contextlib
import os
import sys
from pathlib import Path
from typing import BinaryIO

from pewterring.local.layout import Layout, Process

ROOT = Path(__file__).resolve().parent.parent.parent  # the folder that holds the package
END_S = 12.0  # from SIGTERM to SIGKILL; a gateway drains for some seconds
SHOWN_LOG_BYTES = 1000


class ProcessEndedError(Exception):
    """A process ended by itself."""


def _log_of(folder: Path) -> BinaryIO:
    """A process's log, to which each of its runs appends."""
    return (folder / "log").open("ab")


class Children:
    """Starts the processes, notices where one ends, and ends them all."""

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self._children: dict[str, asyncio.subprocess.Process] = {}

    async def start(self) -> None:
        """Writes the settings files and starts all processes."""
        bootstrap = not self._layout.folder.exists() or not any(self._layout.folder.iterdir())
        for process in self._layout.processes():
            await self._start(process, bootstrap)

    async def wait_for_end(self) -> None:
        """Raises `ProcessEndedError` when a process ends by itself."""
        waits = {asyncio.create_task(child.wait()): name for name, child in self._children.items()}
        try:
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in waits:
                task.cancel()
        name = waits[next(iter(done))]
        raise ProcessEndedError(f"{name} ended; the end of its log: {self._log_end(name)}")

    async def stop(self) -> None:
        """Ends all processes, by force after `END_S`."""
        running = [child for child in self._children.values() if child.returncode is None]
        for child in running:
            with contextlib.suppress(ProcessLookupError):
                child.terminate()
        try:
            async with asyncio.timeout(END_S):
                await asyncio.gather(*(child.wait() for child in running))
        except TimeoutError:
            for child in running:
                if child.returncode is None:
                    child.kill()
                    await child.wait()

    async def _start(self, process: Process, bootstrap: bool) -> None:
        folder = self._layout.folder_of(process)
        (folder / "data").mkdir(parents=True, exist_ok=True)
        settings = folder / "node.conf"
        settings.write_text(self._layout.settings(process, bootstrap), encoding="utf-8")
        with _log_of(folder) as log:
            self._children[process.name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pewterring",
                process.program,
                "--settings",
                str(settings),
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C reaches this process alone, which ends the others in order
            )

    def _log_end(self, name: str) -> str:
        try:
            data = (self._layout.folder / name / "log").read_bytes()
        except OSError:
            return ""
        return data[-SHOWN_LOG_BYTES:].decode("utf-8", "replace").strip()
