"""Chooses the stores on which the first batch partition is placed."""

from collections.abc import Iterable, Sequence

from pewterring.distribution.messages import STORE, NodeRecord, PlacementRecord

FIRST_GROUP = "batch-0"


def live_stores(nodes: Iterable[NodeRecord]) -> list[NodeRecord]:
    """The stores among the nodes that can be members of a partition."""
    return [node for node in nodes if node.program == STORE and node.member]


def zone_count(stores: Iterable[NodeRecord]) -> int:
    """The number of zones in which the stores run."""
    return len({store.zone for store in stores})


def first_placement(stores: Sequence[NodeRecord], needed_stores: int) -> PlacementRecord | None:
    """Places the first partition, in different zones if possible; None if there are too few stores."""
    if len(stores) < needed_stores:
        return None
    used_zones: set[str] = set()
    first_of_zone: list[NodeRecord] = []
    others: list[NodeRecord] = []
    for store in sorted(stores, key=lambda store: store.node_id):
        (others if store.zone in used_zones else first_of_zone).append(store)
        used_zones.add(store.zone)
    chosen = (first_of_zone + others)[:needed_stores]
    return PlacementRecord(FIRST_GROUP, tuple(store.member for store in chosen))
