"""Reads the command line and runs one command. Each command's module is loaded when it is used."""

import os
import sys
from collections.abc import Sequence

from pewterring.cli.errors import DONE, FAILED, INTERRUPTED, USAGE_ERROR, CommandError
from pewterring.cli.parser import PROGRAM, Parser, make_parser
from pewterring.standalone.config import ConfigError


def main(argv: Sequence[str]) -> int:
    """Runs the command that `argv` asks for; returns the exit status."""
    try:
        status = _run(list(argv))
        sys.stdout.flush()
    except (CommandError, ConfigError, ModuleNotFoundError) as error:
        return _report(error)
    except BrokenPipeError:  # whoever reads the output has read enough
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return FAILED
    except KeyboardInterrupt:
        return INTERRUPTED
    except SystemExit as end:  # of argparse, after help and version
        return end.code if isinstance(end.code, int) else FAILED
    return status


def _report(error: CommandError | ConfigError | ModuleNotFoundError) -> int:
    """Prints why a command ended, in one line; returns the exit status.

    Raises:
        ModuleNotFoundError: A module of this program is missing, which is a fault of its own.
    """
    text = str(error)
    if isinstance(error, ModuleNotFoundError):
        if (error.name or "").startswith(PROGRAM):
            raise error
        text = f"this needs {error.name}; install {PROGRAM}[tier]"
    print(f"{PROGRAM}: {text}", file=sys.stderr)
    return error.status if isinstance(error, CommandError) else USAGE_ERROR


def _run(argv: list[str]) -> int:
    name = next((each for each in argv if not each.startswith("-")), "")
    parser = make_parser((name,))
    given = parser.parse_args(argv)
    run = getattr(given, "run", None)
    if run is None:
        _used_parser(parser, argv).print_help(sys.stderr)
        return USAGE_ERROR
    return int(run(given) or DONE)


def _used_parser(parser: Parser, argv: Sequence[str]) -> Parser:
    """The parser of the command that was named without one of its own commands."""
    return parser.parser_by_command.get(argv[0], parser) if argv else parser
