"""The settings file of a process: lines of `a.b=value`, typed once.

Unknown keys are ignored. Missing or unreadable ones raise `SettingsError`, whose text names all of them.
"""

import math
import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import TypeVar

import javaproperties

from pewterring.node.keys import (
    CONTROL,
    DEFAULT_PATH,
    FRONT,
    LAST_PORT,
    READY,
    REQUIRED_BY,
    SETTINGS_VARIABLE,
    UNUSED_KEYS,
    UNUSED_PREFIXES,
)

T = TypeVar("T")


class SettingsError(Exception):
    """The settings cannot be used; the text says which keys and why."""

    def __init__(self, *problems: str) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class RequestLogMode(StrEnum):
    """Which late, refused and failed requests are logged: none, the first ones of each period, or all."""

    OFF = "off"
    THINNED = "thinned"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the rules, as the deployment states them. Seconds unless the name says otherwise."""

    contact_s: float = 3.0
    config_s: float = 2.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    catch_up_s: float = 5.0
    ack_s: float = 4.0
    status_s: float = 120.0
    cancel_s: float = 3.0
    quota_overshoot: float = 0.1


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process is told at its start."""

    node_id: str
    ip: str
    zone: str
    region: str
    front: Address | None  # clients
    ready: Address | None  # readiness
    control: Address | None  # operator and workers
    internal_port: int  # JSON lines over TCP, heartbeats over UDP
    seeds: tuple[Address, ...]  # `control` addresses of some control machines
    bootstrap: bool
    data_dir: Path | None
    heartbeat_s: float  # workers' period
    tolerated_machines: int
    memory_mb: int
    max_descriptors: int
    cpu_share: float
    disk_mb: int
    bounds: Bounds
    cluster: str = ""  # processes talk only with those that are told the same name
    copy_mb_per_s: float = 0.0  # of a store's state, to each of f new members at once; 0: not told
    request_log: RequestLogMode = RequestLogMode.OFF  # of late, refused and failed requests at gateways


@dataclass(frozen=True, slots=True)
class SettingRead:
    """One key that was asked for, and what was found."""

    kind: str  # "text", "number", "flag", "address", "addresses" or "ports"
    value: object
    given: bool
    required: bool


class _Reader:
    """Typed access to the raw keys. Notes what is asked for, and problems instead of raising them."""

    def __init__(self, raw: Mapping[str, str]) -> None:
        self.raw = raw
        self.reads: dict[str, SettingRead] = {}
        self.problems: list[str] = []

    def text(self, key: str, default: str | None = None) -> str:
        value = self._given(key, default is None)
        return self._note(key, "text", value or default or "", default is None)

    def number(self, key: str, default: float, least: float = 0.0) -> float:
        value = self._given(key, False)
        number = default
        if value:
            try:
                number = float(value)
            except ValueError:
                self.problems.append(f"{key} is not a number: {value!r}")
            if not math.isfinite(number) or number < least:
                self.problems.append(f"{key} must be {least:g} or more: {value!r}")
                number = default
        return self._note(key, "number", number, False)

    def flag(self, key: str) -> bool:
        value = self._given(key, False).lower()
        if value not in ("true", "false", ""):
            self.problems.append(f"{key} is neither true nor false: {value!r}")
        return self._note(key, "flag", value == "true", False)

    def choice(self, key: str, values: Sequence[str]) -> str:
        """One of `values`; the first where the key is not given."""
        value = self._given(key, False) or values[0]
        if value not in values:
            self.problems.append(f"{key} is none of {', '.join(values)}: {value!r}")
            value = values[0]
        return self._note(key, "text", str(value), False)

    def address(self, key: str) -> Address | None:
        value = self._given(key, False)
        return self._note(key, "address", self._address(key, value) if value else None, False)

    def addresses(self, key: str) -> tuple[Address, ...]:
        parts = [part.strip() for part in self._given(key, False).split(",")]
        found = [self._address(key, part) for part in parts if part]
        return self._note(key, "addresses", tuple(address for address in found if address), False)

    def first_port(self, key: str) -> int:
        """The first of two ports with a comma between them."""
        value = self._given(key, True)
        first = value.split(",")[0].strip()
        if value and not _is_port(first):
            self.problems.append(f"{key} is not a range of ports: {value!r}")
        return self._note(key, "ports", int(first) if _is_port(first) else 0, True)

    def _given(self, key: str, required: bool) -> str:
        value = self.raw.get(key, "").strip()
        if required and not value:
            self.problems.append(f"{key} is missing")
        return value

    def _address(self, key: str, value: str) -> Address | None:
        try:
            return parse_address(key, value)
        except SettingsError as error:
            self.problems.extend(error.problems)
            return None

    def _note(self, key: str, kind: str, value: T, required: bool) -> T:
        self.reads[key] = SettingRead(kind, value, bool(self.raw.get(key, "").strip()), required)
        return value


