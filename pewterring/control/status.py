"""The committed status of the tier, for the operator's command `cluster status`."""

import msgspec

from pewterring.control.snapshot import Decommissioning
from pewterring.control.state import ControlState
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord


class TierStatus(msgspec.Struct, frozen=True):
    """The committed tables, as JSON."""

    version: int  # of the current configuration; 0 before the first one
    nodes: tuple[NodeRecord, ...]
    workers: tuple[WorkerRecord, ...]
    placements: tuple[PlacementRecord, ...]
    decommissionings: tuple[Decommissioning, ...] = msgspec.field(name="retirements")  # the wire's name


def encode_status(state: ControlState) -> bytes:
    """Encodes the tables of `state` as JSON. The caller must have waited for a read barrier."""
    status = TierStatus(
        version=state.version,
        nodes=tuple(state.nodes.values()),
        workers=tuple(state.workers.values()),
        placements=tuple(state.placements.values()),
        decommissionings=tuple(state.decommissionings.values()),
    )
    return msgspec.json.encode(status)
