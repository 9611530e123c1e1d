"""Where the first batch partition goes, and when a store may be emptied or has been."""

from collections.abc import Iterable, Mapping, Sequence

from pewterring.consensus.membership import address_of
from pewterring.control.state import Decommissioning
from pewterring.distribution.messages import STORE, GroupStatus, NodeRecord, PlacementRecord

FIRST_GROUP = "batch-0"


def live_stores(nodes: Iterable[NodeRecord]) -> list[NodeRecord]:
    """The stores among the nodes that can be members of a partition."""
    return [node for node in nodes if node.program == STORE and node.member]


def zone_count(stores: Iterable[NodeRecord]) -> int:
    """How many zones the stores stand in."""
    return len({store.zone for store in stores})


def first_placement(stores: Sequence[NodeRecord], needed: int) -> PlacementRecord | None:
    """Places the first partition, in different zones where there are enough; None with too few stores."""
    if len(stores) < needed:
        return None
    ordered = sorted(stores, key=lambda store: store.node_id)
    used_zones: set[str] = set()
    first_of_zone: list[NodeRecord] = []
    others: list[NodeRecord] = []
    for store in ordered:
        (others if store.zone in used_zones else first_of_zone).append(store)
        used_zones.add(store.zone)
    chosen = (first_of_zone + others)[:needed]
    return PlacementRecord(FIRST_GROUP, tuple(store.member for store in chosen))


def is_decommissioned(
    decommissioning: Decommissioning,
    placements: Iterable[PlacementRecord],
    statuses: Mapping[str, GroupStatus],
    needed: int,
) -> bool:
    """Whether no partition uses the store's machine and enough voters hold all of each."""
    ip = address_of(decommissioning.member)
    for placement in placements:
        status = statuses.get(placement.group)
        if status is None or len(status.complete) < needed:
            return False
        members = (*status.voters, *status.learners)
        if any(address_of(member) == ip for member in members):
            return False
    return True
