"""Calls of operators and workers over simulated HTTP."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from pewterring.control.calls import Answer, Call
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import Handler
from tests.simulation.network import OUTSIDE
from tests.simulation.virtual_loop import Process
from tests.transport.http_stand_ins import AnswerTaker

if TYPE_CHECKING:
    from tests.simulation.world import World


AnswerCall = Callable[[Call], Awaitable[Answer]]


async def call_handler(handler: Handler, call: Call) -> Answer:
    """Hands a call to the handler of an HTTP server, as a request that was read whole."""
    fields = {b"base-version": call.base_version.encode()}
    request = ServerRequest(
        call.method, call.path, list(fields.items()), fields, "h", call.body, 0.0, True, b"1.1"
    )
    caller = AnswerTaker()
    await handler(request, Responder(caller, request))
    return Answer(int(caller.status), caller.body)


class Http:
    """The listeners of the control programs, and how calls get there."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._listeners: dict[str, tuple[Process, AnswerCall]] = {}
        self.lost_answers = 0.0  # part of the answers that never arrive

    def listen(self, ip: str, process: Process, answer: AnswerCall) -> None:
        """A program takes calls."""
        self._listeners[ip] = (process, answer)

    def stop(self, ip: str) -> None:
        """A program takes no more calls."""
        self._listeners.pop(ip, None)

    async def call(self, ip: str, call: Call, patience_s: float) -> Answer | None:
        """The answer, or None where none came in time."""
        loop = self._world.loop
        network = self._world.network
        answer: asyncio.Future[Answer | None] = loop.create_future()
        timer = loop.call_later(patience_s, _settle, answer, None)
        loop.call_later(network.delay_s(OUTSIDE, ip), self._arrive, ip, call, answer)
        result = await answer
        timer.cancel()
        return result

    def _arrive(self, ip: str, call: Call, answer: "asyncio.Future[Answer | None]") -> None:
        world = self._world
        if world.network.blocked(OUTSIDE, ip):
            return
        listener = self._listeners.get(ip)
        if listener is None or not listener[0].alive:
            _settle(answer, None)
            return
        process, handle = listener
        process.at_death.append(lambda: None if world.network.blocked(ip, OUTSIDE) else _settle(answer, None))
        world.loop.call_in(process, world.loop.time(), self._begin, ip, handle, call, answer)

    def _begin(self, *arguments: Any) -> None:
        self._world.loop.create_task(self._handle(*arguments))

    async def _handle(
        self, ip: str, handle: AnswerCall, call: Call, answer: "asyncio.Future[Answer | None]"
    ) -> None:
        """Runs in the server's process."""
        result = await handle(call)
        process = self._world.process()
        self._world.reach("answer")
        process.does(lambda: self._send_back(ip, result, answer))

    def _send_back(self, ip: str, result: Answer, answer: "asyncio.Future[Answer | None]") -> None:
        world = self._world
        if world.network.blocked(ip, OUTSIDE) or world.rng.random() < self.lost_answers:
            return
        world.loop.call_outside(
            world.loop.time() + world.network.delay_s(ip, OUTSIDE), _settle, answer, result
        )


def _settle(future: "asyncio.Future[Answer | None]", result: Answer | None) -> None:
    if not future.done():
        future.set_result(result)
