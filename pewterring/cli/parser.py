"""The parser of the command line: one line an error, defaults in the help, commands filled when used."""

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
  1  it failed while it ran: a port, a disk, a call that nobody answered
  2  arguments, settings or a configuration that cannot be used
  3  lab: a rule broke in a run
"""


@dataclass(frozen=True, slots=True)
class Command:
    """A sub-command: `module` has `configure(parser)`, which adds arguments and sets `run`."""

    name: str
    module: str
    help: str
    extra: str = ""  # the optional dependencies that it needs


COMMANDS = (
    Command("gateway", "pewterring.cli.programs", "run a gateway of the serving tier", "tier"),
    Command("control", "pewterring.cli.programs", "run a control machine of the serving tier", "tier"),
    Command("store", "pewterring.cli.programs", "run a store of batch jobs of the serving tier", "tier"),
    Command("local", "pewterring.cli.local", "run a whole tier on this machine's loopback addresses", "tier"),
    Command("cluster", "pewterring.cli.cluster", "ask a running tier how it is", "tier"),
    Command("inspect", "pewterring.cli.inspect", "read what a process keeps on disk", "tier"),
    Command("config", "pewterring.cli.config", "check or show settings and configurations, print schemas"),
    Command("serve", "pewterring.cli.gatekeeper", "run a gatekeeper"),
    Command("check", "pewterring.cli.gatekeeper", "read a gatekeeper's configuration and say what is in it"),
    Command("tally", "pewterring.cli.tally", "sum gatekeepers' tally lines over the fleet"),
    Command("lab", "pewterring.cli.lab", "emulate, sweep, compare, plot, hunt and explain", "lab"),
    Command("completion", "pewterring.cli.completion", "print a shell's completion script"),
    Command("version", "pewterring.cli.version", "print the version"),
)


class HelpFormatter(argparse.RawDescriptionHelpFormatter, argparse.ArgumentDefaultsHelpFormatter):
    """Keeps line ends of descriptions, and says the defaults of options that have one."""

    def _get_help_string(self, action: argparse.Action) -> str | None:
        if action.default in (None, False, "", []) or not action.option_strings:
            return action.help
        return super()._get_help_string(action)


class Parser(argparse.ArgumentParser):
    """A parser whose errors are `UsageError`."""

    def __init__(self, *args: object, **named: object) -> None:
        self.commands: Subcommands | None = None
        named = {"formatter_class": HelpFormatter, "allow_abbrev": False, **named}
        super().__init__(*args, **named)  # type: ignore[arg-type]

    @property
    def options(self) -> set[str]:
        """All options of this command, in each of their forms."""
        return {option for action in self._actions for option in action.option_strings}

    @property
    def parser_by_command(self) -> Mapping[str, "Parser"]:
        """The parsers of its own commands."""
        return {} if self.commands is None else self.commands.choices

    def error(self, message: str) -> NoReturn:
        """Raises instead of printing the usage and ending the process."""
        raise UsageError(f"{message}; see {self.prog} --help")


class VersionAction(argparse.Action):
    """Prints the version and ends."""

    def __call__(self, parser: argparse.ArgumentParser, *_: object) -> NoReturn:
        """Part of `argparse.Action`."""
        print(f"{PROGRAM} {__version__}")
        parser.exit(0)


class Subcommands(Protocol):
    """The commands of a command. The standard library gives the type no public name."""

    choices: Mapping[str, "Parser"]

    def add_parser(self, name: str, **named: object) -> argparse.ArgumentParser:
        """Adds a command, and returns its parser."""
        ...


def add_subcommands(parser: argparse.ArgumentParser) -> Subcommands:
    """Where the commands of a command are added."""
    made = parser.add_subparsers(title="Commands", metavar="COMMAND", dest="command", parser_class=Parser)
    commands = cast(Subcommands, made)
    cast(Parser, parser).commands = commands
    return commands


def make_parser(names: Sequence[str]) -> Parser:
    """The parser, with the arguments of those commands that `names` lists; of others only the help."""
    parser = Parser(
        prog=PROGRAM,
        description="A serving tier in front of model workers, and the gatekeepers of older deployments.",
        epilog=STATUSES,
    )
    parser.add_argument("-V", "--version", action=VersionAction, nargs=0, help="print the version and end")
    commands = add_subcommands(parser)
    for command in COMMANDS:
        made = commands.add_parser(command.name, help=command.help, description=command.help, epilog=STATUSES)
        if command.name in names:
            _configure(command, made)
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
