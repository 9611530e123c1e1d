"""The tables of a node: its view of the serving tier, as one immutable object."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from pewterring.configuration.model import Configuration
from pewterring.distribution.messages import (
    GroupStatus,
    NodeRecord,
    PlacementRecord,
    TableVersions,
    WorkerRecord,
)

NO_WORKERS: Mapping[str, WorkerRecord] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Tables:
    """The configuration, workers, nodes and batch groups at one time; empty before the first session."""

    versions: TableVersions = field(default_factory=TableVersions)
    configuration: Configuration | None = None
    workers: Mapping[str, WorkerRecord] = field(default_factory=lambda: NO_WORKERS)  # by id
    nodes: tuple[NodeRecord, ...] = ()
    placements: tuple[PlacementRecord, ...] = ()
    groups: tuple[GroupStatus, ...] = ()
    controls: tuple[str, ...] = ()  # IPs of the control machines
