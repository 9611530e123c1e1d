"""Calls of operators and workers over simulated HTTP.

The bytes of HTTP are left out: a call goes to the handler of the real server. Calls and answers are delayed,
and lost where the path is blocked.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from pewterring.control.calls import Answer, Call
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import Handler
from tests.simulation.network import OUTSIDE
from tests.simulation.virtual_loop import Process
from tests.transport.http_stand_ins import AnswerRecorder

if TYPE_CHECKING:
    from tests.simulation.world import World


AnswerCall = Callable[[Call], Awaitable[Answer]]


async def call_handler(handler: Handler, call: Call) -> Answer:
    """Hands a call to the handler of an HTTP server, as a request that was read completely."""
    fields = {b"base-version": call.base_version.encode()}
    request = ServerRequest(
        call.method, call.path, list(fields.items()), fields, "h", call.body, 0.0, True, b"1.1"
    )
    caller = AnswerRecorder()
    await handler(request, Responder(caller, request))
    return Answer(int(caller.status), caller.body)


class Http:
    """The listeners of all programs, and the delivery of calls to them."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._listeners: dict[str, tuple[Process, AnswerCall]] = {}
        self.lost_answers = 0.0  # fraction of the answers that never arrive

    def listen(self, ip: str, process: Process, answer: AnswerCall) -> None:
        """Registers the handler of a process at its IP."""
        self._listeners[ip] = (process, answer)

    def stop(self, ip: str) -> None:
        """Removes the handler at an IP."""
        self._listeners.pop(ip, None)

    async def call(self, ip: str, call: Call, timeout_s: float) -> Answer | None:
        """Sends a call; returns its answer, or None where none came within `timeout_s`."""
        loop = self._world.loop
        network = self._world.network
        answer: asyncio.Future[Answer | None] = loop.create_future()
        timer = loop.call_later(timeout_s, _complete, answer, None)
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
            _complete(answer, None)
            return
        process, handle = listener
        process.on_end.append(lambda: None if world.network.blocked(ip, OUTSIDE) else _complete(answer, None))
        world.loop.call_in(process, world.loop.time(), self._begin, ip, handle, call, answer)

    def _begin(self, *arguments: Any) -> None:
        self._world.loop.create_task(self._handle(*arguments))

    async def _handle(
        self, ip: str, handle: AnswerCall, call: Call, answer: "asyncio.Future[Answer | None]"
    ) -> None:
        """Answers a call in the server's process."""
        result = await handle(call)
        process = self._world.process()
        self._world.reach("answer")
        process.perform(lambda: self._send_back(ip, result, answer))

    def _send_back(self, ip: str, result: Answer, answer: "asyncio.Future[Answer | None]") -> None:
        world = self._world
        if world.network.blocked(ip, OUTSIDE) or world.rng.random() < self.lost_answers:
            return
        world.loop.call_outside(
            world.loop.time() + world.network.delay_s(ip, OUTSIDE), _complete, answer, result
        )


def _complete(future: "asyncio.Future[Answer | None]", result: Answer | None) -> None:
    if not future.done():
        future.set_result(result)
