"""Checks and shows settings files of the serving tier's processes, and generates their JSON Schema."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from pewterring.cli.findings import Findings, nearest_key, unknown_key_problem
from pewterring.node.errors import SettingsError
from pewterring.node.keys import REQUIRED_BY
from pewterring.node.settings import SettingsReport, examine_settings
from pewterring.node.settings_file import read_text
from pewterring.node.value_reader import SettingRead

UNITS = {"_ms": "milliseconds", "_s": "seconds", "_mb": "MiB", "_fds": "descriptors", "cpu_share": "cores"}
DESCRIPTIONS = {
    "node_id": "name of this process in the tables of control",
    "ip": "address of this machine",
    "zone": "zone of this machine",
    "region": "region of this machine",
    "listen_addrs.front": "IP:PORT where clients connect; a gateway needs it",
    "listen_addrs.ready": "IP:PORT of readiness and metrics; a gateway needs it",
    "listen_addrs.control": "IP:PORT for calls of the operator and workers; control needs it",
    "ephemeral_ports": "FIRST,LAST; processes of the tier communicate on the first, by TCP and UDP",
    "seed_nodes": "IP:PORT,... of some control machines; the first voters at the first start of the tier",
    "bootstrap": "true only at the first start of the whole tier, with empty disks",
    "data_dir": "folder for the log and snapshots; control and store need it",
    "cluster_name": "processes communicate only with those of the same cluster name; optional",
    "heartbeat_ms": "period of workers' heartbeats",
    "fault_tolerance.machines": "f: machines with a disk that may be lost at once; 2f + 1 store each log",
    "limits.memory_mb": "memory of the process",
    "limits.max_fds": "file descriptors of the process",
    "limits.cpu_share": "processor time of the process",
    "limits.disk_mb": "disk space for data_dir; 0: unspecified",
    "limits.copy_mb_per_s": "MB of state per second copied to each of f new stores; 0: unspecified",
    "batch.warm_learners": "learners that replicate a partition besides its voters; f by default",
    "bounds.quota_overshoot": "fraction by which pending tokens may exceed a quota",
}
TYPES: Mapping[str, Mapping[str, object]] = {
    "text": {"type": "string"},
    "number": {"type": "number", "minimum": 0},
    "flag": {"type": "boolean"},
    "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "addresses": {"type": "string", "pattern": "^([0-9.]+:[0-9]+(, *)?)*$"},
    "ports": {"type": "string", "pattern": "^[0-9]+,[0-9]+$"},
}


def check(path: Path, program: str = "") -> Findings:
    """Returns the problems of a settings file, including misspelled keys.

    Raises:
        SettingsError: The file cannot be read.
    """
    report = examine_settings(read_text(path), program)
    suggestions = {key: nearest_key(key, report.reads) for key in report.unknown}
    problems = [
        *report.problems,
        *(unknown_key_problem(key, suggestion) for key, suggestion in suggestions.items() if suggestion),
    ]
    unused = sum(not suggestion for suggestion in suggestions.values())
    return Findings(str(path), problems, f"{unused} keys that nothing here knows" if unused else "")


def show(path: Path) -> list[tuple[str, object, str]]:
    """Returns each effective value with its origin.

    Raises:
        SettingsError: The file cannot be read, or has invalid settings.
    """
    report = examine_settings(read_text(path))
    if report.problems:
        raise SettingsError(*report.problems)
    return [
        (key, _display_value(read.value), "file" if read.given else "default")
        for key, read in report.reads.items()
    ]


def json_schema() -> dict[str, Any]:
    """Returns the schema of the settings as one JSON object; in the file each value is text."""
    report = examine_settings("")
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "pewterring settings of a process of the serving tier: lines of KEY=VALUE",
        "type": "object",
        "properties": {key: _property(key, read) for key, read in report.reads.items()},
        "required": _required(report),
        "$comment": "; ".join(f"{program} needs {', '.join(keys)}" for program, keys in REQUIRED_BY.items()),
    }


def _required(report: SettingsReport) -> Sequence[str]:
    return [key for key, read in report.reads.items() if read.required]


def _property(key: str, read: SettingRead) -> dict[str, object]:
    unit = next((unit for suffix, unit in UNITS.items() if key.endswith(suffix)), "")
    phrases = [phrase for phrase in (DESCRIPTIONS.get(key, ""), unit and f"in {unit}") if phrase]
    schema = {**TYPES[read.kind], "description": ", ".join(phrases) or key}
    if not read.required and isinstance(read.value, int | float):
        schema["default"] = read.value
    return schema


def _display_value(value: object) -> object:
    if isinstance(value, tuple):
        return ",".join(str(item) for item in value)
    return value if isinstance(value, int | float) or value is None else str(value)
