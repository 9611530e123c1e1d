"""`pewterring config`: checks and shows settings files and configurations, and prints their schemas."""

import argparse
import os
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import orjson

from pewterring.cli import gatekeeper_settings
from pewterring.cli.errors import DONE, USAGE_ERROR, UsageError
from pewterring.cli.findings import Findings
from pewterring.cli.gatekeeper_settings import json_schema
from pewterring.cli.parser import add_subcommands
from pewterring.node.keys import REQUIRED_BY, SETTINGS_VARIABLE
from pewterring.standalone.config import CONFIG

__all__ = ["configure", "json_schema"]

GATEKEEPER, SETTINGS, CONFIGURATION = KINDS = ("gatekeeper", "settings", "configuration")
ABOUT = f"""\
There are three kinds of files, distinguished by their content:
  settings       a process of the serving tier: lines of a.b=value ({SETTINGS_VARIABLE} names it by default)
  configuration  routes and services of the serving tier, as operators send them: JSON with "routes",
                 or a patch of them: JSON with "upsert" or "delete"
  gatekeeper     a gatekeeper of older deployments: other JSON ({CONFIG} names it by default)
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the sub-commands of `config` to its parser."""
    parser.description = ABOUT
    commands = add_subcommands(parser)
    check = commands.add_parser("check", help="report errors, and keys that look misspelled")
    _add_path(check)
    check.add_argument(
        "--program",
        choices=sorted(REQUIRED_BY),
        default="",
        help="for settings: also check the keys that this program requires",
    )
    check.set_defaults(run=_check)
    show = commands.add_parser("show", help="show each effective value and its origin")
    _add_path(show)
    show.add_argument("--json", action="store_true", help="print JSON instead of a table")
    show.set_defaults(run=_show)
    schema = commands.add_parser("schema", help="print the JSON Schema of one kind of file")
    schema.add_argument("--kind", choices=KINDS, default=GATEKEEPER, help="kind of file")
    schema.set_defaults(run=_schema)


def _add_path(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("path", nargs="?", metavar="FILE")
    parser.add_argument(
        "--kind", choices=KINDS, default="", help="kind of file; detected from the content if omitted"
    )


def detect_kind(path: str | None) -> str:
    """Detects the kind of a file from its content, or without a path from the environment."""
    if path is None:
        return SETTINGS if os.environ.get(SETTINGS_VARIABLE) and not os.environ.get(CONFIG) else GATEKEEPER
    try:
        content = Path(path).read_bytes()
    except OSError:
        return GATEKEEPER  # the check of this kind reports why the file cannot be read
    if not content.lstrip().startswith((b"{", b"[")):
        return SETTINGS if b"=" in content else GATEKEEPER
    try:
        tree = orjson.loads(content)
    except orjson.JSONDecodeError:
        return GATEKEEPER
    if isinstance(tree, dict) and {"routes", "backends", "upsert", "delete"} & tree.keys():
        return CONFIGURATION
    return GATEKEEPER


def _check(arguments: argparse.Namespace) -> int:
    findings = _findings(arguments)
    for problem in findings.problems:
        print(f"pewterring: {findings.path}: {problem}", file=sys.stderr)
    if findings.problems:
        return USAGE_ERROR
    print(f"{findings.path}: can be used" + (f"; {findings.note}" if findings.note else ""))
    return DONE


def _findings(arguments: argparse.Namespace) -> Findings:
    kind = arguments.kind or detect_kind(arguments.path)
    if kind == SETTINGS:
        from pewterring.cli import node_settings
        from pewterring.node.errors import SettingsError
        from pewterring.node.settings_file import settings_path

        path = settings_path(arguments.path)
        try:
            return node_settings.check(path, arguments.program)
        except SettingsError as error:
            return Findings(str(path), error.problems)
    if kind == CONFIGURATION:
        from pewterring.cli import operator_configuration

        return operator_configuration.check(_require_file(arguments.path))
    return gatekeeper_settings.check(arguments.path)


def _require_file(path: str | None) -> Path:
    if path is None:
        raise UsageError("a FILE argument is required")
    if not Path(path).is_file():
        raise UsageError(f"{path}: no such file")
    return Path(path)


def _show(arguments: argparse.Namespace) -> int:
    rows = _rows(arguments)
    if arguments.json:
        values_by_key = {key: {"value": value, "from": origin} for key, value, origin in rows}
        _print_json(values_by_key)
        return DONE
    width = max(len(key) for key, _, _ in rows)
    for key, value, origin in rows:
        print(f"{key:<{width}}  {origin:<16}  {'-' if value is None else value}")
    return DONE


def _rows(arguments: argparse.Namespace) -> list[tuple[str, object, str]]:
    kind = arguments.kind or detect_kind(arguments.path)
    if kind == SETTINGS:
        from pewterring.cli import node_settings
        from pewterring.node.errors import SettingsError
        from pewterring.node.settings_file import settings_path

        try:
            return node_settings.show(settings_path(arguments.path))
        except SettingsError as error:
            raise UsageError(str(error)) from error
    if kind == CONFIGURATION:
        from pewterring.cli import operator_configuration

        _raise_first(operator_configuration.check(_require_file(arguments.path)).problems)
        return operator_configuration.show(_require_file(arguments.path))
    return gatekeeper_settings.show(arguments.path)


def _raise_first(problems: Iterable[str]) -> None:
    for problem in problems:
        raise UsageError(problem)


def _schema(arguments: argparse.Namespace) -> int:
    if arguments.kind == SETTINGS:
        from pewterring.cli import node_settings

        _print_json(node_settings.json_schema())
    elif arguments.kind == CONFIGURATION:
        from pewterring.cli import operator_configuration

        _print_json(operator_configuration.json_schema())
    else:
        _print_json(json_schema())
    return DONE


def _print_json(value: Any) -> None:
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2, default=str).decode())
