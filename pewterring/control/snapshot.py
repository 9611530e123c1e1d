"""Encodes and decodes snapshots of the control state: the complete state as one line of JSON.

A snapshot of a later software version is rejected rather than read incompletely, so that the members' states
cannot diverge.
"""

import msgspec

from pewterring.control.commands import DECODE_ERRORS
from pewterring.control.errors import InvalidSnapshotError
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord


class Decommissioning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A decommissioning of a store, running or `ended`. `member` is the store's name in replicated groups."""

    node_id: str
    member: str
    ended: bool = False


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All committed tables. `newest_forgotten_version` is the newest version whose digest was dropped."""

    version: int
    document: msgspec.Raw
    # Digests of accepted configurations by version, oldest first.
    accepted_digests: dict[int, str] = msgspec.field(name="taken")  # the wire's name
    workers: tuple[WorkerRecord, ...]
    departed: tuple[str, ...]  # worker ids, oldest first
    nodes: tuple[NodeRecord, ...]
    stores: tuple[NodeRecord, ...]
    placements: tuple[PlacementRecord, ...]
    decommissionings: tuple[Decommissioning, ...] = msgspec.field(name="retirements")  # the wire's name
    # Missing in snapshots of early software versions.
    newest_forgotten_version: int = msgspec.field(default=0, name="forgotten")  # the wire's name


_decoder = msgspec.json.Decoder(Snapshot)
_encoder = msgspec.json.Encoder()


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot as it is written to disk and sent to other members."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a snapshot.

    Raises:
        InvalidSnapshotError: The bytes are not a snapshot known to this version.
    """
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidSnapshotError(f"not a snapshot known to this version: {error}") from error
