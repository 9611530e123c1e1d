"""The command-line parser. Arguments of a command are added only if that command is used."""

import argparse
import importlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NoReturn, Protocol, cast

from pewterring import __version__
from pewterring.cli.errors import UsageError

PROGRAM = "pewterring"
STATUSES = """\
exit status:
  0  done
  1  the command failed while it ran, for example a port, a disk or a call without a response
  2  invalid arguments, settings or configuration
  3  lab: a run violated a rule
"""


@dataclass(frozen=True, slots=True)
class Command:
    """A sub-command. The function `configure(parser)` of `module` adds its arguments and sets `run`."""

    name: str
    module: str
    help: str
    extra: str = ""  # name of the extra with its optional dependencies


COMMANDS = (
    Command("gateway", "pewterring.cli.programs", "run a gateway of the serving tier", "tier"),
    Command("control", "pewterring.cli.programs", "run a control machine of the serving tier", "tier"),
    Command("store", "pewterring.cli.programs", "run a store of batch jobs of the serving tier", "tier"),
    Command(
        "local", "pewterring.cli.local", "run a complete tier on loopback addresses of this machine", "tier"
    ),
    Command("cluster", "pewterring.cli.cluster", "show and change the state of a running tier", "tier"),
    Command("inspect", "pewterring.cli.inspect", "show data folders and gateway logs", "tier"),
    Command("config", "pewterring.cli.config", "check or show settings and configurations, print schemas"),
    Command("serve", "pewterring.cli.gatekeeper", "run a gatekeeper"),
    Command("check", "pewterring.cli.gatekeeper", "validate and summarise a gatekeeper's configuration"),
    Command("tally", "pewterring.cli.tally", "aggregate the tally lines of gatekeepers over the fleet"),
    Command("lab", "pewterring.cli.lab", "play and evaluate scenarios", "lab"),
    Command("completion", "pewterring.cli.completion", "print a completion script for a shell"),
    Command("version", "pewterring.cli.version", "print the version"),
)


class HelpFormatter(argparse.RawDescriptionHelpFormatter, argparse.ArgumentDefaultsHelpFormatter):
    """Keeps line breaks of descriptions and shows the defaults of options that have one."""

    def _get_help_string(self, action: argparse.Action) -> str | None:
        if action.default in (None, False, "", []) or not action.option_strings:
            return action.help
        return super()._get_help_string(action)


class Parser(argparse.ArgumentParser):
    """A parser that raises `UsageError` instead of exiting."""

    def __init__(self, *args: object, **options_by_name: object) -> None:
        self.commands: Subcommands | None = None
        options_by_name = {"formatter_class": HelpFormatter, "allow_abbrev": False, **options_by_name}
        super().__init__(*args, **options_by_name)  # type: ignore[arg-type]

    @property
    def options(self) -> set[str]:
        """All option strings of this command, short and long."""
        return {option for action in self._actions for option in action.option_strings}

    @property
    def parser_by_command(self) -> Mapping[str, "Parser"]:
        """The parsers of the sub-commands by name."""
        return {} if self.commands is None else self.commands.choices

    def error(self, message: str) -> NoReturn:
        """Raises `UsageError` instead of printing the usage and exiting."""
        raise UsageError(f"{message}; see {self.prog} --help")


class VersionAction(argparse.Action):
    """Prints the version and exits."""

    def __call__(self, parser: argparse.ArgumentParser, *_: object) -> NoReturn:
        """Implements `argparse.Action`."""
        print(f"{PROGRAM} {__version__}")
        parser.exit(0)


class Subcommands(Protocol):
    """The sub-commands of a parser. The type has no public name in the standard library."""

    choices: Mapping[str, "Parser"]

    def add_parser(self, name: str, **options_by_name: object) -> argparse.ArgumentParser:
        """Adds a command and returns its parser."""
        ...


def add_subcommands(parser: argparse.ArgumentParser) -> Subcommands:
    """Adds a group of sub-commands to a parser and returns it."""
    added = parser.add_subparsers(title="Commands", metavar="COMMAND", dest="command", parser_class=Parser)
    commands = cast(Subcommands, added)
    cast(Parser, parser).commands = commands
    return commands


def make_parser(names: Sequence[str]) -> Parser:
    """Returns the parser. Only the commands in `names` get arguments; others have just a help text."""
    parser = Parser(
        prog=PROGRAM,
        description="A serving tier in front of model workers, and the gatekeepers of older deployments.",
        epilog=STATUSES,
    )
    parser.add_argument("-V", "--version", action=VersionAction, nargs=0, help="print the version and exit")
    commands = add_subcommands(parser)
    for command in COMMANDS:
        added = commands.add_parser(
            command.name, help=command.help, description=command.help, epilog=STATUSES
        )
        if command.name in names:
            _configure(command, added)
    return parser


def _configure(command: Command, parser: argparse.ArgumentParser) -> None:
    try:
        module = importlib.import_module(command.module)
    except ModuleNotFoundError as error:
        if (error.name or "").startswith(PROGRAM):
            raise
        install = f"install {PROGRAM}[{command.extra}]" if command.extra else "install the requirements"
        raise UsageError(f"{command.name} needs {error.name}; {install}") from error
    module.configure(parser)
