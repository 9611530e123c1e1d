"""A gatekeeper's configuration: what it comes to, what in it is unknown, and its JSON Schema.

The names, kinds and defaults are not written down a second time: the one reader of settings is run over
fields that note what it asks for.
"""

import difflib
import math
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import orjson

from pewterring.cli.findings import Findings
from pewterring.standalone.config import CONFIG, DISCOVERY, LISTEN, NAME, ConfigError, load
from pewterring.standalone.settings import Fields, flatten, read_all, slips

Value = TypeVar("Value")
# The file's own keys: kind, the environment's variable that stands in, the default, what it is.
TOP: dict[str, tuple[str, str, object, str]] = {
    "name": ("string", NAME, "", "the gatekeeper's name"),
    "listen": ("string", LISTEN, None, "HOST:PORT where clients connect"),
    "discovery": ("string", DISCOVERY, None, "HOST:PORT of the agent that has the list of workers"),
    "seed": ("string", "", 0, "hexadecimal, for random numbers"),
    "limits.cores": ("number", "", 1.0, "the share of a core that the platform gives; not used"),
    "limits.memory_mb": (
        "integer",
        "",
        192,
        "memory in MiB; an eighth each for answers and requests not whole yet",
    ),
    "limits.sockets": ("integer", "", 1024, "file descriptors"),
    "peer_listen": ("string", "", None, "HOST:PORT for the peers' datagrams"),
    "peers": ("array", "", [], "HOST:PORT of each gatekeeper of the fleet, the own one included, by number"),
    "peers_all": ("string", "", None, "HOST:PORT that reaches every peer"),
    "counter": ("string", "", None, "HOST:PORT of the counter service; not used"),
    "known": ("object", "", None, "the list of workers as last known, in discovery's form"),
    "settings": ("object", "", {}, "classes, plans, rules and limits"),
}


@dataclass(frozen=True, slots=True)
class Read:
    """One value that the reader asked for."""

    kind: str
    value: object
    given: bool
    required: bool
    choices: tuple[str, ...] = ()


class RecordingFields(Fields):
    """Fields that record what is read of them. Each method reads as the one of `Fields` does."""

    def __init__(self, values: Mapping[str, str]) -> None:
        super().__init__("settings", values)
        self.seen: dict[str, Read] = {}

    def record(
        self, name: str, kind: str, value: Value, default: object, choices: tuple[str, ...] = ()
    ) -> Value:
        """Records what was read; returns the value."""
        self.seen[name] = Read(kind, value, name in self.values, default is None, choices)
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """A text."""
        return self.record(name, "string", super().text(name, default), default)

    def whole(self, name: str, default: int | None = None) -> int:
        """An integer."""
        return self.record(name, "integer", super().whole(name, default), default)

    def number(
        self, name: str, default: float | None = None, least: float = -math.inf, most: float = math.inf
    ) -> float:
        """A number between `least` and `most`."""
        return self.record(name, "number", super().number(name, default, least, most), default)

    def seconds(self, name: str, default: float | None = None) -> float:
        """Seconds; the file has nanoseconds."""
        return self.record(name, "nanoseconds", super().seconds(name, default), default)

    def flag(self, name: str, default: bool | None = None) -> bool:
        """True or false."""
        return self.record(name, "boolean", super().flag(name, default), default)

    def word(self, name: str, words: dict[str, Value], default: str | None = None) -> Value:
        """What one of `words` stands for."""
        found = super().word(name, words, default)
        self.record(name, "word", self.values.get(name, default), default, tuple(words))
        return found


def noted(tree: object) -> RecordingFields:
    """What the reader of settings asks of them. Raises ConfigError."""
    if not isinstance(tree, dict):
        raise ConfigError("settings: not an object")
    fields = RecordingFields(dict(flatten(tree)))
    try:
        read_all(fields)
    except ValueError as error:
        raise ConfigError(str(error)) from error
    return fields


def read_tree(path: str | None) -> tuple[str, dict[str, Any]]:
    """The file as it is, once `load` has found that it can be used."""
    load(path)
    path = path or os.environ[CONFIG]
    tree = orjson.loads(Path(path).read_bytes())
    assert isinstance(tree, dict)
    return path, tree


def given_keys(tree: dict[str, Any]) -> Iterator[str]:
    """The keys of a configuration, those of `limits` with their path."""
    for key, value in tree.items():
        if key == "limits" and isinstance(value, dict):
            yield from (f"limits.{name}" for name in value)
        else:
            yield key


