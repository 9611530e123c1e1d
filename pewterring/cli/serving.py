"""What `serve` and `check` do.

Nothing here or on the way here imports the command line's library: see `__main__`.
"""

import asyncio
import contextlib
import signal

from pewterring.standalone.config import load


def serve(path: str | None) -> int:
    """Serves by the configuration at `path` until SIGTERM; returns the exit status."""
    from pewterring.standalone.log import Log
    from pewterring.standalone.proxy.service import Service

    service: Service | None = None
    hung_up = False

    def on_hang_up(_number: int, _frame: object) -> None:
        # Not the loop's own handler: that one goes with the loop, and one just before the end would kill.
        nonlocal hung_up
        hung_up = True
        if service:
            with contextlib.suppress(RuntimeError):  # the loop has ended
                service.loop.call_soon_threadsafe(service.reload)

    signal.signal(signal.SIGHUP, on_hang_up)
    config, log = load(path), Log()

    async def run() -> None:
        nonlocal service
        service = Service(config, log, read_again=lambda: load(path, strict=True))
        if hung_up:  # after the file was read, perhaps
            service.reload()
        await service.run()

    try:
        asyncio.run(run())
    except OSError as error:
        log("cannot_serve", why=str(error))
        return 1
    return 0


def check(path: str | None) -> int:
    """Prints what the configuration at `path` says; returns the exit status."""
    config = load(path)
    settings = config.settings
    workers = len(config.known.entries) if config.known else 0
    print(f"{config.name or 'unnamed'}: listens on {config.listen}")
    print(f"gatekeeper {settings.me} of {settings.fleet_size}")
    print(f"classes: {', '.join(settings.classes) or 'none'}; plans: {', '.join(settings.plans) or 'none'}")
    print(f"discovery: {config.discovery or 'none'}; workers known: {workers}; peers: {len(config.peers)}")
    return 0
