"""Runs the processes of a local tier as child processes."""

import asyncio
import contextlib
import os
import sys
from pathlib import Path
from typing import BinaryIO

from pewterring.local.layout import Layout, Process

ROOT = Path(__file__).resolve().parent.parent.parent  # parent folder of the package
TERMINATE_TIMEOUT_S = 12.0  # from SIGTERM to SIGKILL; gateways drain for some seconds
MAX_SHOWN_LOG_BYTES = 1000


class ProcessEndedError(Exception):
    """A process ended without being stopped."""


def _open_log(folder: Path) -> BinaryIO:
    """Opens the log of a process for appending, so that it keeps the output of earlier runs."""
    return (folder / "log").open("ab")


class Children:
    """Starts, monitors and stops the processes."""

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self._children: dict[str, asyncio.subprocess.Process] = {}

    async def start(self) -> None:
        """Writes the settings files and starts all processes.

        The tier is bootstrapped only if its folder is new or empty.
        """
        bootstrap = not self._layout.folder.exists() or not any(self._layout.folder.iterdir())
        for process in self._layout.processes():
            await self._start(process, bootstrap)

    async def wait_for_end(self) -> None:
        """Waits until a process ends without being stopped.

        Raises:
            ProcessEndedError: Always, with the end of that process's log.
        """
        waiters = {asyncio.create_task(child.wait()): name for name, child in self._children.items()}
        try:
            done, _ = await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in waiters:
                task.cancel()
        name = waiters[next(iter(done))]
        raise ProcessEndedError(f"{name} ended; last part of its log: {self._read_log_end(name)}")

    async def stop(self) -> None:
        """Terminates all processes; kills those still running after `TERMINATE_TIMEOUT_S`."""
        running = [child for child in self._children.values() if child.returncode is None]
        for child in running:
            with contextlib.suppress(ProcessLookupError):
                child.terminate()
        try:
            async with asyncio.timeout(TERMINATE_TIMEOUT_S):
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
        with _open_log(folder) as log:
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
                start_new_session=True,  # Ctrl-C reaches only this process, which then stops the children
            )

    def _read_log_end(self, name: str) -> str:
        try:
            data = (self._layout.folder / name / "log").read_bytes()
        except OSError:
            return ""
        return data[-MAX_SHOWN_LOG_BYTES:].decode("utf-8", "replace").strip()
