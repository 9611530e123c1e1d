"""Handles the calls of operators and workers at the leader of the control group.

Implements each call; `relay.py` decides which machine answers it. If the leadership or the lease is lost
during a call, `Leadership` raises an error, and the machine that received the call looks for the next leader.
Calls are idempotent: a repeated call gets the same answer.
"""

from collections.abc import Callable

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.validation import ValidatedDocument, validate_configuration, validate_patch
from pewterring.control.calls import Answer, Call, Endpoint, endpoint_at, error_answer, read_base_version
from pewterring.control.commands import (
    Command,
    Conflict,
    Invalid,
    NotAbove,
    OutcomeUnknown,
    PatchConfiguration,
    PutConfiguration,
    PutWorker,
    RemoveWorkers,
    Result,
)
from pewterring.control.errors import DecommissioningRefusedError
from pewterring.control.leader_state import LeaderState
from pewterring.control.leadership import Leadership
from pewterring.control.status import encode_status
from pewterring.registry.heartbeats import InvalidHeartbeatError, read_heartbeat

ACKNOWLEDGED = Answer(200)
_NO_NAME = error_answer(404, "no name in the path")


class ControlService:
    """Handles calls by endpoint. Configurations and patches are validated before they are proposed."""

    def __init__(self, tables: LeaderState, leadership: Leadership, clock: Callable[[], float]) -> None:
        self._state = tables.replicated
        self._workers = tables.workers
        self._decommissioner = tables.decommissioner
        self._leadership = leadership
        self._clock = clock

    async def handle(self, call: Call) -> Answer:
        """Returns the answer to a call.

        Raises:
            ControlError: This machine does not lead, or the outcome of a command is not known.
        """
        endpoint = endpoint_at(call.path)
        if endpoint is None:
            return error_answer(404, "no such path")
        if endpoint.takes_name:
            name = call.path.removeprefix(endpoint.path)
            return await self._handle_named(endpoint, name, call) if name else _NO_NAME
        return await self._handle_unnamed(endpoint, call)

    async def _handle_named(self, endpoint: Endpoint, name: str, call: Call) -> Answer:
        match endpoint:
            case Endpoint.HEARTBEAT:
                return await self._heartbeat(name, call.body)
            case Endpoint.DEREGISTER:
                return await self._deregister(name)
            case Endpoint.START_DECOMMISSIONING:
                return await self._start_decommissioning(name)
            case _:
                return await self._read_decommissioning(name)

    async def _handle_unnamed(self, endpoint: Endpoint, call: Call) -> Answer:
        match endpoint:
            case Endpoint.REPLACE_CONFIGURATION:
                return await self._change_configuration(call, validate_configuration, _replace_command)
            case Endpoint.UPDATE_CONFIGURATION:
                return await self._change_configuration(call, validate_patch, _patch_command)
            case Endpoint.READ_CONFIGURATION:
                return await self._read_configuration()
            case _:
                return await self._read_status()

    async def _heartbeat(self, worker_id: str, body: bytes) -> Answer:
        try:
            heartbeat = read_heartbeat(body)
        except InvalidHeartbeatError as error:
            return error_answer(400, str(error))
        self._leadership.check_lease()
        record = self._workers.observe(self._clock(), worker_id, heartbeat)
        if record is not None:
            await self._leadership.propose(PutWorker(record))
        return ACKNOWLEDGED

    async def _deregister(self, worker_id: str) -> Answer:
        self._leadership.check_lease()
        if worker_id not in self._state.departed:
            await self._leadership.propose(RemoveWorkers((worker_id,), permanent=True))
        return ACKNOWLEDGED

    async def _change_configuration(
        self,
        call: Call,
        check: Callable[[bytes], ValidatedDocument],
        command_for: Callable[[int, ValidatedDocument], Command],
    ) -> Answer:
        """Commits a configuration or a patch. The result of a patch is validated only when it is applied."""
        base = read_base_version(call.base_version)
        if base is None:
            return error_answer(400, "Base-Version is not a number")
        try:
            validated = check(call.body)
        except ConfigurationError as error:
            return error_answer(400, str(error))
        # Such a call is never accepted, so it repeats no accepted call, even if its document was accepted.
        if validated.version <= base:
            return error_answer(400, f"version: not above Base-Version {base}")
        if self._state.has_accepted(validated.version, validated.digest):  # a repetition needs no log entry
            await self._leadership.read_barrier()
            return ACKNOWLEDGED
        return _configuration_answer(await self._leadership.propose(command_for(base, validated)))

    async def _read_configuration(self) -> Answer:
        await self._leadership.read_barrier()
        if not self._state.version:
            return error_answer(404, "no configuration yet")
        return Answer(200, bytes(self._state.document))

    async def _read_status(self) -> Answer:
        await self._leadership.read_barrier()
        return Answer(200, encode_status(self._state))

    async def _start_decommissioning(self, node_id: str) -> Answer:
        try:
            await self._decommissioner.start(self._clock(), node_id)
        except DecommissioningRefusedError as error:
            return error_answer(error.status, str(error))
        return Answer(200, msgspec.json.encode({"state": self._decommissioner.progress(node_id)}))

    async def _read_decommissioning(self, node_id: str) -> Answer:
        await self._leadership.read_barrier()
        state = self._decommissioner.progress(node_id)
        if state is None:
            return error_answer(404, "no such retirement")
        return Answer(200, msgspec.json.encode({"state": state}))


def _replace_command(base: int, validated: ValidatedDocument) -> Command:
    return PutConfiguration(base, validated.version, validated.digest, msgspec.Raw(validated.document))


def _patch_command(base: int, validated: ValidatedDocument) -> Command:
    return PatchConfiguration(base, validated.version, validated.digest, msgspec.Raw(validated.document))


def _configuration_answer(result: Result) -> Answer:
    if isinstance(result, Conflict):
        return error_answer(412, f"version {result.current} is current")
    if isinstance(result, NotAbove):
        return error_answer(400, f"version: not above {result.current}")
    if isinstance(result, Invalid):
        return error_answer(400, result.reason)
    if isinstance(result, OutcomeUnknown):
        return error_answer(503, "too old to tell whether it was taken")
    return ACKNOWLEDGED
