"""What a node knows, as one immutable snapshot that is swapped whole."""

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

NOTHING: Mapping[str, WorkerRecord] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Tables:
    """Configuration, workers and nodes at one moment."""

    versions: TableVersions = field(default_factory=TableVersions)
    configuration: Configuration | None = None
    workers: Mapping[str, WorkerRecord] = field(default_factory=lambda: NOTHING)  # by id
    nodes: tuple[NodeRecord, ...] = ()
    placements: tuple[PlacementRecord, ...] = ()
    groups: tuple[GroupStatus, ...] = ()
    controls: tuple[str, ...] = ()  # IPs
