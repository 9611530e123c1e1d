"""Has each call answered by the leader of the control group, here or at another machine."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import msgspec
from loguru import logger

from pewterring.control.calls import Answer, Call, known_method, refusal
from pewterring.control.errors import NotLeading, OutcomeUnsure
from pewterring.control.messages import RelayedAnswer, RelayedCall

ANSWER_S = 0.9  # a caller goes to another machine after a second
PAUSE_S = 0.05  # before the leader is looked for again

Request = Callable[[str, msgspec.Struct, float], Awaitable[msgspec.Struct]]


class RelayFailed(Exception):
    """The leader did not answer; the call may have been handled."""


class CallRouter:
    """Tries calls until one is answered or the time is over. All calls may be handled more than once.

    `handle_here` raises `NotLeading` where this machine does not lead. `leader_ip` is empty where no leader
    is known. `request` sends a message to a machine and waits for the reply, or raises `RelayFailed`.
    """

    def __init__(
        self,
        handle_here: Callable[[Call], Awaitable[Answer]],
        leader_ip: Callable[[], str],
        request: Request,
        own_ip: str,
    ) -> None:
        self._handle_here = handle_here
        self._leader_ip = leader_ip
        self._request = request
        self._own_ip = own_ip

    async def answer(self, call: Call) -> Answer:
        """Answers a call that came from outside, within `ANSWER_S`."""
        method = known_method(call.path)
        if method is None:
            return refusal(404, "no such path")
        if call.method != method:
            return refusal(405, f"the method is {method}")
        try:
            return await _in_time(self._until_answered(call))
        except TimeoutError:
            return refusal(503, "no leader answered in time")

    async def answer_relayed(self, message: RelayedCall) -> RelayedAnswer:
        """Answers a call that another machine passed on, as the leader."""
        call = Call(message.method, message.path, message.base_version, message.body)
        try:
            answer = await _in_time(self._handle_here(call))
        except NotLeading:
            return RelayedAnswer(503, not_leading=True)
        except (OutcomeUnsure, TimeoutError):
            return RelayedAnswer(503, refusal(503, "the outcome is not known").body)
        return RelayedAnswer(answer.status, answer.body)

    async def _until_answered(self, call: Call) -> Answer:
        while True:
            with contextlib.suppress(NotLeading, OutcomeUnsure, RelayFailed):
                leader = self._leader_ip()
                if leader == self._own_ip:
                    return await self._handle_here(call)
                if leader:
                    return await self._relay(leader, call)
            await asyncio.sleep(PAUSE_S)

    async def _relay(self, leader: str, call: Call) -> Answer:
        message = RelayedCall(call.method, call.path, call.base_version, call.body)
        reply = await self._request(leader, message, ANSWER_S)
        if not isinstance(reply, RelayedAnswer):
            logger.error("{} answered a relayed call with {}", leader, type(reply).__name__)
            raise RelayFailed("not an answer")
        if reply.not_leading:
            raise NotLeading
        return Answer(reply.status, reply.body)


async def _in_time(answering: Awaitable[Answer]) -> Answer:
    """The answer, if it comes within `ANSWER_S`; raises `TimeoutError`.

    A process that stood still in the midst of a call finds the answer before the timer: hence the look at the
    clock behind it. Symptom answered: a call begun under a lease hands out, seconds later, what was current
    then.
    """
    clock = asyncio.get_running_loop().time
    began = clock()
    async with asyncio.timeout(ANSWER_S):
        answer = await answering
    if clock() - began > ANSWER_S:
        raise TimeoutError
    return answer
