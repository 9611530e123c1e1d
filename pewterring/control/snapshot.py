"""The bytes of a snapshot of the control state: all of it as one line of JSON.

Bytes of a later version are refused rather than read in part, so that members cannot diverge.
"""

import msgspec

from pewterring.control.commands import UNDECODABLE
from pewterring.control.errors import InvalidSnapshotError
from pewterring.distribution.messages import NodeRecord, PlacementRecord, WorkerRecord


class Decommissioning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A store that is to be emptied, or has been (`ended`). `member` is its name in the replicated groups."""

    node_id: str
    member: str
    ended: bool = False


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that is committed. `newest_forgotten_version` is that of the newest digest no longer kept."""

    version: int
    document: msgspec.Raw
    # Digests by version, oldest first.
    accepted_digests: dict[int, str] = msgspec.field(name="taken")  # the wire's name
    workers: tuple[WorkerRecord, ...]
    departed: tuple[str, ...]  # worker ids, oldest first
    nodes: tuple[NodeRecord, ...]
    stores: tuple[NodeRecord, ...]
    placements: tuple[PlacementRecord, ...]
    decommissionings: tuple[Decommissioning, ...] = msgspec.field(name="retirements")  # the wire's name
    # Snapshots of the first versions lack it.
    newest_forgotten_version: int = msgspec.field(default=0, name="forgotten")  # the wire's name


_decoder = msgspec.json.Decoder(Snapshot)
_encoder = msgspec.json.Encoder()


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """The snapshot as it is written to disk and sent to other members."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Reads a snapshot.

    Raises:
        InvalidSnapshotError: The bytes are no snapshot that this version knows.
    """
    try:
        return _decoder.decode(data)
    except UNDECODABLE as error:
        raise InvalidSnapshotError(f"the snapshot is none that this version knows: {error}") from error
