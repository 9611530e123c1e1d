"""Routes each call to the leader of the control group, which is this process or another machine.

Limits the time that a call may take, and implements the two guards against late calls (docs/safety.md, "Late
calls"): a call that waited in a paused process is not executed, nor is one that took too long to reach the
leader. If no leader is known, or none answers in time, the caller gets 503 and tries another machine.
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

ANSWER_TIMEOUT_S = 0.9  # callers try another machine after 1 s
LEADER_RETRY_INTERVAL_S = 0.05  # a fraction of the time that an election takes, about 0.5 s

Request = Callable[[str, msgspec.Struct, float], Awaitable[msgspec.Struct]]


class LeaderView(Protocol):
    """The leader as this machine knows it, and the heartbeat rounds by which relayed calls are dated."""

    @property
    def leader_ip(self) -> str:
        """The leader's IP; empty if no leader is known."""

    @property
    def newest_round(self) -> tuple[int, int]:
        """Term and number of the newest heartbeat round that this machine knows."""

    def check_round(self, term: int, number: int) -> None:
        """Checks that this machine, as the leader, sent the given round recently.

        Raises:
            NotLeadingError: This machine does not lead.
            StaleCallError: The round belongs to another term or was sent too long ago.
        """


class CallRouter:
    """Retries each call until the leader answers it or its time is over. The leader may execute a call twice.

    Args:
        handle_here: Answers a call as the leader; raises `NotLeadingError` if this machine does not lead.
        leader: The leader as this machine knows it.
        request: Sends a message to a machine and waits for the reply; raises `TransportError`.
        own_ip: The IP of this machine.
        was_paused: Whether data read now may have waited in the sockets of this process while it was paused.
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
        """Answers a call of an operator or a worker within `ANSWER_TIMEOUT_S`."""
        endpoint = endpoint_at(call.path)
        if endpoint is None:
            return error_answer(404, "no such path")
        if call.method != endpoint.method:
            return error_answer(405, f"the method is {endpoint.method}")
        if self._was_paused():
            return error_answer(503, "the call may have waited for too long")
        try:
            return await _answer_in_time(self._until_answered(call))
        except TimeoutError:
            return error_answer(503, "no leader answered in time")

    async def answer_relayed(self, message: RelayedCall) -> RelayedAnswer:
        """Answers, as the leader, a call that another machine forwarded.

        A call that was delayed on the way is not executed. Otherwise, after a network partition or a pause
        ends, calls would take effect whose callers had got a 503 long before.
        """
        call = Call(message.method, message.path, message.base_version, message.body)
        try:
            self._leader.check_round(message.term, message.round)
            answer = await _answer_in_time(self._handle_here(call))
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
        """Forwards a call to the leader; if its heartbeat round is too old, retries with the newest one.

        A member knows only old rounds while heartbeats to it are queued behind a snapshot.
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
    """Returns the message that forwards a call, dated by the term and number of a heartbeat round."""
    return RelayedCall(call.method, call.path, call.base_version, call.body, *newest_round)


async def _answer_in_time(answering: Awaitable[Answer]) -> Answer:
    """Returns the answer if it arrives within `ANSWER_TIMEOUT_S`; raises `TimeoutError` otherwise.

    After a pause of the process the event loop handles the answer before the timer, so the clock is checked
    again. Otherwise a call begun under a lease could return, seconds later, state that was current when the
    lease was held.
    """
    clock = asyncio.get_running_loop().time
    started_at = clock()
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        answer = await answering
    if clock() - started_at > ANSWER_TIMEOUT_S:
        raise TimeoutError
    return answer
