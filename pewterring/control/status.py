"""The status of the tier as control has committed it, for the operator's `cluster status`."""

import msgspec

from pewterring.control.snapshot import Decommissioning
from pewterring.control.state import ControlState
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord


class TierStatus(msgspec.Struct, frozen=True):
    """The committed tables, as JSON."""

    version: int  # of the configuration; 0: none yet
    nodes: tuple[NodeRecord, ...]
    workers: tuple[WorkerRecord, ...]
    placements: tuple[PlacementRecord, ...]
    decommissionings: tuple[Decommissioning, ...] = msgspec.field(name="retirements")  # the wire's name


def encode_status(state: ControlState) -> bytes:
    """The tables of a state that is current, that is, read after a read barrier."""
    status = TierStatus(
        version=state.version,
        nodes=tuple(state.nodes.values()),
        workers=tuple(state.workers.values()),
        placements=tuple(state.placements.values()),
        decommissionings=tuple(state.decommissionings.values()),
    )
    return msgspec.json.encode(status)
