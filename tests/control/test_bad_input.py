"""Commands and snapshots that do not decode, as of a later version: a clear end, nothing half taken."""

import asyncio
import random
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
    EndRetirement,
    PutNodes,
    PutWorker,
    RemoveWorkers,
    SetRetiring,
)
from pewterring.control.state import ControlState, InvalidCommand, InvalidSnapshot, encode_command
from pewterring.distribution.messages import PlacementRecord
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.virtual_time import InlineExecutor, run
from tests.control.records import apply, put, store, worker

ONE_OF_EACH: list[Command] = [
    put(0, 5),
    PutWorker(worker("i-1")),
    RemoveWorkers(("i-2",), for_good=True),
    PutNodes((store(1),)),
    CreateGroup(PlacementRecord("batch-0", ("a",))),
    SetRetiring("store-1", "m"),
    EndRetirement("store-1"),
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


def whole_state() -> ControlState:
    state = ControlState()
    for command in ONE_OF_EACH:
        apply(state, command)
    return state


@pytest.mark.parametrize("data", NOT_COMMANDS, ids=range(len(NOT_COMMANDS)))
def test_an_entry_that_is_no_command_changes_nothing_and_is_named(data: bytes) -> None:
    state = whole_state()
    before = state.snapshot()
    with pytest.raises(InvalidCommand, match="entry 17 of the log") as caught:
        state.apply(17, data)
    assert "\n" not in str(caught.value)
    assert state.snapshot() == before


@pytest.mark.parametrize("command", ONE_OF_EACH, ids=lambda command: type(command).__name__)
def test_a_field_of_a_later_version_is_not_passed_over(command: Command) -> None:
    later = msgspec.json.decode(encode_command(command)) | {"later": 1}
    state = ControlState()
    with pytest.raises(InvalidCommand):
        state.apply(1, msgspec.json.encode(later))
    assert state.snapshot() == ControlState().snapshot()


def changed(**changes: Any) -> bytes:
    return msgspec.json.encode(msgspec.json.decode(whole_state().snapshot()) | changes)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"null",
        b"\xff",
        whole_state().snapshot()[:-1],
        changed(later=1),
        changed(version="5"),
        changed(workers=[{"id": "i-1"}]),
        changed(retirements=[{"node_id": "store-1", "member": "m", "later": 1}]),
        whole_state().snapshot().replace(b"i-2", b"i-\xff"),
    ],
    ids=range(9),
)
def test_a_snapshot_that_does_not_decode_leaves_the_state_as_it_was(data: bytes) -> None:
    state = whole_state()
    before = state.snapshot()
    with pytest.raises(InvalidSnapshot) as caught:
        state.restore(data)
    assert "\n" not in str(caught.value)
    assert state.snapshot() == before


def member(storage: MemoryStorage, state: ControlState, failures: list[GroupFailedError]) -> ReplicatedGroup:
    return ReplicatedGroup(
        "control",
        "10.0.0.1#seed",
        GroupEnvironment(
            storage=storage,
            machine=state,
            send=lambda message: None,
            clock=asyncio.get_running_loop().time,
            rng=random.Random(1),
            executor=InlineExecutor(),
        ),
        callbacks=GroupCallbacks(on_failure=failures.append),
    )


def test_a_member_whose_log_is_of_a_later_version_stops_at_that_entry() -> None:
    storage = MemoryStorage(("10.0.0.1#seed",))
    known = encode_command(put(0, 5))
    later = b'{"type":"FromTheFuture"}'
    after = encode_command(put(5, 7))
    storage.hard_state = HardState(1, "10.0.0.1#seed")
    storage.entries = [
        Entry(index, 1, "command", msgspec.Raw(data)) for index, data in enumerate((known, later, after), 1)
    ]
    state, failures = ControlState(), list[GroupFailedError]()

    async def scenario() -> None:
        group = member(storage, state, failures)
        await group.start()
        while not failures:
            await asyncio.sleep(0.1)
        await group.stop()

    run(scenario())
    assert "entry 2 of the log is no command that this version knows" in str(failures[0])
    assert "\n" not in str(failures[0])
    assert state.version == 5


def test_a_member_whose_snapshot_is_of_a_later_version_does_not_start() -> None:
    storage = MemoryStorage(("10.0.0.1#seed",))
    storage.snapshot_index = storage.snapshot_term = 1
    storage.snapshot = changed(later=1)

    async def scenario() -> None:
        await member(storage, ControlState(), []).start()

    expected = "cannot start: the snapshot cannot be read: the snapshot is none that this version knows"
    with pytest.raises(GroupFailedError, match=expected) as caught:
        run(scenario())
    assert "\n" not in str(caught.value)
