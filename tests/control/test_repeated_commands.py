"""Calls that are sent twice: what a repeated command changes, at any later moment."""

import pytest

from pewterring.control.commands import (
    Accepted,
    Command,
    EndDecommissioning,
    PutNodes,
    PutWorker,
    RemoveWorkers,
    StartDecommissioning,
)
from pewterring.control.state import ControlState
from tests.control.records import apply, put, store, worker

STORE = store(1)
HISTORY: dict[str, Command] = {
    "first configuration": put(0, 5),
    "store": PutNodes((STORE,)),
    "heartbeat": PutWorker(worker("w1")),
    "heartbeat that drains": PutWorker(worker("w1", state="draining")),
    "deregistration": RemoveWorkers(("w1",), permanent=True),
    "decommissioning": StartDecommissioning(STORE.node_id, STORE.member),
    "end of the decommissioning": EndDecommissioning(STORE.node_id),
    "next configuration": put(5, 7),
}
RESENT = [name for name in HISTORY if name != "store"]  # the others come of calls, or of retries


@pytest.mark.parametrize("name", RESENT)
def test_a_command_that_comes_again_later_changes_nothing(name: str) -> None:
    commands = list(HISTORY.values())
    first = list(HISTORY).index(name)
    for length in range(first + 1, len(commands) + 1):
        state = ControlState()
        for command in commands[:length]:
            apply(state, command)
        before = state.snapshot()
        assert isinstance(apply(state, HISTORY[name]), Accepted)
        assert state.snapshot() == before
