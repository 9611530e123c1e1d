"""python -m pewterring: serve, check a configuration, or say the version."""

import argparse
import asyncio
import contextlib
import signal
import sys

from pewterring import __version__
from pewterring.config import CONFIG, ConfigError, load


def serve(path: str | None) -> int:
    from pewterring.gateway.service import Service
    from pewterring.log import Log

    service: Service | None = None
    hung_up = False

    def on_hang_up(number: int, frame: object) -> None:
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
        service = Service(config, log, read_again=lambda: load(path))
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
    config = load(path)
    settings = config.settings
    workers = len(config.known.entries) if config.known else 0
    print(f"{config.name or 'unnamed'}: listens on {config.listen}")
    print(f"gatekeeper {settings.me} of {settings.fleet_size}")
    print(f"classes: {', '.join(settings.classes) or 'none'}; plans: {', '.join(settings.plans) or 'none'}")
    print(f"discovery: {config.discovery or 'none'}; workers known: {workers}; peers: {len(config.peers)}")
    return 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="pewterring", description="Keeps each customer of a back end to its plan."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("serve", "run a gatekeeper"),
        ("check", "read a configuration and say what is in it"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("config", nargs="?", help=f"the configuration, a JSON file; {CONFIG} by default")
    commands.add_parser("version", help="say the version")
    given = parser.parse_args(argv)
    try:
        if given.command == "serve":
            return serve(given.config)
        if given.command == "check":
            return check(given.config)
    except ConfigError as error:
        print(f"pewterring: {error}", file=sys.stderr)
        return 2
    print(f"pewterring {__version__}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
