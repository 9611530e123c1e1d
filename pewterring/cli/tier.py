"""What `gateway`, `control` and `store` do: read the settings, run the program until a signal ends it."""

import asyncio
import contextlib
import gc
import signal
import sys
from typing import Protocol

from loguru import logger

from pewterring.node.settings import NodeSettings, SettingsError, load_settings

USAGE_ERROR = 2
FAILED = 1
# Start-up makes many objects that live for ever; collections are rarer after it, and pass them over.
COLLECTION_THRESHOLDS = (20_000, 20, 50)


class Program(Protocol):
    """A program of the tier."""

    async def start(self) -> None:
        """Starts it; raises OSError where a port cannot be had."""

    async def stop(self) -> None:
        """Stops it."""


def run_program(name: str) -> int:
    """Runs one program; returns the exit status."""
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {name} {message}", level="INFO")
    try:
        settings = load_settings()
    except SettingsError as error:
        print(f"pewterring: {error}", file=sys.stderr)
        return USAGE_ERROR
    return asyncio.run(_run(name, settings))


async def _run(name: str, settings: NodeSettings) -> int:
    failed = asyncio.Event()
    stopped = asyncio.Event()
    program = _make(name, settings, failed)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, program)
    await program.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    waits = [asyncio.create_task(event.wait()) for event in (stopped, failed)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    drain = getattr(program, "drain", None)
    if drain is not None and not failed.is_set():
        await drain()
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(program.stop(), 1.0)
    return FAILED if failed.is_set() else 0


def _reload(program: Program) -> None:
    take = getattr(program, "reload", None)
    if take is None:
        return
    try:
        take(load_settings())
    except SettingsError as error:
        logger.warning("settings kept as they were: {}", error)


def _make(name: str, settings: NodeSettings, failed: asyncio.Event) -> Program:
    # Each program loads only what it uses.
    if name == "gateway":
        from pewterring.edge.program import GatewayProgram

        return GatewayProgram(settings)
    if name == "control":
        from pewterring.control.program import ControlProgram

        return ControlProgram(settings, on_failure=lambda error: failed.set())
    from pewterring.batch.program import StoreProgram

    return StoreProgram(settings, on_failure=lambda error: failed.set())
