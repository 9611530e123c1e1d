"""`pewterring completion`: prints a script that completes commands and options in a shell."""

import argparse
from collections.abc import Iterator, Mapping, Sequence

from pewterring.cli.errors import UsageError
from pewterring.cli.parser import COMMANDS, PROGRAM, Parser, make_parser

SHELL_FUNCTION = "_PEWTERRING_COMPLETE"
MAX_COMMAND_DEPTH = 2  # `lab run` has two names


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of `completion` to its parser."""
    parser.description = f'print a completion script: eval "$({PROGRAM} completion bash)"'
    parser.add_argument("shell", choices=["bash", "zsh", "fish"])
    parser.set_defaults(run=_completion)


def _completion(arguments: argparse.Namespace) -> None:
    completions = {path: sorted(words) for path, words in _completions(_complete_parser())}
    print(
        _fish(completions) if arguments.shell == "fish" else _bash(completions, zsh=arguments.shell == "zsh")
    )


def _complete_parser() -> Parser:
    """Returns a parser with every command whose optional dependencies are installed."""
    names = []
    for command in COMMANDS:
        if command.name == "completion":
            continue
        try:
            make_parser((command.name,))
        except UsageError:
            continue
        names.append(command.name)
    return make_parser(names)


def _completions(parser: Parser, path: tuple[str, ...] = ()) -> Iterator[tuple[tuple[str, ...], set[str]]]:
    """Yields the path of each command with the options and sub-commands that may follow it."""
    commands = parser.parser_by_command
    yield path, parser.options | set(commands)
    for name, command in commands.items():
        yield from _completions(command, (*path, name))


def _bash(completions: Mapping[tuple[str, ...], Sequence[str]], zsh: bool) -> str:
    cases = "\n".join(
        f'    "{" ".join(path)}") words="{" ".join(words)}" ;;' for path, words in completions.items()
    )
    head = "autoload -U +X bashcompinit && bashcompinit\n" if zsh else ""
    return f"""{head}{SHELL_FUNCTION}() {{
  local path="" words="" word
  for word in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
    case "$word" in -*) break ;; esac
    path="${{path:+$path }}$word"
  done
  path=$(echo "$path" | cut -d' ' -f1-{MAX_COMMAND_DEPTH})
  case "$path" in
{cases}
  esac
  COMPREPLY=($(compgen -W "$words" -- "${{COMP_WORDS[COMP_CWORD]}}"))
}}
complete -o default -F {SHELL_FUNCTION} {PROGRAM}"""


def _fish(completions: Mapping[tuple[str, ...], Sequence[str]]) -> str:
    script = [f"# {SHELL_FUNCTION}"]
    for path, words in completions.items():
        command_path = " ".join(path)
        condition = f"__fish_seen_subcommand_from {command_path}" if path else "__fish_use_subcommand"
        for command in (word for word in words if not word.startswith("-")):
            script.append(f"complete -c {PROGRAM} -n '{condition}' -a {command}")
        for option in (word for word in words if word.startswith("--")):
            script.append(f"complete -c {PROGRAM} -n '{condition}' -l {option[2:]}")
    return "\n".join(script)
