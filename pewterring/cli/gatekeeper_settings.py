"""A gatekeeper's configuration: its effective values, its unknown keys and its JSON Schema.

Names, types and defaults are not duplicated here: the reader of settings is run on fields that record
each value it reads.
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
# Top-level keys of the file: type, environment variable used if the key is missing, default, description.
TOP_LEVEL_KEYS: dict[str, tuple[str, str, object, str]] = {
    "name": ("string", NAME, "", "the gatekeeper's name"),
    "listen": ("string", LISTEN, None, "HOST:PORT where clients connect"),
    "discovery": ("string", DISCOVERY, None, "HOST:PORT of the agent that has the list of workers"),
    "seed": ("string", "", 0, "hexadecimal, for random numbers"),
    "limits.cores": ("number", "", 1.0, "share of a processor core given by the platform; not used"),
    "limits.memory_mb": (
        "integer",
        "",
        192,
        "memory in MiB; an eighth each for incomplete responses and incomplete requests",
    ),
    "limits.sockets": ("integer", "", 1024, "file descriptors"),
    "peer_listen": ("string", "", None, "HOST:PORT for the peers' datagrams"),
    "peers": (
        "array",
        "",
        [],
        "HOST:PORT of each gatekeeper of the fleet, including this one, ordered by number",
    ),
    "peers_all": ("string", "", None, "HOST:PORT that reaches every peer"),
    "counter": ("string", "", None, "HOST:PORT of the counter service; not used"),
    "known": ("object", "", None, "the last known list of workers, in the format of discovery"),
    "settings": ("object", "", {}, "classes, plans, rules and limits"),
}


@dataclass(frozen=True, slots=True)
class RecordedRead:
    """One value that the reader of settings has read."""

    kind: str
    value: object
    given: bool
    required: bool
    choices: tuple[str, ...] = ()


class RecordingFields(Fields):
    """Fields that record each read. Each method returns the same value as that of `Fields`."""

    def __init__(self, values: Mapping[str, str]) -> None:
        super().__init__("settings", values)
        self.reads: dict[str, RecordedRead] = {}

    def record(
        self, name: str, kind: str, value: Value, default: object, choices: tuple[str, ...] = ()
    ) -> Value:
        """Records a read and returns its value."""
        self.reads[name] = RecordedRead(kind, value, name in self.values, default is None, choices)
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Reads a string."""
        return self.record(name, "string", super().text(name, default), default)

    def whole(self, name: str, default: int | None = None) -> int:
        """Reads an integer."""
        return self.record(name, "integer", super().whole(name, default), default)

    def number(
        self, name: str, default: float | None = None, least: float = -math.inf, most: float = math.inf
    ) -> float:
        """Reads a number between `least` and `most`."""
        return self.record(name, "number", super().number(name, default, least, most), default)

    def seconds(self, name: str, default: float | None = None) -> float:
        """Reads a duration, in nanoseconds in the file, and returns seconds."""
        return self.record(name, "nanoseconds", super().seconds(name, default), default)

    def flag(self, name: str, default: bool | None = None) -> bool:
        """Reads a boolean."""
        return self.record(name, "boolean", super().flag(name, default), default)

    def word(self, name: str, words: dict[str, Value], default: str | None = None) -> Value:
        """Reads one of the keys of `words` and returns its value."""
        found = super().word(name, words, default)
        self.record(name, "word", self.values.get(name, default), default, tuple(words))
        return found


def record_reads(tree: object) -> RecordingFields:
    """Runs the reader of settings on `tree`; returns the fields with all recorded reads.

    Raises:
        ConfigError: The settings are invalid.
    """
    if not isinstance(tree, dict):
        raise ConfigError("settings: not an object")
    fields = RecordingFields(dict(flatten(tree)))
    try:
        read_all(fields)
    except ValueError as error:
        raise ConfigError(str(error)) from error
    return fields


def read_tree(path: str | None) -> tuple[str, dict[str, Any]]:
    """Returns the path and the decoded file, after `load` has validated it."""
    load(path)
    path = path or os.environ[CONFIG]
    tree = orjson.loads(Path(path).read_bytes())
    assert isinstance(tree, dict)
    return path, tree


def present_keys(tree: dict[str, Any]) -> Iterator[str]:
    """Yields the top-level keys of a configuration, and the keys of `limits` as `limits.NAME`."""
    for key, value in tree.items():
        if key == "limits" and isinstance(value, dict):
            yield from (f"limits.{name}" for name in value)
        else:
            yield key


