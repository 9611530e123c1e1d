"""Answers calls of the operator and the workers at the leader of the control group."""

from collections.abc import Awaitable, Callable

import msgspec

from pewterring.configuration.acceptance import Candidate, candidate, patch_candidate
from pewterring.configuration.reader import InvalidConfiguration
from pewterring.control.calls import (
    DECOMMISSION_START_PATH,
    DECOMMISSION_STATUS_PATH,
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    READ_PATH,
    REPLACE_PATH,
    STATUS_PATH,
    UPDATE_PATH,
    Answer,
    Call,
    error_answer,
    read_base_version,
)
from pewterring.control.commands import (
    Command,
    Conflict,
    Invalid,
    NotAbove,
    PatchConfiguration,
    PutConfiguration,
    PutWorker,
    RemoveWorkers,
    Result,
    Untold,
)
from pewterring.control.leadership import Leadership
from pewterring.control.retiring import RetirementDesk, RetirementRefused
from pewterring.control.state import ControlState
from pewterring.control.status import status_of
from pewterring.registry.heartbeats import InvalidHeartbeat, read_heartbeat
from pewterring.registry.workers import WorkerRegistry

ACKNOWLEDGED = Answer(200)


class ControlService:
    """Handles calls by path. Orders are checked here, before they go to the log."""

    def __init__(
        self,
        state: ControlState,
        registry: WorkerRegistry,
        retirements: RetirementDesk,
        leadership: Leadership,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._registry = registry
        self._retirements = retirements
        self._leadership = leadership
        self._clock = clock
        self._named: tuple[tuple[str, Callable[[str, bytes], Awaitable[Answer]]], ...] = (
            (HEARTBEAT_PATH, self._heartbeat),
            (DEREGISTER_PATH, self._deregister),
            (DECOMMISSION_START_PATH, self._start_retirement),
            (DECOMMISSION_STATUS_PATH, self._retirement),
        )

    async def handle(self, call: Call) -> Answer:
        """Answers a call, or raises `ControlError`."""
        for prefix, handler in self._named:
            if call.path.startswith(prefix):
                name = call.path[len(prefix) :]
                return await handler(name, call.body) if name else error_answer(404, "no name in the path")
        if call.path == REPLACE_PATH:
            return await self._change_configuration(call, candidate, _put)
        if call.path == UPDATE_PATH:
            return await self._change_configuration(call, patch_candidate, _patch)
        if call.path == READ_PATH:
            return await self._read()
        if call.path == STATUS_PATH:
            return await self._status()
        return error_answer(404, "no such path")

    async def _heartbeat(self, worker_id: str, body: bytes) -> Answer:
        try:
            heartbeat = read_heartbeat(body)
        except InvalidHeartbeat as error:
            return error_answer(400, str(error))
        self._leadership.check_lease()
        record = self._registry.observe(self._clock(), worker_id, heartbeat)
        if record is not None:
            await self._leadership.propose(PutWorker(record))
        return ACKNOWLEDGED

    async def _deregister(self, worker_id: str, body: bytes) -> Answer:
        self._leadership.check_lease()
        if worker_id not in self._state.departed:
            await self._leadership.propose(RemoveWorkers((worker_id,), for_good=True))
        return ACKNOWLEDGED

    async def _change_configuration(
        self,
        call: Call,
        check: Callable[[bytes], Candidate],
        command_for: Callable[[int, Candidate], Command],
    ) -> Answer:
        """Takes an order in either form. A patch is judged against its base only when it is applied."""
        base = read_base_version(call.base_version)
        if base is None:
            return error_answer(400, "Base-Version is not a number")
        try:
            wanted = check(call.body)
        except InvalidConfiguration as error:
            return error_answer(400, str(error))
        if wanted.version <= base:  # never taken, so this repeats no order, also where the document was taken
            return error_answer(400, f"version: not above Base-Version {base}")
        if self._state.has_taken(wanted.version, wanted.digest):  # the log need not hold the order again
            await self._leadership.read_barrier()
            return ACKNOWLEDGED
        return _configuration_answer(await self._leadership.propose(command_for(base, wanted)))

    async def _read(self) -> Answer:
        await self._leadership.read_barrier()
        if not self._state.version:
            return error_answer(404, "no configuration yet")
        return Answer(200, bytes(self._state.document))

    async def _status(self) -> Answer:
        await self._leadership.read_barrier()
        return Answer(200, status_of(self._state))

    async def _start_retirement(self, node_id: str, body: bytes) -> Answer:
        try:
            await self._retirements.start(self._clock(), node_id)
        except RetirementRefused as error:
            return error_answer(error.status, str(error))
        return Answer(200, msgspec.json.encode({"state": self._retirements.progress(node_id)}))

    async def _retirement(self, node_id: str, body: bytes) -> Answer:
        await self._leadership.read_barrier()
        state = self._retirements.progress(node_id)
        if state is None:
            return error_answer(404, "no such retirement")
        return Answer(200, msgspec.json.encode({"state": state}))


def _put(base: int, wanted: Candidate) -> Command:
    return PutConfiguration(base, wanted.version, wanted.digest, msgspec.Raw(wanted.document))


def _patch(base: int, wanted: Candidate) -> Command:
    return PatchConfiguration(base, wanted.version, wanted.digest, msgspec.Raw(wanted.document))


def _configuration_answer(result: Result) -> Answer:
    if isinstance(result, Conflict):
        return error_answer(412, f"version {result.current} is current")
    if isinstance(result, NotAbove):
        return error_answer(400, f"version: not above {result.current}")
    if isinstance(result, Invalid):
        return error_answer(400, result.reason)
    if isinstance(result, Untold):
        return error_answer(503, "too old to tell whether it was taken")
    return ACKNOWLEDGED
