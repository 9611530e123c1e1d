"""The replicated state of control."""

import random

import pytest

from pewterring.control.commands import (
    Command,
    CreateGroup,
    EndDecommissioning,
    PutNodes,
    PutWorker,
    RemoveWorkers,
    StartDecommissioning,
)
from pewterring.control.state import ControlState
from pewterring.distribution.messages import PlacementRecord
from tests.control.records import apply, gateway, put, store, worker


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


def random_commands(rng: random.Random, count: int) -> list[Command]:
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
def test_a_restored_state_behaves_like_its_source(seed: int) -> None:
    rng = random.Random(seed)
    state, restored = ControlState(), ControlState()
    for command in random_commands(rng, 100):
        apply(state, command)
    apply(restored, PutWorker(worker("i-old", "10.9.9.9:1")))
    restored.restore(state.snapshot())
    for command in random_commands(rng, 100):
        assert apply(state, command) == apply(restored, command)
        assert state.snapshot() == restored.snapshot()
    addresses = [each.address for each in state.workers.values()]
    assert len(addresses) == len(set(addresses))