def unknown(tree: dict[str, Any]) -> tuple[list[str], list[str]]:
    """Keys that are refused, each with the nearest known one, and settings that are another program's."""
    refused, unused = [], []
    for key in given_keys(tree):
        if key not in TOP:
            near = difflib.get_close_matches(key, TOP, 1, 0.5)
            refused.append(f"{key}: not known" + (f"; did you mean {near[0]}?" if near else ""))
    fields = noted(tree.get("settings") or {})
    wrong = slips(fields, fields.seen)
    refused += [f"settings.{key}: not known; did you mean {meant}?" for key, meant in wrong.items()]
    unused += [f"settings.{key}" for key in fields.values if key not in fields.seen and key not in wrong]
    return refused, unused


def effective(tree: dict[str, Any], env: Mapping[str, str]) -> list[tuple[str, object, str]]:
    """Each value in force and where it came from: the file, a variable of the environment, or the default."""
    rows: list[tuple[str, object, str]] = []
    for key, (_, variable, default, _) in TOP.items():
        if key in ("settings", "known"):
            continue
        here: Any = tree
        for step in key.split("."):
            here = (here or {}).get(step)
        if here not in (None, "", []):
            rows.append((key, here, "file"))
        elif variable and env.get(variable):
            rows.append((key, env[variable], variable))
        else:
            rows.append((key, default, "default"))
    known = tree.get("known") or {}
    rows.append(("known", f"{len(known.get('hosts', []))} workers", "file" if known else "default"))
    for name, read in noted(tree.get("settings") or {}).seen.items():
        value = (
            f"{read.value:g} s"
            if isinstance(read.value, float) and read.kind == "nanoseconds"
            else read.value
        )
        rows.append((f"settings.{name}", value, "file" if read.given else "default"))
    return rows


KINDS: dict[str, dict[str, object]] = {
    "string": {"type": "string"},
    "integer": {"type": "integer"},
    "number": {"type": "number"},
    "boolean": {"type": "boolean"},
    "nanoseconds": {"type": "integer", "minimum": 0, "description": "nanoseconds"},
    "word": {"type": "string"},
    "array": {"type": "array", "items": {"type": "string"}},
    "object": {"type": "object"},
}
# One class and one plan, so that the reader asks for all that they may say.
SAMPLE: dict[str, Any] = {
    "me": 0, "fleet_size": 1,
    "profiles": [{"name": "c", "objective": 1, "deadline": 1, "effect": "token", "repeat_window": 1}],
    "tiers_of_service": [{"name": "p"}],
}  # fmt: skip


def check(path: str | None) -> Findings:
    """What is wrong with a gatekeeper's configuration. Raises ConfigError for what nobody can read."""
    where, tree = read_tree(path)
    refused, unused = unknown(tree)
    return Findings(
        where, refused, f"{len(unused)} settings that a gatekeeper has no use for" if unused else ""
    )


def show(path: str | None) -> list[tuple[str, object, str]]:
    """Each value in force and its origin."""
    return effective(read_tree(path)[1], os.environ)


def json_schema() -> dict[str, Any]:
    """A JSON Schema of the configuration."""
    root: dict[str, Any] = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "pewterring configuration",
        "type": "object",
        "properties": {},
        "required": ["settings"],
    }
    for key, (kind, variable, _, about) in TOP.items():
        description = f"{about}; {variable} stands in where it is missing" if variable else about
        insert_leaf(root, key.split("."), {**KINDS[kind], "description": description}, False)
    root["properties"]["seed"] = {"type": ["string", "integer"], "description": TOP["seed"][3]}
    settings = root["properties"]["settings"]
    for name, read in noted(SAMPLE).seen.items():
        if name.endswith(".count"):
            continue
        leaf = dict(KINDS[read.kind])
        if read.choices:
            leaf["enum"] = list(read.choices)
        if not read.required and read.kind != "nanoseconds":
            leaf["default"] = read.value
        insert_leaf(settings, name.split("."), leaf, read.required)
    return root


def insert_leaf(node: dict[str, Any], steps: list[str], leaf: dict[str, Any], required: bool) -> None:
    """Puts a leaf into a schema, with the objects and lists on its way."""
    step, *rest = steps
    properties = node.setdefault("properties", {})
    if not rest:
        properties[step] = leaf
        if required:
            node.setdefault("required", []).append(step)
        return
    if rest[0].isdigit():
        inner = properties.setdefault(step, {"type": "array", "items": {"type": "object"}})["items"]
        insert_leaf(inner, rest[1:], leaf, required)
    else:
        insert_leaf(properties.setdefault(step, {"type": "object"}), rest, leaf, required)
