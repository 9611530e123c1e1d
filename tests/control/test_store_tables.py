"""Committed placements and decommissionings."""

import msgspec

from pewterring.control.commands import CreateGroup, EndDecommissioning, PutNodes, StartDecommissioning
from pewterring.control.state import ControlState
from pewterring.distribution.messages import PlacementRecord
from tests.control.records import apply, store


def test_a_partition_is_placed_only_once() -> None:
    state = ControlState()
    apply(state, CreateGroup(PlacementRecord("batch-0", ("a",))))
    apply(state, CreateGroup(PlacementRecord("batch-0", ("b",))))
    assert state.placements["batch-0"].voters == ("a",)


def test_a_store_with_a_new_disk_is_decommissioning_only_until_the_end() -> None:
    state = ControlState()
    old = store(1)
    apply(state, PutNodes((old,)))
    apply(state, StartDecommissioning("store-1", old.member))
    apply(state, PutNodes(removed_ids=("store-1",)))
    assert state.stores["store-1"] == old
    other = msgspec.structs.replace(old, member="10.1.0.1#other")
    assert state.is_decommissioning(other)
    apply(state, EndDecommissioning("store-1"))
    assert state.is_decommissioning(old)
    assert not state.is_decommissioning(other)
