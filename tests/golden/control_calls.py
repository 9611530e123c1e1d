"""Bodies of the HTTP API of control: worker heartbeats, the status of the tier, and answers."""

import asyncio
from collections.abc import Callable

import msgspec

from pewterring.control.calls import ACKNOWLEDGED, Answer, Call, error_answer
from pewterring.control.commands import Command, Result, encode_command
from pewterring.control.errors import NotLeadingError
from pewterring.control.leader_state import LeaderState
from pewterring.control.service import ControlService
from pewterring.control.snapshot import Decommissioning
from pewterring.control.state import ControlState
from pewterring.control.status import TierStatus, encode_status
from pewterring.distribution.messages import RegistrationState
from pewterring.registry.heartbeats import Heartbeat, LoadedModel, read_heartbeat
from tests.golden.control_commands import COMMANDS
from tests.golden.records import GATEWAY_NODE, PLACEMENT, STORE_NODE, WORKER
from tests.golden.rows import Family, Row

HEARTBEAT = Heartbeat(
    service="search",
    address="10.0.2.1:8080",
    zone="zone-a",
    version="1.4",
    capacity=48,
    state="draining",
    warm_up_remaining_ms=12.5,
    stage="loading",
    models=(LoadedModel(name="small", version=2),),
    sequence=9,
)
PLAIN_HEARTBEAT = Heartbeat(service="search", address="10.0.2.1:8080")
PLAIN_MODEL_HEARTBEAT = msgspec.structs.replace(PLAIN_HEARTBEAT, models=(LoadedModel(),))
STATUS = TierStatus(
    version=8,
    nodes=(STORE_NODE, GATEWAY_NODE),
    workers=(msgspec.structs.replace(WORKER, state=RegistrationState.UNRESPONSIVE),),
    placements=(PLACEMENT,),
    decommissionings=(
        Decommissioning(node_id="store-1", member="10.0.1.1#a1", ended=True),
        Decommissioning(node_id="store-2", member="10.0.1.2#b2"),
    ),
)
EMPTY_STATUS = TierStatus(version=0, nodes=(), workers=(), placements=(), decommissionings=())


def control_state() -> ControlState:
    """The control state after all commands of the golden log."""
    state = ControlState()
    for index, (_, command) in enumerate(COMMANDS, start=1):
        state.apply(index, encode_command(command))
    return state


class _ReadOnlyLeader:
    """The leadership of a leader that answers reads but commits nothing."""

    async def propose(self, command: Command) -> Result:
        raise NotLeadingError(f"commits no {command}")

    async def read_barrier(self) -> None:
        pass

    def check_lease(self) -> None:
        pass


def _answer(path: str) -> Answer:
    """The answer of a leader with the golden state to a GET."""
    state = control_state()
    leader = _ReadOnlyLeader()
    tables = LeaderState.of(state, leader, needed_stores=3, heartbeat_s=1.0)
    service = ControlService(tables, leader, lambda: 0.0)
    return asyncio.run(service.handle(Call("GET", path)))


def _heartbeat_row(name: str, heartbeat: Heartbeat) -> Row:
    return Row(name, heartbeat, lambda: msgspec.json.encode(heartbeat), read_heartbeat)


def _status_row(name: str, status: TierStatus, state: ControlState) -> Row:
    return Row(name, status, lambda: encode_status(state), msgspec.json.Decoder(TierStatus).decode)


def _answer_row(name: str, answer: Callable[[], Answer], content: dict[str, str]) -> Row:
    return Row(name, content, lambda: answer().body, msgspec.json.decode)


FAMILY = Family(
    "control_calls.txt",
    (
        _heartbeat_row("Heartbeat-full", HEARTBEAT),
        _heartbeat_row("Heartbeat-defaults", PLAIN_HEARTBEAT),
        _heartbeat_row("Heartbeat-plain-model", PLAIN_MODEL_HEARTBEAT),
        _status_row("TierStatus-full", STATUS, control_state()),
        _status_row("TierStatus-empty", EMPTY_STATUS, ControlState()),
        _answer_row("acknowledged", lambda: ACKNOWLEDGED, {}),
        _answer_row("refused", lambda: error_answer(404, "no such path"), {"error": "no such path"}),
        _answer_row("retired", lambda: _answer("/v1/Retire.Get/store-1"), {"state": "succeeded"}),
        _answer_row("retiring", lambda: _answer("/v1/Retire.Get/store-2"), {"state": "running"}),
    ),
    (Heartbeat, TierStatus),
)