def parse_address(key: str, value: str) -> Address:
    """Reads `IP:port`."""
    ip, _, port = value.rpartition(":")
    if not ip or not _is_port(port):
        raise SettingsError(f"{key} is not an address: {value!r}")
    return Address(ip, int(port))


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdecimal() and 0 < int(text) <= LAST_PORT


def _bounds(reader: _Reader) -> Bounds:
    usual = Bounds()
    return Bounds(
        contact_s=reader.number("bounds.contact_ms", usual.contact_s * 1000) / 1000,
        config_s=reader.number("bounds.config_ms", usual.config_s * 1000) / 1000,
        drain_s=reader.number("bounds.drain_ms", usual.drain_s * 1000) / 1000,
        grace_s=reader.number("bounds.grace_s", usual.grace_s),
        catch_up_s=reader.number("bounds.catch_up_s", usual.catch_up_s),
        ack_s=reader.number("bounds.ack_ms", usual.ack_s * 1000) / 1000,
        status_s=reader.number("bounds.status_s", usual.status_s),
        cancel_s=reader.number("bounds.cancel_ms", usual.cancel_s * 1000) / 1000,
        quota_overshoot=reader.number("bounds.quota_overshoot", usual.quota_overshoot),
    )


def _node_settings(reader: _Reader) -> NodeSettings:
    data_dir = reader.text("data_dir", "")
    return NodeSettings(
        node_id=reader.text("node_id"),
        ip=reader.text("ip"),
        zone=reader.text("zone"),
        region=reader.text("region", ""),
        front=reader.address(FRONT),
        ready=reader.address(READY),
        control=reader.address(CONTROL),
        internal_port=reader.first_port("ephemeral_ports"),
        seeds=reader.addresses("seed_nodes"),
        bootstrap=reader.flag("bootstrap"),
        data_dir=Path(data_dir) if data_dir else None,
        heartbeat_s=reader.number("heartbeat_ms", 1000, least=1) / 1000,
        tolerated_machines=int(reader.number("fault_tolerance.machines", 1)),
        memory_mb=int(reader.number("limits.memory_mb", 256)),
        max_descriptors=int(reader.number("limits.max_fds", 1024)),
        cpu_share=reader.number("limits.cpu_share", 1.0),
        disk_mb=int(reader.number("limits.disk_mb", 0)),
        bounds=_bounds(reader),
        cluster=reader.text("cluster_name", ""),
        copy_mb_per_s=reader.number("limits.copy_mb_per_s", 0.0),
        request_log=RequestLogMode(reader.choice("log.requests", tuple(RequestLogMode))),
    )


@dataclass(frozen=True, slots=True)
class SettingsReport:
    """Settings, and what else was seen while they were read."""

    settings: NodeSettings
    reads: Mapping[str, SettingRead]  # by key
    unknown: tuple[str, ...]  # keys that nothing here reads and no page names
    problems: tuple[str, ...]  # empty where the settings can be used


def examine_settings(text: str, program: str = "") -> SettingsReport:
    """Reads the file's text as far as it goes. `program` adds the keys that it cannot do without."""
    try:
        raw = javaproperties.loads(text)
    except ValueError as error:
        raise SettingsError(f"not lines of a.b=value: {error}") from error
    reader = _Reader(raw)
    settings = _node_settings(reader)
    missing = [key for key in REQUIRED_BY.get(program, ()) if not raw.get(key, "").strip()]
    reader.problems += [f"{key} is missing: {program} needs it" for key in missing]
    unknown = (key for key in raw if key not in reader.reads and not _is_named(key))
    return SettingsReport(settings, reader.reads, tuple(sorted(unknown)), tuple(reader.problems))


def _is_named(key: str) -> bool:
    return key in UNUSED_KEYS or key.startswith(UNUSED_PREFIXES)


def read_report(text: str, program: str = "") -> SettingsReport:
    """Reads the file's text; raises `SettingsError` with all problems."""
    report = examine_settings(text, program)
    if report.problems:
        raise SettingsError(*report.problems)
    return report


def read_settings(text: str) -> NodeSettings:
    """Makes settings from the file's text."""
    return read_report(text).settings


def settings_path(given: str | None = None) -> Path:
    """The file: the one given, else the one that `PEWTERRING_CONFIG` names, else the usual one."""
    return Path(given or os.environ.get(SETTINGS_VARIABLE) or DEFAULT_PATH)


def load_settings() -> NodeSettings:
    """Reads the file that `PEWTERRING_CONFIG` names."""
    return read_settings(read_text(settings_path()))


def read_text(path: Path) -> str:
    """The file's text, or `SettingsError`."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
