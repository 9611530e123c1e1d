"""`pewterring config`: checks and shows settings and configurations, and prints their schemas."""

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
Three kinds of files, told apart by what is in them:
  settings       a process of the serving tier: lines of a.b=value ({SETTINGS_VARIABLE} names it by default)
  configuration  routes and services of the serving tier, as operators send them: JSON with "routes",
                 or a patch of them: JSON with "upsert" or "delete"
  gatekeeper     a gatekeeper of older deployments: other JSON ({CONFIG} names it by default)
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the commands to the parser."""
    parser.description = ABOUT
    commands = add_subcommands(parser)
    check = commands.add_parser("check", help="refuse what cannot be used, and keys that look like slips")
    _add_path(check)
    check.add_argument(
        "--program", choices=sorted(REQUIRED_BY), default="", help="settings: also what it needs"
    )
    check.set_defaults(run=_check)
    show = commands.add_parser("show", help="each value in force, and what gave it")
    _add_path(show)
    show.add_argument("--json", action="store_true", help="print JSON instead of a table")
    show.set_defaults(run=_show)
    schema = commands.add_parser("schema", help="print the JSON Schema of one kind of files")
    schema.add_argument("--kind", choices=KINDS, default=GATEKEEPER, help="which files")
    schema.set_defaults(run=_schema)


def _add_path(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("path", nargs="?", metavar="FILE")
    parser.add_argument("--kind", choices=KINDS, default="", help="instead of what the content says")


def kind_of(given: str | None) -> str:
    """The kind of a file by its content; without a file, by the variable that names one."""
    if given is None:
        return SETTINGS if os.environ.get(SETTINGS_VARIABLE) and not os.environ.get(CONFIG) else GATEKEEPER
    try:
        content = Path(given).read_bytes()
    except OSError:
        return GATEKEEPER  # whose reader says what is wrong with the file
    if not content.lstrip().startswith((b"{", b"[")):
        return SETTINGS if b"=" in content else GATEKEEPER
    try:
        tree = orjson.loads(content)
    except orjson.JSONDecodeError:
        return GATEKEEPER
    if isinstance(tree, dict) and {"routes", "backends", "upsert", "delete"} & tree.keys():
        return CONFIGURATION
    return GATEKEEPER


def _check(given: argparse.Namespace) -> int:
    findings = _findings(given)
    for problem in findings.problems:
        print(f"pewterring: {findings.path}: {problem}", file=sys.stderr)
    if findings.problems:
        return USAGE_ERROR
    print(f"{findings.path}: can be used" + (f"; {findings.note}" if findings.note else ""))
    return DONE


def _findings(given: argparse.Namespace) -> Findings:
    kind = given.kind or kind_of(given.path)
    if kind == SETTINGS:
        from pewterring.cli import node_settings
        from pewterring.node.errors import SettingsError
        from pewterring.node.settings_file import settings_path

        path = settings_path(given.path)
        try:
            return node_settings.check(path, given.program)
        except SettingsError as error:
            return Findings(str(path), error.problems)
    if kind == CONFIGURATION:
        from pewterring.cli import operator_configuration

        return operator_configuration.check(_needed(given.path))
    return gatekeeper_settings.check(given.path)


def _needed(path: str | None) -> Path:
    if path is None:
        raise UsageError("name a file")
    if not Path(path).is_file():
        raise UsageError(f"{path}: no such file")
    return Path(path)


def _show(given: argparse.Namespace) -> int:
    rows = _rows(given)
    if given.json:
        said = {key: {"value": value, "from": origin} for key, value, origin in rows}
        _print_json(said)
        return DONE
    wide = max(len(key) for key, _, _ in rows)
    for key, value, origin in rows:
        print(f"{key:<{wide}}  {origin:<16}  {'-' if value is None else value}")
    return DONE


def _rows(given: argparse.Namespace) -> list[tuple[str, object, str]]:
    kind = given.kind or kind_of(given.path)
    if kind == SETTINGS:
        from pewterring.cli import node_settings
        from pewterring.node.errors import SettingsError
        from pewterring.node.settings_file import settings_path

        try:
            return node_settings.show(settings_path(given.path))
        except SettingsError as error:
            raise UsageError(str(error)) from error
    if kind == CONFIGURATION:
        from pewterring.cli import operator_configuration

        _refuse(operator_configuration.check(_needed(given.path)).problems)
        return operator_configuration.show(_needed(given.path))
    return gatekeeper_settings.show(given.path)


def _refuse(problems: Iterable[str]) -> None:
    for problem in problems:
        raise UsageError(problem)


def _schema(given: argparse.Namespace) -> int:
    if given.kind == SETTINGS:
        from pewterring.cli import node_settings

        _print_json(node_settings.json_schema())
    elif given.kind == CONFIGURATION:
        from pewterring.cli import operator_configuration

        _print_json(operator_configuration.json_schema())
    else:
        _print_json(json_schema())
    return DONE


def _print_json(value: Any) -> None:
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2, default=str).decode())
