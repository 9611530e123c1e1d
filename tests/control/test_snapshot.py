"""Snapshots of the control state: from earlier software versions, and damaged ones."""

import msgspec
import pytest

from pewterring.control.commands import Accepted
from pewterring.control.errors import InvalidSnapshotError
from pewterring.control.state import ControlState
from tests.control.records import apply, put


def test_a_snapshot_without_the_newest_forgotten_version_is_read() -> None:
    state, restored = ControlState(), ControlState()
    apply(state, put(0, 5))
    older = msgspec.json.decode(state.snapshot())
    del older["forgotten"]
    restored.restore(msgspec.json.encode(older))
    assert apply(restored, put(0, 5)) == Accepted(repeated=True)
    assert restored.snapshot() == state.snapshot()


def test_a_damaged_snapshot_is_rejected() -> None:
    with pytest.raises(InvalidSnapshotError):
        ControlState().restore(ControlState().snapshot()[:-5])
