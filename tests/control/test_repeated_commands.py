"""A command that is committed a second time, at any later time, changes nothing."""

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
REPEATABLE = [name for name in HISTORY if name != "store"]  # all others may be repeated by callers or retries


@pytest.mark.parametrize("name", REPEATABLE)
def test_a_repeated_command_changes_nothing(name: str) -> None:
    commands = list(HISTORY.values())
    first = list(HISTORY).index(name)
    for length in range(first + 1, len(commands) + 1):
        state = ControlState()
        for command in commands[:length]:
            apply(state, command)
        before = state.snapshot()
        assert isinstance(apply(state, HISTORY[name]), Accepted)
        assert state.snapshot() == before
