"""The settings file of a process: `a.b=value` lines (DEPLOY, "Settings of a process"), typed once.

Unknown keys are ignored. A missing or unreadable key raises `SettingsError`, whose text names the key.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import javaproperties

SETTINGS_VARIABLE = "PEWTERRING_CONFIG"  # environment variable that names the file
DEFAULT_PATH = "/etc/pewterring/node.conf"


class SettingsError(Exception):
    """The settings file cannot be used; the text says which key and why."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


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


class _Reader:
    """Typed access to the raw keys; errors name the key."""

    def __init__(self, raw: Mapping[str, str]) -> None:
        self.raw = raw

    def text(self, key: str, default: str | None = None) -> str:
        value = self.raw.get(key, "").strip()
        if value:
            return value
        if default is None:
            raise SettingsError(f"{key} is missing")
        return default

    def number(self, key: str, default: float | None = None) -> float:
        value = self.text(key, None if default is None else str(default))
        try:
            return float(value)
        except ValueError:
            raise SettingsError(f"{key} is not a number: {value!r}") from None

    def flag(self, key: str) -> bool:
        value = self.text(key, "false").lower()
        if value not in ("true", "false"):
            raise SettingsError(f"{key} is neither true nor false: {value!r}")
        return value == "true"

    def address(self, key: str) -> Address | None:
        value = self.text(key, "")
        return parse_address(key, value) if value else None

    def addresses(self, key: str) -> tuple[Address, ...]:
        parts = (part.strip() for part in self.text(key, "").split(","))
        return tuple(parse_address(key, part) for part in parts if part)


def parse_address(key: str, value: str) -> Address:
    """Reads `IP:port`."""
    ip, colon, port = value.rpartition(":")
    if not colon or not ip or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f"{key} is not an address: {value!r}")
    return Address(ip, int(port))


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


def read_settings(text: str) -> NodeSettings:
    """Makes settings from the file's text."""
    reader = _Reader(javaproperties.loads(text))
    first_port = reader.text("ephemeral_ports").split(",")[0].strip()
    if not first_port.isdecimal():
        raise SettingsError(f"ephemeral_ports is not a range of ports: {first_port!r}")
    data_dir = reader.text("data_dir", "")
    return NodeSettings(
        node_id=reader.text("node_id"),
        ip=reader.text("ip"),
        zone=reader.text("zone"),
        region=reader.text("region", ""),
        front=reader.address("listen_addrs.front"),
        ready=reader.address("listen_addrs.ready"),
        control=reader.address("listen_addrs.control"),
        internal_port=int(first_port),
        seeds=reader.addresses("seed_nodes"),
        bootstrap=reader.flag("bootstrap"),
        data_dir=Path(data_dir) if data_dir else None,
        heartbeat_s=reader.number("heartbeat_ms", 1000) / 1000,
        tolerated_machines=int(reader.number("fault_tolerance.machines", 1)),
        memory_mb=int(reader.number("limits.memory_mb", 256)),
        max_descriptors=int(reader.number("limits.max_fds", 1024)),
        cpu_share=reader.number("limits.cpu_share", 1.0),
        disk_mb=int(reader.number("limits.disk_mb", 0)),
        bounds=_bounds(reader),
    )


def load_settings() -> NodeSettings:
    """Reads the file that `PEWTERRING_CONFIG` names."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    return read_settings(text)
