"""Entry point of `python -m pewterring`."""

import signal
import sys

TIER_PROGRAMS = ("gateway", "control", "store")


def main(argv: list[str] | None = None) -> int:
    arguments = sys.argv[1:] if argv is None else argv
    # A gatekeeper starts without importing argparse, to save start-up time and memory (docs/lab.md).
    if arguments[:1] == ["serve"] and len(arguments) <= 2 and not arguments[-1].startswith("-"):
        from pewterring.cli.serving import serve
        from pewterring.standalone.config import ConfigError

        try:
            return serve(arguments[1] if len(arguments) > 1 else None)
        except ConfigError as error:
            print(f"pewterring: {error}", file=sys.stderr)
            return 2
    if (
        arguments[:1]
        and arguments[0] in TIER_PROGRAMS
        and (settings := parse_settings_argument(arguments[1:])) is not None
    ):
        # SIGHUP must not end a process that has only begun to start. The imports take most of that time, so
        # they come afterwards; the program then checks the settings file for changes.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from pewterring.cli.tier import run_program

        return run_program(arguments[0], settings or None)
    from pewterring.cli.main import main as command_line

    return command_line(arguments)


def parse_settings_argument(arguments: list[str]) -> str | None:
    """Returns the path after `--settings`, "" without arguments, or None for any other arguments."""
    if not arguments:
        return ""
    if len(arguments) == 2 and arguments[0] == "--settings" and not arguments[1].startswith("-"):
        return arguments[1]
    return None


if __name__ == "__main__":
    sys.exit(main())
