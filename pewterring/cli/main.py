"""pewterring: its sub-commands. Those of a part that needs heavy libraries are loaded when they are asked
for."""

import importlib
import sys
from typing import Any

import click

from pewterring import __version__
from pewterring.config import CONFIG, ConfigError

LAZY = {
    "config": ("pewterring.cli.config", "config", "Check a configuration, show it, print its schema."),
    "tally": ("pewterring.cli.tally", "tally", "Sum gatekeepers' tally lines over the fleet."),
    "lab": ("pewterring.cli.lab", "lab", "Emulate, sweep, compare, plot, hunt and explain (extra [lab])."),
}


class Lazy(click.Group):
    """A group some of whose commands are imported when they are used."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *LAZY])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in LAZY:
            return super().get_command(context, name)
        module, attribute, help = LAZY[name]
        try:
            return getattr(importlib.import_module(module), attribute)  # type: ignore[no-any-return]
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("pewterring"):
                raise
            missing = f"{name} needs {error.name}; install pewterring[{name}]"

            @click.command(name, help=help, context_settings={"ignore_unknown_options": True})
            @click.argument("rest", nargs=-1)
            def absent(rest: tuple[str, ...]) -> None:
                raise click.ClickException(missing)

            return absent

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        own = [(name, c.get_short_help_str(90)) for name, c in sorted(self.commands.items())]
        rows = sorted([*own, *((name, said) for name, (_, _, said) in LAZY.items())])
        with formatter.section("Commands"):
            formatter.write_dl(rows)


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="pewterring", message="%(prog)s %(version)s")
def cli() -> None:
    """Keeps each customer of a back end to its plan."""


config_argument = click.argument("config", required=False, type=click.Path())


@cli.command()
@config_argument
def serve(config: str | None) -> None:
    from pewterring.cli.serving import serve

    sys.exit(serve(config))


serve.help = f"Run a gatekeeper. CONFIG is a JSON file, {CONFIG} names it by default."


@cli.command()
@config_argument
def check(config: str | None) -> None:
    """Read a configuration and say what is in it."""
    from pewterring.cli.serving import check

    sys.exit(check(config))


@cli.command()
def version() -> None:
    """Say the version."""
    click.echo(f"pewterring {__version__}")


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print a shell's completion script: eval "$(pewterring completion bash)"."""
    from click.shell_completion import get_completion_class

    kind = get_completion_class(shell)
    assert kind is not None
    click.echo(kind(cli, {}, "pewterring", "_PEWTERRING_COMPLETE").source())


def main(argv: list[str] | None = None) -> int:
    try:
        result: Any = cli.main(argv, prog_name="pewterring", standalone_mode=False)
    except click.exceptions.Abort:
        return 130
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message(), err=True)
        return 2
    except click.ClickException as error:
        click.echo(f"pewterring: {error.format_message()}", err=True)
        return 2
    except ConfigError as error:
        click.echo(f"pewterring: {error}", err=True)
        return 2
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return result if isinstance(result, int) else 0
