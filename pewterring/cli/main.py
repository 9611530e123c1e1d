"""Reads the command line and runs one command. Each command's module is loaded when it is used."""

import argparse
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
        return status
    except CommandError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return error.status
    except ModuleNotFoundError as error:
        if (error.name or "").startswith(PROGRAM):
            raise
        print(f"{PROGRAM}: this needs {error.name}; install {PROGRAM}[tier]", file=sys.stderr)
        return USAGE_ERROR
    except ConfigError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return USAGE_ERROR
    except BrokenPipeError:  # whoever reads the output has read enough
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return FAILED
    except KeyboardInterrupt:
        return INTERRUPTED
    except SystemExit as end:  # of argparse, after help and version
        return end.code if isinstance(end.code, int) else FAILED


def _run(argv: list[str]) -> int:
    name = next((word for word in argv if not word.startswith("-")), "")
    parser = make_parser((name,))
    given = parser.parse_args(argv)
    run = getattr(given, "run", None)
    if run is None:
        _used_parser(parser, argv).print_help(sys.stderr)
        return USAGE_ERROR
    return int(run(given) or DONE)


def _used_parser(parser: Parser, argv: Sequence[str]) -> argparse.ArgumentParser:
    """The parser of the command that was named without one of its own commands."""
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction) and argv and argv[0] in action.choices:
            found: argparse.ArgumentParser = action.choices[argv[0]]
            return found
    return parser
