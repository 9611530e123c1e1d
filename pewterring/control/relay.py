"""Has each call answered by the leader of the control group, here or at another machine.

Owns the time that a call may take, and the two guards against late calls (docs/safety.md, "Late calls"): a
call that waited in a paused process is not begun, nor is one that was on the way to the leader for too long.
What may go wrong: no leader is known or answers in time; the caller gets 503 and goes to another machine.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from loguru import logger

from pewterring.control.calls import Answer, Call, endpoint_at, error_answer
from pewterring.control.errors import CommandOutcomeUnknownError, NotLeadingError, RelayError, StaleCallError
from pewterring.control.messages import RelayedAnswer, RelayedCall
from pewterring.transport.lines import TransportError

ANSWER_TIMEOUT_S = 0.9  # a caller goes to another machine after a second
LEADER_RETRY_INTERVAL_S = 0.05  # before the leader is looked for again: an election takes some 0.5 s

Request = Callable[[str, msgspec.Struct, float], Awaitable[msgspec.Struct]]


class LeaderView(Protocol):
    """What this machine knows of the leader, and of the heartbeat rounds by which relayed calls are dated."""

    @property
    def leader_ip(self) -> str:
        """The leader's IP; empty where none is known."""

    @property
    def newest_round(self) -> tuple[int, int]:
        """Term and number of the newest round that is known here."""

    def check_round(self, term: int, number: int) -> None:
        """Checks that this leader sent that round a moment ago.

        Raises:
            NotLeadingError: This machine does not lead.
            StaleCallError: The round is of another term, or too long ago.
        """


class CallRouter:
    """Repeats calls until one is answered or the time is over. All calls may be handled more than once.

    Args:
        handle_here: Answers a call as the leader; raises `NotLeadingError` where this machine does not lead.
        leader: What is known here of the leader.
        request: Sends a message to a machine and waits for the reply; raises `TransportError`.
        own_ip: Of this machine.
        was_paused: Whether what is read now may have waited in the sockets of this process while it was
            paused.
    """

    def __init__(
        self,
        handle_here: Callable[[Call], Awaitable[Answer]],
        leader: LeaderView,
        request: Request,
        own_ip: str,
        was_paused: Callable[[], bool],
    ) -> None:
        self._handle_here = handle_here
        self._leader = leader
        self._request = request
        self._own_ip = own_ip
        self._was_paused = was_paused

    async def answer(self, call: Call) -> Answer:
        """Answers a call that came from outside, within `ANSWER_TIMEOUT_S`."""
        endpoint = endpoint_at(call.path)
        if endpoint is None:
            return error_answer(404, "no such path")
        if call.method != endpoint.method:
            return error_answer(405, f"the method is {endpoint.method}")
        if self._was_paused():
            return error_answer(503, "the call may have waited for too long")
        try:
            return await _in_time(self._until_answered(call))
        except TimeoutError:
            return error_answer(503, "no leader answered in time")

    async def answer_relayed(self, message: RelayedCall) -> RelayedAnswer:
        """Answers a call that another machine passed on, as the leader.

        One that was delayed on the way is not begun. Symptom answered: a partition or a freeze ends, and
        calls whose callers were answered 503 long ago are carried out.
        """
        call = Call(message.method, message.path, message.base_version, message.body)
        try:
            self._leader.check_round(message.term, message.round)
            answer = await _in_time(self._handle_here(call))
        except NotLeadingError:
            return RelayedAnswer(503, not_leading=True)
        except StaleCallError:
            term, number = self._leader.newest_round
            return RelayedAnswer(503, too_old=True, term=term, round=number)
        except (CommandOutcomeUnknownError, TimeoutError):
            return RelayedAnswer(503, error_answer(503, "the outcome is not known").body)
        return RelayedAnswer(answer.status, answer.body)

    async def _until_answered(self, call: Call) -> Answer:
        while True:
            with contextlib.suppress(NotLeadingError, CommandOutcomeUnknownError, RelayError):
                leader_ip = self._leader.leader_ip
                if leader_ip == self._own_ip:
                    return await self._handle_here(call)
                if leader_ip:
                    return await self._relay(leader_ip, call)
            await asyncio.sleep(LEADER_RETRY_INTERVAL_S)

    async def _relay(self, leader_ip: str, call: Call) -> Answer:
        """Passes a call on, and again with the leader's newest round where the one known here is too old.

        A member whose heartbeats wait behind a snapshot knows old rounds alone.
        """
        newest_round = self._leader.newest_round
        while True:
            reply = await self._send(leader_ip, relayed_call(call, newest_round))
            if reply.not_leading:
                raise NotLeadingError
            if not reply.too_old:
                return Answer(reply.status, reply.body)
            newest_round = (reply.term, reply.round)

    async def _send(self, leader_ip: str, message: RelayedCall) -> RelayedAnswer:
        try:
            reply = await self._request(leader_ip, message, ANSWER_TIMEOUT_S)
        except TransportError as error:
            raise RelayError(f"{leader_ip} did not answer a relayed call: {error}") from error
        if not isinstance(reply, RelayedAnswer):
            logger.bind(event="relay_reply_invalid", leader=leader_ip, reply=type(reply).__name__).error(
                "A control machine answered a relayed call with another type of message."
            )
            raise RelayError(f"{leader_ip} answered a relayed call with {type(reply).__name__}")
        return reply


def relayed_call(call: Call, newest_round: tuple[int, int]) -> RelayedCall:
    """Returns the message that passes a call on, dated by the term and number of a heartbeat round."""
    return RelayedCall(call.method, call.path, call.base_version, call.body, *newest_round)


async def _in_time(answering: Awaitable[Answer]) -> Answer:
    """Returns the answer, if it comes within `ANSWER_TIMEOUT_S`; raises `TimeoutError`.

    A process that was paused in the midst of a call finds the answer before the timer: hence the look at the
    clock behind it. Symptom answered: a call begun under a lease hands out, seconds later, what was current
    then.
    """
    clock = asyncio.get_running_loop().time
    began = clock()
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        answer = await answering
    if clock() - began > ANSWER_TIMEOUT_S:
        raise TimeoutError
    return answer
