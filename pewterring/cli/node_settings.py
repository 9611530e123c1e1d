"""Settings of the serving tier's processes: checked, shown, and as a JSON Schema."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from pewterring.cli.findings import Findings, nearest, unknown_key
from pewterring.node.errors import SettingsError
from pewterring.node.keys import REQUIRED_BY
from pewterring.node.settings import SettingsReport, examine_settings
from pewterring.node.settings_file import read_text
from pewterring.node.value_reader import SettingRead

UNITS = {"_ms": "milliseconds", "_s": "seconds", "_mb": "MiB", "_fds": "descriptors", "cpu_share": "cores"}
DESCRIPTIONS = {
    "node_id": "name of this process in the tables",
    "ip": "address of this machine",
    "zone": "zone of this machine",
    "region": "region of this machine",
    "listen_addrs.front": "IP:PORT where clients connect; a gateway needs it",
    "listen_addrs.ready": "IP:PORT of readiness and metrics; a gateway needs it",
    "listen_addrs.control": "IP:PORT of the operator's and workers' calls; control needs it",
    "ephemeral_ports": "FIRST,LAST; processes of the tier talk on the first, by TCP and UDP",
    "seed_nodes": "IP:PORT,... of some control machines; at the first start of all, its first voters",
    "bootstrap": "true only at the first start of the whole tier, with empty disks",
    "data_dir": "folder for the log and snapshots; control and store need it",
    "cluster_name": "processes of the tier talk only with those of the same name; may be left out",
    "heartbeat_ms": "period of workers' heartbeats",
    "fault_tolerance.machines": "f: how many machines with a disk may be lost at once; 2f + 1 hold each log",
    "limits.memory_mb": "memory of the process",
    "limits.max_fds": "file descriptors of the process",
    "limits.cpu_share": "processor time of the process",
    "limits.disk_mb": "room in data_dir; 0: not given",
    "limits.copy_mb_per_s": "MB of state a second that a store copies to each of f new ones; 0: not given",
    "batch.warm_learners": "stores that keep a copy of a partition beside its voters; f if not given",
    "bounds.quota_overshoot": "part by which waiting tokens may pass a quota",
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
    """What is wrong with a settings file, slips of keys included. Raises `SettingsError`."""
    report = examine_settings(read_text(path), program)
    slips = {key: nearest(key, report.reads) for key in report.unknown}
    problems = [*report.problems, *(unknown_key(key, meant) for key, meant in slips.items() if meant)]
    others = sum(not meant for meant in slips.values())
    return Findings(str(path), problems, f"{others} keys that nothing here knows" if others else "")


def show(path: Path) -> list[tuple[str, object, str]]:
    """Each value in force and its origin. Raises `SettingsError`."""
    report = examine_settings(read_text(path))
    if report.problems:
        raise SettingsError(*report.problems)
    return [
        (key, _shown(read.value), "file" if read.given else "default") for key, read in report.reads.items()
    ]


def json_schema() -> dict[str, Any]:
    """The schema of the settings as an object of its keys; each value stands in the file as text."""
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
    words = [word for word in (DESCRIPTIONS.get(key, ""), unit and f"in {unit}") if word]
    described = {**TYPES[read.kind], "description": ", ".join(words) or key}
    if not read.required and isinstance(read.value, int | float):
        described["default"] = read.value
    return described


def _shown(value: object) -> object:
    if isinstance(value, tuple):
        return ",".join(str(each) for each in value)
    return value if isinstance(value, int | float) or value is None else str(value)
