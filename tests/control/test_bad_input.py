"""Commands and snapshots that cannot be decoded, for example of a later version, change no state."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from pewterring.consensus.errors import GroupFailedError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.messages import Entry
from pewterring.consensus.persistent import HardState
from pewterring.control.commands import (
    Command,
    CreateGroup,
    EndDecommissioning,
    PutNodes,
    PutWorker,
    RemoveWorkers,
    StartDecommissioning,
    encode_command,
)
from pewterring.control.errors import InvalidCommandError, InvalidSnapshotError
from pewterring.control.state import ControlState
from pewterring.distribution.messages import PlacementRecord
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.virtual_time import InlineExecutor, run
from tests.control.records import apply, put, store, worker

ONE_OF_EACH: list[Command] = [
    put(0, 5),
    PutWorker(worker("i-1")),
    RemoveWorkers(("i-2",), permanent=True),
    PutNodes((store(1),)),
    CreateGroup(PlacementRecord("batch-0", ("a",))),
    StartDecommissioning("store-1", "m"),
    EndDecommissioning("store-1"),
]
NOT_COMMANDS = [
    b"",
    b"null",
    b"{}",
    b"\xff",
    b'{"type":"FromTheFuture"}',
    b'{"type":"EndRetirement"}',
    b'{"type":"EndRetirement","node_id":5}',
    b'{"type":"EndRetirement","node_id":"\xff"}',
    b'{"type":"EndRetirement","node_id":"store-1","only_if":"moved"}',
    b'{"type":"EndRetirement","node_id":"store-1"',
    b'{"type":"PutConfiguration","base":5,"version":7,"digest":"d","document":' + b"[" * 100_000,
]


def complete_state() -> ControlState:
    state = ControlState()
    for command in ONE_OF_EACH:
        apply(state, command)
    return state


@pytest.mark.parametrize("data", NOT_COMMANDS, ids=range(len(NOT_COMMANDS)))
def test_an_entry_that_is_not_a_command_changes_nothing_and_is_named_in_the_error(data: bytes) -> None:
    state = complete_state()
    before = state.snapshot()
    with pytest.raises(InvalidCommandError, match="log entry 17") as caught:
        state.apply(17, data)
    assert "\n" not in str(caught.value)
    assert state.snapshot() == before


@pytest.mark.parametrize("command", ONE_OF_EACH, ids=lambda command: type(command).__name__)
def test_an_unknown_field_of_a_command_is_not_ignored(command: Command) -> None:
    later = msgspec.json.decode(encode_command(command)) | {"later": 1}
    state = ControlState()
    with pytest.raises(InvalidCommandError):
        state.apply(1, msgspec.json.encode(later))
    assert state.snapshot() == ControlState().snapshot()


def snapshot_with(**changes: Any) -> bytes:
    return msgspec.json.encode(msgspec.json.decode(complete_state().snapshot()) | changes)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"null",
        b"\xff",
        complete_state().snapshot()[:-1],
        snapshot_with(later=1),
        snapshot_with(version="5"),
        snapshot_with(workers=[{"id": "i-1"}]),
        snapshot_with(retirements=[{"node_id": "store-1", "member": "m", "later": 1}]),
        complete_state().snapshot().replace(b"i-2", b"i-\xff"),
    ],
    ids=range(9),
)
def test_a_snapshot_that_does_not_decode_changes_nothing(data: bytes) -> None:
    state = complete_state()
    before = state.snapshot()
    with pytest.raises(InvalidSnapshotError) as caught:
        state.restore(data)
    assert "\n" not in str(caught.value)
    assert state.snapshot() == before


def member(
    storage: MemoryStorage, state: ControlState, on_failure: Callable[[GroupFailedError], None]
) -> ReplicatedGroup:
    return ReplicatedGroup(
        "control",
        "10.0.0.1#seed",
        GroupEnvironment(
            storage=storage,
            machine=state,
            send=lambda _: None,
            clock=asyncio.get_running_loop().time,
            rng=random.Random(1),
            executor=InlineExecutor(),
        ),
        callbacks=GroupCallbacks(on_failure=on_failure),
    )


def test_a_member_stops_at_a_log_entry_of_a_later_version() -> None:
    storage = MemoryStorage(("10.0.0.1#seed",))
    known = encode_command(put(0, 5))
    later = b'{"type":"FromTheFuture"}'
    after = encode_command(put(5, 7))
    storage.hard_state = HardState(1, "10.0.0.1#seed")
    storage.entries = [
        Entry(index, 1, "command", msgspec.Raw(data)) for index, data in enumerate((known, later, after), 1)
    ]
    state = ControlState()

    async def scenario() -> str:
        failed: asyncio.Future[GroupFailedError] = asyncio.get_running_loop().create_future()
        group = member(storage, state, failed.set_result)
        await group.start()
        failure = await failed
        await group.stop()
        return str(failure)

    text = run(scenario())
    assert "log entry 2 is not a command known to this version" in text
    assert "\n" not in text
    assert state.version == 5


def test_a_member_with_a_snapshot_of_a_later_version_does_not_start() -> None:
    storage = MemoryStorage(("10.0.0.1#seed",))
    storage.snapshot_index = storage.snapshot_term = 1
    storage.snapshot = snapshot_with(later=1)

    async def scenario() -> None:
        await member(storage, ControlState(), lambda _: None).start()

    expected = "cannot start: the snapshot cannot be read: not a snapshot known to this version"
    with pytest.raises(GroupFailedError, match=expected) as caught:
        run(scenario())
    assert "\n" not in str(caught.value)
