"""What control tells of the whole tier to an operator who asks."""

import msgspec

from pewterring.control.state import ControlState, Retirement
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord


class TierStatus(msgspec.Struct, frozen=True):
    """The committed tables, as JSON."""

    version: int  # of the configuration; 0: none yet
    nodes: tuple[NodeRecord, ...]
    workers: tuple[WorkerRecord, ...]
    placements: tuple[PlacementRecord, ...]
    retirements: tuple[Retirement, ...]


def status_of(state: ControlState) -> bytes:
    """The tables of a state that is current."""
    status = TierStatus(
        version=state.version,
        nodes=tuple(state.nodes.values()),
        workers=tuple(state.workers.values()),
        placements=tuple(state.placements.values()),
        retirements=tuple(state.retirements.values()),
    )
    return msgspec.json.encode(status)
