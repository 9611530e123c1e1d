"""Placement of the first batch partition."""

from pewterring.control.placement import first_placement
from tests.control.records import store


def test_the_first_partition_is_placed_in_different_zones() -> None:
    stores = [store(1, "a"), store(2, "a"), store(3, "b"), store(4, "c")]
    placement = first_placement(stores, 3)
    assert placement is not None
    assert placement.voters == (stores[0].member, stores[2].member, stores[3].member)
    assert first_placement(stores[:2], 3) is None
    in_two_zones = first_placement([store(1, "a"), store(2, "a"), store(3, "b")], 3)
    assert in_two_zones is not None
    assert len(set(in_two_zones.voters)) == 3
