"""Implements `serve` and `check`.

Neither this module nor its imports may import argparse: see `__main__`.
"""

import asyncio
import contextlib
import signal

from pewterring.standalone.config import load


def serve(path: str | None) -> int:
    """Runs a gatekeeper with the configuration at `path` until SIGTERM; returns the exit status."""
    from pewterring.standalone.log import Log
    from pewterring.standalone.proxy.service import Service

    service: Service | None = None
    reload_requested = False

    def on_sighup(_number: int, _frame: object) -> None:
        # The loop's own handler would be removed with the loop: a SIGHUP just before exit would then kill it.
        nonlocal reload_requested
        reload_requested = True
        if service:
            with contextlib.suppress(RuntimeError):  # the loop is closed
                service.loop.call_soon_threadsafe(service.reload)

    signal.signal(signal.SIGHUP, on_sighup)
    config, log = load(path), Log()

    async def run() -> None:
        nonlocal service
        service = Service(config, log, read_again=lambda: load(path, strict=True))
        if reload_requested:  # the signal may have come after the file was read
            service.reload()
        await service.run()

    try:
        asyncio.run(run())
    except OSError as error:
        log("cannot_serve", why=str(error))
        return 1
    return 0


def check(path: str | None) -> int:
    """Prints a summary of the configuration at `path`; returns the exit status."""
    config = load(path)
    settings = config.settings
    workers = len(config.known.entries) if config.known else 0
    print(f"{config.name or 'unnamed'}: listens on {config.listen}")
    print(f"gatekeeper {settings.me} of {settings.fleet_size}")
    print(f"classes: {', '.join(settings.classes) or 'none'}; plans: {', '.join(settings.plans) or 'none'}")
    print(f"discovery: {config.discovery or 'none'}; workers known: {workers}; peers: {len(config.peers)}")
    return 0
