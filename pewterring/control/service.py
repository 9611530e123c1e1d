"""Handles the calls of operators and workers at the leader of the control group.

Implements each call; `relay.py` decides which machine answers it. If the leadership or the lease is lost
during a call, `Leadership` raises an error, and the machine that received the call looks for the next leader.
Calls are idempotent: a repeated call gets the same answer.
"""

from collections.abc import Callable

import msgspec

from pewterring.control.calls import ACKNOWLEDGED, Answer, Call, Endpoint, endpoint_at, error_answer
from pewterring.control.commands import PutWorker, RemoveWorkers
from pewterring.control.configuration_changes import PATCH, REPLACEMENT, ConfigurationChanges
from pewterring.control.errors import DecommissioningRefusedError
from pewterring.control.leader_state import LeaderState
from pewterring.control.leadership import Leadership
from pewterring.control.status import encode_status
from pewterring.registry.heartbeats import InvalidHeartbeatError, read_heartbeat

_NO_NAME = error_answer(404, "no name in the path")


class ControlService:
    """Handles calls by endpoint."""

    def __init__(self, tables: LeaderState, leadership: Leadership, clock: Callable[[], float]) -> None:
        self._state = tables.replicated
        self._workers = tables.workers
        self._decommissioner = tables.decommissioner
        self._leadership = leadership
        self._changes = ConfigurationChanges(tables.replicated, leadership)
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
                return await self._changes.change(call, REPLACEMENT)
            case Endpoint.UPDATE_CONFIGURATION:
                return await self._changes.change(call, PATCH)
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
