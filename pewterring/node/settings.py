"""Parses the settings file of a process, lines of `a.b=value`, into typed settings.

Unknown keys are ignored. Missing and invalid values raise one `SettingsError` that lists all of them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import javaproperties

from pewterring.durations import MILLISECONDS_PER_SECOND
from pewterring.node.address import Address
from pewterring.node.errors import SettingsError
from pewterring.node.keys import CONTROL, FRONT, READY, REQUIRED_BY, UNUSED_KEYS, UNUSED_PREFIXES
from pewterring.node.value_reader import SettingRead, ValueReader

DEFAULT_HEARTBEAT_MS = 1000  # heartbeat interval of workers


class RequestLogMode(StrEnum):
    """Which late, rejected and failed requests are logged: none, the first of each period, or all."""

    OFF = "off"
    THINNED = "thinned"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the service guarantees, as configured by the deployment (keys `bounds.*`)."""

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
    """The typed settings of one process."""

    node_id: str
    ip: str
    zone: str
    region: str
    front: Address | None  # listens for clients
    ready: Address | None  # listens for readiness checks and metrics scrapes
    control: Address | None  # listens for the operator and workers
    internal_port: int  # between processes: JSON lines over TCP, heartbeats over UDP
    seeds: tuple[Address, ...]  # `control` addresses of some of the control processes
    bootstrap: bool
    data_dir: Path | None
    heartbeat_s: float  # heartbeat interval of workers
    tolerated_machines: int  # f: how many machines with a disk may be lost at once
    memory_mb: int
    max_descriptors: int
    cpu_share: float
    disk_mb: int
    bounds: Bounds
    cluster: str = ""  # name; processes communicate only within the same cluster
    copy_mb_per_s: float = 0.0  # of a store's state, to each of f new members at once; 0: not set
    warm_learners: int = 1  # non-voting stores that replicate the state of a partition
    request_log: RequestLogMode = RequestLogMode.OFF  # gateways only


def _read_seconds(reader: ValueReader, key: str, default_s: float) -> float:
    """Returns in seconds a value that the file has in milliseconds."""
    return reader.number(key, default_s * MILLISECONDS_PER_SECOND) / MILLISECONDS_PER_SECOND


def _read_bounds(reader: ValueReader) -> Bounds:
    defaults = Bounds()
    return Bounds(
        contact_s=_read_seconds(reader, "bounds.contact_ms", defaults.contact_s),
        config_s=_read_seconds(reader, "bounds.config_ms", defaults.config_s),
        drain_s=_read_seconds(reader, "bounds.drain_ms", defaults.drain_s),
        grace_s=reader.number("bounds.grace_s", defaults.grace_s),
        catch_up_s=reader.number("bounds.catch_up_s", defaults.catch_up_s),
        ack_s=_read_seconds(reader, "bounds.ack_ms", defaults.ack_s),
        status_s=reader.number("bounds.status_s", defaults.status_s),
        cancel_s=_read_seconds(reader, "bounds.cancel_ms", defaults.cancel_s),
        quota_overshoot=reader.number("bounds.quota_overshoot", defaults.quota_overshoot),
    )


def _read_node_settings(reader: ValueReader) -> NodeSettings:
    data_dir = reader.text("data_dir")
    return NodeSettings(
        node_id=reader.required_text("node_id"),
        ip=reader.required_text("ip"),
        zone=reader.required_text("zone"),
        region=reader.text("region"),
        front=reader.address(FRONT),
        ready=reader.address(READY),
        control=reader.address(CONTROL),
        internal_port=reader.first_port("ephemeral_ports"),
        seeds=reader.addresses("seed_nodes"),
        bootstrap=reader.flag("bootstrap"),
        data_dir=Path(data_dir) if data_dir else None,
        heartbeat_s=reader.number("heartbeat_ms", DEFAULT_HEARTBEAT_MS, least=1) / MILLISECONDS_PER_SECOND,
        tolerated_machines=(tolerated_machines := int(reader.number("fault_tolerance.machines", 1))),
        memory_mb=int(reader.number("limits.memory_mb", 256)),
        max_descriptors=int(reader.number("limits.max_fds", 1024)),
        cpu_share=reader.number("limits.cpu_share", 1.0),
        disk_mb=int(reader.number("limits.disk_mb", 0)),
        bounds=_read_bounds(reader),
        cluster=reader.text("cluster_name"),
        copy_mb_per_s=reader.number("limits.copy_mb_per_s", 0.0),
        warm_learners=int(reader.number("batch.warm_learners", tolerated_machines)),
        request_log=RequestLogMode(reader.one_of("log.requests", tuple(RequestLogMode))),
    )


@dataclass(frozen=True, slots=True)
class SettingsReport:
    """Settings, with the values that were read, unknown keys and problems."""

    settings: NodeSettings
    reads: Mapping[str, SettingRead]  # by key
    unknown: tuple[str, ...]  # keys that are neither read nor in `UNUSED_KEYS` and `UNUSED_PREFIXES`
    problems: tuple[str, ...]  # empty if the settings are usable


def examine_settings(text: str, program: str = "") -> SettingsReport:
    """Parses the text of a settings file and collects problems in the report.

    `program` is a key of `REQUIRED_BY`; the keys that this program requires are reported if missing.

    Raises:
        SettingsError: The text is not a settings file at all.
    """
    try:
        raw = javaproperties.loads(text)
    except ValueError as error:
        raise SettingsError(f"not lines of a.b=value: {error}") from error
    reader = ValueReader(raw)
    settings = _read_node_settings(reader)
    missing = [key for key in REQUIRED_BY.get(program, ()) if not reader.is_given(key)]
    reader.problems += [f"{key} is missing: {program} needs it" for key in missing]
    unknown = (key for key in raw if key not in reader.reads and not _is_documented(key))
    return SettingsReport(settings, reader.reads, tuple(sorted(unknown)), tuple(reader.problems))


def _is_documented(key: str) -> bool:
    return key in UNUSED_KEYS or key.startswith(UNUSED_PREFIXES)


def read_report(text: str, program: str = "") -> SettingsReport:
    """Parses the text of a settings file, like `examine_settings`, and raises if it has problems.

    Raises:
        SettingsError: The settings cannot be used; the error has all problems.
    """
    report = examine_settings(text, program)
    if report.problems:
        raise SettingsError(*report.problems)
    return report
