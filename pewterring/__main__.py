"""python -m pewterring: calls the command line."""

import sys

from pewterring.cli.serving import serve
from pewterring.standalone.config import ConfigError

TIER_PROGRAMS = ("gateway", "control", "store")


def main(argv: list[str] | None = None) -> int:
    given = sys.argv[1:] if argv is None else argv
    # A gatekeeper's own start goes without the command line's library: time and memory (docs/lab.md).
    if given[:1] == ["serve"] and len(given) <= 2 and not given[-1].startswith("-"):
        try:
            return serve(given[1] if len(given) > 1 else None)
        except ConfigError as error:
            print(f"pewterring: {error}", file=sys.stderr)
            return 2
    if given[:1] and given[0] in TIER_PROGRAMS and (settings := settings_of(given[1:])) is not None:
        from pewterring.cli.tier import run_program

        return run_program(given[0], settings or None)
    from pewterring.cli.main import main as command_line

    return command_line(given)


def settings_of(arguments: list[str]) -> str | None:
    """The settings file that a program is called with, "" without one; None for other arguments."""
    if not arguments:
        return ""
    if len(arguments) == 2 and arguments[0] == "--settings" and not arguments[1].startswith("-"):
        return arguments[1]
    return None


if __name__ == "__main__":
    sys.exit(main())
