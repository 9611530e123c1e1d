"""Implements `gateway`, `control` and `store`: reads the settings and runs the program until a signal."""

import asyncio
import contextlib
import gc
import signal
import sys
from typing import Protocol

from loguru import logger

from pewterring.cli.errors import FAILED, USAGE_ERROR
from pewterring.node.errors import SettingsError
from pewterring.node.settings import NodeSettings, RequestLogMode, SettingsReport
from pewterring.node.settings_file import SettingsFile, settings_path
from pewterring.node.settings_reloader import ReloadCallbacks, SettingsReloader
from pewterring.observability.log import configure_log
from pewterring.observability.request_log import REQUEST_EVENT

STOP_TIMEOUT_S = 1.0  # for a program to stop
# Start-up creates many permanent objects: they are frozen, and garbage collection then runs less often.
COLLECTION_THRESHOLDS = (20_000, 20, 50)


class Program(Protocol):
    """A program of the tier. The methods `drain()` and `reload(settings)` are optional."""

    async def start(self) -> None:
        """Starts the program.

        Raises:
            OSError: A port cannot be bound.
        """

    async def stop(self) -> None:
        """Stops the program."""


def run_program(name: str, path: str | None = None) -> int:
    """Runs one program with the settings file at `path`; returns the exit status."""
    # SIGHUP before the event loop runs must not end the process; the file is checked for changes later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    file = SettingsFile(settings_path(path), name)
    try:
        report = file.read()
    except SettingsError as error:
        print(f"pewterring: {error}", file=sys.stderr)
        return USAGE_ERROR
    unthinned = (REQUEST_EVENT,) if report.settings.request_log is RequestLogMode.ALL else ()
    configure_log({"program": name, "node": report.settings.node_id}, unthinned=unthinned)
    _log_unknown_keys(report)
    try:
        return asyncio.run(_run(name, file, report.settings))
    except Exception as error:  # noqa: BLE001 - outermost handler: any error becomes one log line and an exit status
        logger.bind(event="program_failed").opt(exception=error).error("{} cannot continue: {}", name, error)
        return FAILED


def _log_unknown_keys(report: SettingsReport) -> None:
    if report.unknown:
        log = logger.bind(event="settings_unknown_keys", count=len(report.unknown))
        log.warning("unknown keys are ignored; pewterring config check lists them")


async def _run(name: str, file: SettingsFile, settings: NodeSettings) -> int:
    failed = asyncio.Event()
    stopped = asyncio.Event()
    program = await _make_when_disk_has_space(name, settings, failed)
    reloader = _make_reloader(file, settings, program)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    if not await _start_unless_stopped(program, stopped):
        return 0
    watch = asyncio.create_task(reloader.watch())
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    waiters = [asyncio.create_task(event.wait()) for event in (stopped, failed)]
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    watch.cancel()
    drain = getattr(program, "drain", None)
    if drain is not None and not failed.is_set():
        await drain()
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(program.stop(), STOP_TIMEOUT_S)
    return FAILED if failed.is_set() else 0


async def _make_when_disk_has_space(name: str, settings: NodeSettings, failed: asyncio.Event) -> Program:
    from pewterring.consensus.backpressure import retry_while_full

    async def make() -> Program:
        return _make_program(name, settings, failed)

    return await retry_while_full(name, make)


async def _start_unless_stopped(program: Program, stopped: asyncio.Event) -> bool:
    """Starts the program. Returns False if a signal comes while it waits, for example for disk space."""
    start = asyncio.ensure_future(program.start())
    signalled = asyncio.ensure_future(stopped.wait())
    await asyncio.wait((start, signalled), return_when=asyncio.FIRST_COMPLETED)
    if not start.done():
        await asyncio.wait((start,), timeout=STOP_TIMEOUT_S)
    signalled.cancel()
    if start.done():
        await start
        return True
    start.cancel()
    return False


def _make_reloader(file: SettingsFile, settings: NodeSettings, program: Program) -> SettingsReloader:
    def apply(changed: NodeSettings) -> None:
        reload = getattr(program, "reload", None)
        if reload is not None:
            reload(changed)
        logger.bind(event="settings_reloaded").info("reloaded the settings file")

    def on_refused(error: SettingsError) -> None:
        logger.bind(event="settings_refused").warning("settings kept as they were: {}", error)

    def on_restart_needed(names: tuple[str, ...]) -> None:
        logger.bind(event="settings_need_restart", fields=names).warning(
            "some changes take effect only after a restart"
        )

    return SettingsReloader(file, settings, ReloadCallbacks(apply, on_refused, on_restart_needed))


def _make_program(name: str, settings: NodeSettings, failed: asyncio.Event) -> Program:
    # Local imports, so that each program loads only what it uses.
    if name == "gateway":
        from pewterring.gateway.program import GatewayProgram

        return GatewayProgram(settings)
    if name == "control":
        from pewterring.control.program import ControlProgram

        return ControlProgram(settings, on_failure=lambda _error: failed.set())
    from pewterring.batch.program import StoreProgram

    return StoreProgram(settings, on_failure=lambda _error: failed.set())
