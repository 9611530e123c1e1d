"""Finds the stores in the table of nodes that may be members of a batch partition's group."""

from collections.abc import Iterable

from pewterring.consensus.membership_view import Candidates
from pewterring.consensus.messages import Membership
from pewterring.distribution.messages import STORE, NodeRecord


def store_candidates(nodes: Iterable[NodeRecord], membership: Membership) -> Candidates:
    """The stores in the table of nodes as candidates; stores in zones without a member come first."""
    stores = {node.member: node for node in nodes if node.program == STORE and node.member}
    members = {*membership.voters, *membership.learners}
    zones = {store.zone for name, store in stores.items() if name in members and not store.decommissioning}
    staying = [store for store in stores.values() if not store.decommissioning]
    staying.sort(key=lambda store: (store.zone in zones, store.member))
    return Candidates(
        joining=tuple(store.member for store in staying),
        current_names={store.ip: store.member for store in stores.values()},
        decommissioning=frozenset(name for name, store in stores.items() if store.decommissioning),
    )
