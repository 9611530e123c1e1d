"""Golden snapshot data of the control state and of a batch partition's state, with all fields set."""

from typing import Any

import msgspec

from pewterring.batch.state import BatchState, Job
from pewterring.control.snapshot import Decommissioning, Snapshot
from pewterring.control.state import ControlState
from tests.golden.batch_commands import ITEMS, RESULTS
from tests.golden.records import (
    DOCUMENT,
    DOCUMENT_DIGEST,
    GATEWAY_NODE,
    PLACEMENT,
    STORE_NODE,
    STORES,
    WORKER,
    raw,
)
from tests.golden.rows import Family, Row

NOW_S = 1000.0  # fixed clock of the batch partition, in seconds

CONTROL = Snapshot(
    version=7,
    document=raw(DOCUMENT),
    accepted_digests={7: DOCUMENT_DIGEST},
    workers=(WORKER,),
    departed=("w-2",),
    nodes=(STORE_NODE, GATEWAY_NODE),
    stores=(STORE_NODE,),
    placements=(PLACEMENT,),
    decommissionings=(Decommissioning(node_id="store-1", member=STORES[0], ended=True),),
    newest_forgotten_version=6,
)
EMPTY_CONTROL = Snapshot(
    version=0,
    document=raw(b"null"),
    accepted_digests={},
    workers=(),
    departed=(),
    nodes=(),
    stores=(),
    placements=(),
    decommissionings=(),
)
JOBS = [
    Job(
        id="job-1",
        route=("chat.example", "/batch/"),
        accepted_at=NOW_S - 1.5,
        total=3,
        items={"b": ITEMS[1]},
        results=list(RESULTS),
        ended=True,
        failed_attempts={"b": 2},
    ),
    Job(
        id="job-2",
        route=("chat.example", "/batch/"),
        accepted_at=NOW_S,
        total=1,
        items={"a": ITEMS[0]},
    ),
]

# `JOBS` as encoded in a snapshot.
STORED_JOBS = [
    {
        "id": "job-1",
        "host": "chat.example",
        "path_prefix": "/batch/",
        "age_ms": 1500.0,
        "total": 3,
        "items": ITEMS[1:2],
        "results": RESULTS,
        "ended": True,
        "failed_attempts": {"b": 2},
    },
    {
        "id": "job-2",
        "host": "chat.example",
        "path_prefix": "/batch/",
        "age_ms": 0.0,
        "total": 1,
        "items": ITEMS[:1],
        "results": (),
        "ended": False,
    },
]


def restored_control(snapshot: Snapshot) -> ControlState:
    """Returns the control state restored from the snapshot."""
    state = ControlState()
    state.restore(msgspec.json.encode(snapshot))
    return state


def restored_batch(data: bytes) -> BatchState:
    """Returns the batch partition state restored from snapshot data."""
    state = BatchState(lambda: NOW_S)
    state.restore(data)
    return state


def _control_row(name: str, value: Snapshot) -> Row:
    decoder = msgspec.json.Decoder(Snapshot)
    return Row(name, value, lambda: restored_control(value).snapshot(), decoder.decode)


def _batch_row(name: str, jobs: list[Job], stored: list[dict[str, Any]]) -> Row:
    content = msgspec.json.encode({"jobs": stored})
    return Row(
        name,
        jobs,
        lambda: restored_batch(content).snapshot(),
        lambda data: list(restored_batch(data).jobs()),
    )


FAMILY = Family(
    "state_snapshots.txt",
    (
        _control_row("control-full", CONTROL),
        _control_row("control-empty", EMPTY_CONTROL),
        _batch_row("batch-full", JOBS, STORED_JOBS),
        _batch_row("batch-empty", [], []),
    ),
    (Snapshot,),
)
