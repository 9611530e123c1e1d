"""Parses the command line and runs one command. Only the module of that command is imported."""

import os
import sys
from collections.abc import Sequence

from pewterring.cli.errors import DONE, FAILED, INTERRUPTED, USAGE_ERROR, CommandError
from pewterring.cli.parser import PROGRAM, Parser, make_parser
from pewterring.standalone.config import ConfigError


def main(argv: Sequence[str]) -> int:
    """Runs the command in `argv`; returns the exit status."""
    try:
        status = _run(list(argv))
        sys.stdout.flush()
    except (CommandError, ConfigError, ModuleNotFoundError) as error:
        return _report(error)
    except BrokenPipeError:  # the reader of the output has closed the pipe
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return FAILED
    except KeyboardInterrupt:
        return INTERRUPTED
    except SystemExit as end:  # raised by argparse after printing help or the version
        return end.code if isinstance(end.code, int) else FAILED
    return status


def _report(error: CommandError | ConfigError | ModuleNotFoundError) -> int:
    """Prints an error as one line; returns the exit status.

    Raises:
        ModuleNotFoundError: The missing module is one of this program, not an optional dependency.
    """
    text = str(error)
    if isinstance(error, ModuleNotFoundError):
        if (error.name or "").startswith(PROGRAM):
            raise error
        text = f"this needs {error.name}; install {PROGRAM}[tier]"
    print(f"{PROGRAM}: {text}", file=sys.stderr)
    return error.status if isinstance(error, CommandError) else USAGE_ERROR


def _run(argv: list[str]) -> int:
    name = next((argument for argument in argv if not argument.startswith("-")), "")
    parser = make_parser((name,))
    arguments = parser.parse_args(argv)
    run = getattr(arguments, "run", None)
    if run is None:
        _parser_of_command(parser, argv).print_help(sys.stderr)
        return USAGE_ERROR
    return int(run(arguments) or DONE)


def _parser_of_command(parser: Parser, argv: Sequence[str]) -> Parser:
    """Returns the parser of the command that was given without a sub-command."""
    return parser.parser_by_command.get(argv[0], parser) if argv else parser