def find_unknown_keys(tree: dict[str, Any]) -> tuple[list[str], list[str]]:
    """Returns messages for rejected keys, and unknown settings that may belong to another program."""
    rejected, unused = [], []
    for key in present_keys(tree):
        if key not in TOP_LEVEL_KEYS:
            suggestions = difflib.get_close_matches(key, TOP_LEVEL_KEYS, 1, 0.5)
            rejected.append(
                f"{key}: not known" + (f"; did you mean {suggestions[0]}?" if suggestions else "")
            )
    fields = record_reads(tree.get("settings") or {})
    misspelled = slips(fields, fields.reads)
    rejected += [
        f"settings.{key}: not known; did you mean {suggestion}?" for key, suggestion in misspelled.items()
    ]
    unused += [
        f"settings.{key}" for key in fields.values if key not in fields.reads and key not in misspelled
    ]
    return rejected, unused


def effective_values(tree: dict[str, Any], env: Mapping[str, str]) -> list[tuple[str, object, str]]:
    """Returns each effective value with its origin: file, environment variable or default."""
    rows: list[tuple[str, object, str]] = []
    for key, (_, variable, default, _) in TOP_LEVEL_KEYS.items():
        if key in ("settings", "known"):
            continue
        file_value: Any = tree
        for key_part in key.split("."):
            file_value = (file_value or {}).get(key_part)
        if file_value not in (None, "", []):
            rows.append((key, file_value, "file"))
        elif variable and env.get(variable):
            rows.append((key, env[variable], variable))
        else:
            rows.append((key, default, "default"))
    known = tree.get("known") or {}
    rows.append(("known", f"{len(known.get('hosts', []))} workers", "file" if known else "default"))
    for name, read in record_reads(tree.get("settings") or {}).reads.items():
        value = (
            f"{read.value:g} s"
            if isinstance(read.value, float) and read.kind == "nanoseconds"
            else read.value
        )
        rows.append((f"settings.{name}", value, "file" if read.given else "default"))
    return rows


SCHEMA_BY_KIND: dict[str, dict[str, object]] = {
    "string": {"type": "string"},
    "integer": {"type": "integer"},
    "number": {"type": "number"},
    "boolean": {"type": "boolean"},
    "nanoseconds": {"type": "integer", "minimum": 0, "description": "nanoseconds"},
    "word": {"type": "string"},
    "array": {"type": "array", "items": {"type": "string"}},
    "object": {"type": "object"},
}
# Has one class and one plan, so that the reader reads every setting of classes and plans.
SAMPLE_SETTINGS: dict[str, Any] = {
    "me": 0, "fleet_size": 1,
    "profiles": [{"name": "c", "objective": 1, "deadline": 1, "effect": "token", "repeat_window": 1}],
    "tiers_of_service": [{"name": "p"}],
}  # fmt: skip


def check(path: str | None) -> Findings:
    """Returns the problems of a gatekeeper's configuration.

    Raises:
        ConfigError: The configuration cannot be read.
    """
    config_path, tree = read_tree(path)
    rejected, unused = find_unknown_keys(tree)
    return Findings(
        config_path, rejected, f"{len(unused)} settings that a gatekeeper has no use for" if unused else ""
    )


def show(path: str | None) -> list[tuple[str, object, str]]:
    """Returns each effective value with its origin."""
    return effective_values(read_tree(path)[1], os.environ)


def json_schema() -> dict[str, Any]:
    """Returns the JSON Schema of the configuration."""
    root: dict[str, Any] = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "pewterring configuration",
        "type": "object",
        "properties": {},
        "required": ["settings"],
    }
    for key, (kind, variable, _, summary) in TOP_LEVEL_KEYS.items():
        description = f"{summary}; {variable} is used if it is missing" if variable else summary
        insert_leaf_schema(root, key.split("."), {**SCHEMA_BY_KIND[kind], "description": description}, False)
    root["properties"]["seed"] = {"type": ["string", "integer"], "description": TOP_LEVEL_KEYS["seed"][3]}
    settings = root["properties"]["settings"]
    for name, read in record_reads(SAMPLE_SETTINGS).reads.items():
        if name.endswith(".count"):
            continue
        leaf = dict(SCHEMA_BY_KIND[read.kind])
        if read.choices:
            leaf["enum"] = list(read.choices)
        if not read.required and read.kind != "nanoseconds":
            leaf["default"] = read.value
        insert_leaf_schema(settings, name.split("."), leaf, read.required)
    return root


def insert_leaf_schema(
    parent: dict[str, Any], key_path: list[str], leaf: dict[str, Any], required: bool
) -> None:
    """Inserts a leaf into a schema, creating the objects and arrays on its path."""
    key_part, *remaining_path = key_path
    properties = parent.setdefault("properties", {})
    if not remaining_path:
        properties[key_part] = leaf
        if required:
            parent.setdefault("required", []).append(key_part)
        return
    if remaining_path[0].isdigit():
        inner = properties.setdefault(key_part, {"type": "array", "items": {"type": "object"}})["items"]
        insert_leaf_schema(inner, remaining_path[1:], leaf, required)
    else:
        insert_leaf_schema(
            properties.setdefault(key_part, {"type": "object"}), remaining_path, leaf, required
        )
