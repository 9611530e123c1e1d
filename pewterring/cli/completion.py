"""`pewterring completion`: a script with the words of each command, for the shell to offer."""

import argparse
from collections.abc import Iterator, Mapping, Sequence

from pewterring.cli.errors import UsageError
from pewterring.cli.parser import COMMANDS, PROGRAM, make_parser

FUNCTION = "_PEWTERRING_COMPLETE"
WORDS_OF_A_COMMAND = 2  # at most: `lab run`


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the command to its parser."""
    parser.description = f'print a completion script: eval "$({PROGRAM} completion bash)"'
    parser.add_argument("shell", choices=["bash", "zsh", "fish"])
    parser.set_defaults(run=_completion)


def _completion(given: argparse.Namespace) -> None:
    words = {path: sorted(offered) for path, offered in _words(_whole_parser())}
    print(_fish(words) if given.shell == "fish" else _bash(words, zsh=given.shell == "zsh"))


def _whole_parser() -> argparse.ArgumentParser:
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


def _words(
    parser: argparse.ArgumentParser, path: tuple[str, ...] = ()
) -> Iterator[tuple[tuple[str, ...], set[str]]]:
    """Each command's path with what may follow it."""
    options = {option for action in parser._actions for option in action.option_strings}
    commands: dict[str, argparse.ArgumentParser] = {}
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            commands.update(action.choices)
    yield path, options | set(commands)
    for name, command in commands.items():
        yield from _words(command, (*path, name))


def _bash(words: Mapping[tuple[str, ...], Sequence[str]], zsh: bool) -> str:
    cases = "\n".join(
        f'    "{" ".join(path)}") words="{" ".join(offered)}" ;;' for path, offered in words.items()
    )
    head = "autoload -U +X bashcompinit && bashcompinit\n" if zsh else ""
    return f"""{head}{FUNCTION}() {{
  local path="" words="" word
  for word in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
    case "$word" in -*) break ;; esac
    path="${{path:+$path }}$word"
  done
  path=$(echo "$path" | cut -d' ' -f1-{WORDS_OF_A_COMMAND})
  case "$path" in
{cases}
  esac
  COMPREPLY=($(compgen -W "$words" -- "${{COMP_WORDS[COMP_CWORD]}}"))
}}
complete -o default -F {FUNCTION} {PROGRAM}"""


def _fish(words: Mapping[tuple[str, ...], Sequence[str]]) -> str:
    lines = [f"# {FUNCTION}"]
    for path, offered in words.items():
        used = " ".join(path)
        condition = f"__fish_seen_subcommand_from {used}" if path else "__fish_use_subcommand"
        for word in (word for word in offered if not word.startswith("-")):
            lines.append(f"complete -c {PROGRAM} -n '{condition}' -a {word}")
        for word in (word for word in offered if word.startswith("--")):
            lines.append(f"complete -c {PROGRAM} -n '{condition}' -l {word[2:]}")
    return "\n".join(lines)
