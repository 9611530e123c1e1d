"""`pewterring completion`: a script with the words of each command, for the shell to offer."""

import argparse
from collections.abc import Iterator, Mapping, Sequence

from pewterring.cli.errors import UsageError
from pewterring.cli.parser import COMMANDS, PROGRAM, Parser, make_parser

FUNCTION = "_PEWTERRING_COMPLETE"
LONGEST_COMMAND = 2  # names in it: `lab run`


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the command to its parser."""
    parser.description = f'print a completion script: eval "$({PROGRAM} completion bash)"'
    parser.add_argument("shell", choices=["bash", "zsh", "fish"])
    parser.set_defaults(run=_completion)


def _completion(given: argparse.Namespace) -> None:
    offers = {path: sorted(offered) for path, offered in _offers(_complete_parser())}
    print(_fish(offers) if given.shell == "fish" else _bash(offers, zsh=given.shell == "zsh"))


def _complete_parser() -> Parser:
    """All commands whose libraries are there."""
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


def _offers(parser: Parser, path: tuple[str, ...] = ()) -> Iterator[tuple[tuple[str, ...], set[str]]]:
    """Each command's path with what may follow it."""
    commands = parser.parser_by_command
    yield path, parser.options | set(commands)
    for name, command in commands.items():
        yield from _offers(command, (*path, name))


def _bash(offers: Mapping[tuple[str, ...], Sequence[str]], zsh: bool) -> str:
    cases = "\n".join(
        f'    "{" ".join(path)}") words="{" ".join(offered)}" ;;' for path, offered in offers.items()
    )
    head = "autoload -U +X bashcompinit && bashcompinit\n" if zsh else ""
    return f"""{head}{FUNCTION}() {{
  local path="" words="" word
  for word in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
    case "$word" in -*) break ;; esac
    path="${{path:+$path }}$word"
  done
  path=$(echo "$path" | cut -d' ' -f1-{LONGEST_COMMAND})
  case "$path" in
{cases}
  esac
  COMPREPLY=($(compgen -W "$words" -- "${{COMP_WORDS[COMP_CWORD]}}"))
}}
complete -o default -F {FUNCTION} {PROGRAM}"""


def _fish(offers: Mapping[tuple[str, ...], Sequence[str]]) -> str:
    script = [f"# {FUNCTION}"]
    for path, offered in offers.items():
        used = " ".join(path)
        condition = f"__fish_seen_subcommand_from {used}" if path else "__fish_use_subcommand"
        for command in (each for each in offered if not each.startswith("-")):
            script.append(f"complete -c {PROGRAM} -n '{condition}' -a {command}")
        for option in (each for each in offered if each.startswith("--")):
            script.append(f"complete -c {PROGRAM} -n '{condition}' -l {option[2:]}")
    return "\n".join(script)
