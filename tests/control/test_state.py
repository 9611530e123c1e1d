"""The replicated state of control."""

import random

import msgspec
import pytest

from pewterring.control.commands import (
    Accepted,
    Command,
    Conflict,
    CreateGroup,
    EndDecommissioning,
    NotAbove,
    OutcomeUnknown,
    PutNodes,
    PutWorker,
    RemoveWorkers,
    StartDecommissioning,
)
from pewterring.control.errors import InvalidSnapshotError
from pewterring.control.state import ControlState
from pewterring.distribution.messages import PlacementRecord
from tests.control.records import apply, gateway, put, store, worker


def test_configurations_build_on_the_current_one() -> None:
    state = ControlState()
    assert apply(state, put(0, 5)) == Accepted()
    assert apply(state, put(5, 7)) == Accepted()
    assert apply(state, put(5, 9)) == Conflict(7)
    assert apply(state, put(0, 1)) == Conflict(7)
    assert apply(state, put(7, 7, limits={"max_header_bytes": 9})) == NotAbove(7)
    assert apply(state, put(7, 6)) == NotAbove(7)
    assert state.version == 7


def test_of_two_changes_on_the_same_version_one_wins() -> None:
    state = ControlState()
    apply(state, put(0, 5))
    one = put(5, 7, limits={"max_header_bytes": 1000})
    other = put(5, 7, limits={"max_header_bytes": 2000})
    assert apply(state, one) == Accepted()
    assert apply(state, other) == Conflict(7)
    assert bytes(state.document) == bytes(one.document)


def test_a_configuration_that_was_accepted_is_acknowledged_again() -> None:
    state = ControlState()
    first, second = put(0, 5), put(5, 7)
    apply(state, first)
    assert apply(state, first) == Accepted(repeated=True)
    apply(state, second)
    assert apply(state, first) == Accepted(repeated=True)
    assert state.version == 7
    restored = ControlState()
    restored.restore(state.snapshot())
    assert apply(restored, first) == Accepted(repeated=True)


def test_a_configuration_too_old_to_be_remembered_is_neither_accepted_nor_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("pewterring.control.configuration_history.REMEMBERED_VERSIONS", 3)
    state = ControlState()
    orders = [put(base, base + 2) for base in range(0, 10, 2)]
    for order in orders:
        assert apply(state, order) == Accepted()
    restored = ControlState()
    restored.restore(state.snapshot())
    for each in (state, restored):
        for order in orders[:2]:
            assert apply(each, order) == OutcomeUnknown()
        for order in orders[2:]:
            assert apply(each, order) == Accepted(repeated=True)
        assert apply(each, put(2, 4, limits={})) == OutcomeUnknown()
        assert apply(each, put(4, 5)) == Conflict(10)
        assert apply(each, put(10, 8, limits={})) == NotAbove(10)
        assert each.version == 10


def test_a_snapshot_of_before_versions_were_forgotten_is_read() -> None:
    state, restored = ControlState(), ControlState()
    apply(state, put(0, 5))
    older = msgspec.json.decode(state.snapshot())
    del older["forgotten"]
    restored.restore(msgspec.json.encode(older))
    assert apply(restored, put(0, 5)) == Accepted(repeated=True)
    assert restored.snapshot() == state.snapshot()


def test_changes_are_returned_once() -> None:
    state = ControlState()
    apply(state, put(0, 5))
    apply(state, PutWorker(worker("i-1")))
    changes = state.take_changes()
    assert changes.configuration
    assert changes.worker_ids == {"i-1"}
    apply(state, PutWorker(worker("i-1")))
    changes = state.take_changes()
    assert not changes.configuration
    assert not changes.worker_ids


def test_a_placement_is_made_once() -> None:
    state = ControlState()
    apply(state, CreateGroup(PlacementRecord("batch-0", ("a",))))
    apply(state, CreateGroup(PlacementRecord("batch-0", ("b",))))
    assert state.placements["batch-0"].voters == ("a",)


def test_a_store_that_comes_back_with_another_disk_is_decommissioned_until_the_end() -> None:
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


def some_commands(rng: random.Random, count: int) -> list[Command]:
    choices = (
        lambda: PutWorker(
            worker(
                f"i-{rng.randrange(9)}", f"10.0.0.{rng.randrange(4)}:80", rng.choice(["ready", "draining"])
            )
        ),
        lambda: RemoveWorkers((f"i-{rng.randrange(9)}",), rng.random() < 0.3),
        lambda: PutNodes((store(rng.randrange(5)),), (f"edge-{rng.randrange(3)}",)),
        lambda: PutNodes((gateway(rng.randrange(3)),)),
        lambda: StartDecommissioning(f"store-{rng.randrange(5)}", "m"),
        lambda: EndDecommissioning(f"store-{rng.randrange(5)}"),
        lambda: put(rng.randrange(4), rng.randrange(5)),
        lambda: CreateGroup(PlacementRecord("batch-0", (str(rng.random()),))),
    )
    return [rng.choice(choices)() for _ in range(count)]


@pytest.mark.parametrize("seed", range(5))
def test_a_restored_state_goes_on_as_the_one_it_was_taken_from(seed: int) -> None:
    rng = random.Random(seed)
    state, restored = ControlState(), ControlState()
    for command in some_commands(rng, 100):
        apply(state, command)
    apply(restored, PutWorker(worker("i-old", "10.9.9.9:1")))
    restored.restore(state.snapshot())
    for command in some_commands(rng, 100):
        assert apply(state, command) == apply(restored, command)
        assert state.snapshot() == restored.snapshot()
    addresses = [each.address for each in state.workers.values()]
    assert len(addresses) == len(set(addresses))


def test_a_damaged_snapshot_is_refused() -> None:
    with pytest.raises(InvalidSnapshotError):
        ControlState().restore(ControlState().snapshot()[:-5])
