"""Reading of scenarios: a TOML file and changes to it, with errors that name file and key."""

import difflib
import re
import tomllib
import typing
from pathlib import Path
from typing import Any

import msgspec

from pewterring.lab import schema

AT = re.compile(r"(.*?)(?: - at `\$\.?(.*)`)?$", re.DOTALL)


def load(path: str | Path, sets: typing.Sequence[str] = ()) -> schema.Scenario:
    """Reads a scenario; `sets` are changes to it, KEY=VALUE with a dotted key and a TOML value.

    Raises ScenarioError.
    """
    try:
        tree = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise schema.ScenarioError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise schema.ScenarioError(f"{path}: not TOML: {error}") from error
    for change in sets:
        put(tree, change)
    return read(tree, str(path))


def read(tree: dict[str, Any], where: str = "scenario") -> schema.Scenario:
    """Checks a scenario given as a tree; `where` begins the message of a ScenarioError."""
    version = tree.get("version")
    if version != schema.VERSION:
        said = "is missing" if version is None else f"cannot be {version!r}"
        raise schema.ScenarioError(f"{where}: version {said}; this program reads version {schema.VERSION}")
    try:
        scenario = msgspec.convert(tree, schema.Scenario)
    except msgspec.ValidationError as error:
        raise schema.ScenarioError(f"{where}: {explain(str(error), tree)}") from error
    if fault := schema.inconsistency(scenario):
        raise schema.ScenarioError(f"{where}: {fault}")
    return scenario


def explain(message: str, tree: dict[str, Any]) -> str:
    """msgspec's word on what is wrong, with the key first and what is allowed there."""
    found = AT.match(message)
    what, path = (found.group(1), found.group(2) or "") if found else (message, "")
    path = re.sub(r"\[(\d+)\]", r".\1", path).strip(".")
    if unknown := re.search(r"unknown field `(.*)`", what):
        name = unknown.group(1)
        allowed = fields_at(path, tree)
        near = difflib.get_close_matches(name, allowed, 1)
        hint = f"; did you mean {near[0]}?" if near else f"; there are {', '.join(allowed)}"
        return f"{path + '.' if path else ''}{name}: not known{hint}"
    if path.startswith("faults.") and (path.endswith(".kind") or "`kind`" in what):
        kinds = sorted(str(f.__struct_config__.tag) for f in schema.FAULTS)
        return f"{path}: {what}; there are {', '.join(kinds)}"
    return f"{path or 'scenario'}: {what}"


def fields_at(path: str, tree: dict[str, Any]) -> list[str]:
    """The names of the fields that are allowed at a dotted path."""
    kind: Any = schema.Scenario
    here: Any = tree
    for step in path.split(".") if path else ():
        if step.isdigit():
            here = here[int(step)] if isinstance(here, list) and int(step) < len(here) else {}
            if kind is schema.Fault:
                tags = {f.__struct_config__.tag: f for f in schema.FAULTS}
                kind = tags.get(here.get("kind") if isinstance(here, dict) else None, schema.BaseFault)
            continue
        hints = typing.get_type_hints(kind)
        kind = hints.get(step, schema.Scenario)
        if typing.get_origin(kind) is tuple:
            kind = typing.get_args(kind)[0]
        here = here.get(step, {}) if isinstance(here, dict) else {}
    names = list(getattr(kind, "__struct_fields__", ()))
    return sorted(names + (["kind"] if isinstance(kind, type) and issubclass(kind, schema.BaseFault) else []))


def put(tree: dict[str, Any], change: str) -> None:
    """One KEY=VALUE: the key dotted, with numbers into lists; the value as TOML, or else a text."""
    key, equals, text = change.partition("=")
    if not equals or not key:
        raise schema.ScenarioError(f"--set {change}: not KEY=VALUE")
    try:
        value = tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        value = text
    steps, here = key.strip().split("."), tree
    try:
        for step in steps[:-1]:
            here = here[int(step)] if isinstance(here, list) else here.setdefault(step, {})
        here[int(steps[-1]) if isinstance(here, list) else steps[-1]] = value
    except (ValueError, IndexError, TypeError, AttributeError) as error:
        raise schema.ScenarioError(f"--set {key}: there is no such place") from error
