"""Has each call answered by the leader of the control group, here or at another machine."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from loguru import logger

from pewterring.control.calls import Answer, Call, error_answer, known_method
from pewterring.control.errors import CallTooOld, NotLeading, OutcomeUnsure
from pewterring.control.messages import RelayedAnswer, RelayedCall

ANSWER_TIMEOUT_S = 0.9  # a caller goes to another machine after a second
LEADER_RETRY_INTERVAL_S = 0.05  # before the leader is looked for again

Request = Callable[[str, msgspec.Struct, float], Awaitable[msgspec.Struct]]


class RelayError(Exception):
    """The leader did not answer; the call may have been handled."""


class HeartbeatRounds(Protocol):
    """The rounds of the leader's heartbeats, by which relayed calls are dated."""

    @property
    def newest_round(self) -> tuple[int, int]:
        """Term and number of the newest round that is known here."""

    def check_round(self, term: int, number: int) -> None:
        """Raises `NotLeading`, or `CallTooOld` unless this leader sent that round a moment ago."""


class CallRouter:
    """Tries calls until one is answered or the time is over. All calls may be handled more than once.

    `handle_here` raises `NotLeading` where this machine does not lead. `leader_ip` is empty where no leader
    is known. `request` sends a message to a machine and waits for the reply, or raises `RelayError`.
    `was_paused` tells whether what is read now may have waited in the sockets of this process while it stood
    still.
    """

    def __init__(
        self,
        handle_here: Callable[[Call], Awaitable[Answer]],
        leader_ip: Callable[[], str],
        request: Request,
        own_ip: str,
        rounds: HeartbeatRounds,
        was_paused: Callable[[], bool],
    ) -> None:
        self._handle_here = handle_here
        self._leader_ip = leader_ip
        self._request = request
        self._own_ip = own_ip
        self._rounds = rounds
        self._was_paused = was_paused

    async def answer(self, call: Call) -> Answer:
        """Answers a call that came from outside, within `ANSWER_TIMEOUT_S`."""
        method = known_method(call.path)
        if method is None:
            return error_answer(404, "no such path")
        if call.method != method:
            return error_answer(405, f"the method is {method}")
        if self._was_paused():
            return error_answer(503, "the call may have waited for too long")
        try:
            return await _in_time(self._until_answered(call))
        except TimeoutError:
            return error_answer(503, "no leader answered in time")

    async def answer_relayed(self, message: RelayedCall) -> RelayedAnswer:
        """Answers a call that another machine passed on, as the leader.

        One that was held up on the way is not begun. Symptom answered: a cut or a freeze ends, and orders
        whose callers were answered 503 long ago are carried out.
        """
        call = Call(message.method, message.path, message.base_version, message.body)
        try:
            self._rounds.check_round(message.term, message.round)
            answer = await _in_time(self._handle_here(call))
        except NotLeading:
            return RelayedAnswer(503, not_leading=True)
        except CallTooOld:
            term, number = self._rounds.newest_round
            return RelayedAnswer(503, too_old=True, term=term, round=number)
        except (OutcomeUnsure, TimeoutError):
            return RelayedAnswer(503, error_answer(503, "the outcome is not known").body)
        return RelayedAnswer(answer.status, answer.body)

    async def _until_answered(self, call: Call) -> Answer:
        while True:
            with contextlib.suppress(NotLeading, OutcomeUnsure, RelayError):
                leader = self._leader_ip()
                if leader == self._own_ip:
                    return await self._handle_here(call)
                if leader:
                    return await self._relay(leader, call)
            await asyncio.sleep(LEADER_RETRY_INTERVAL_S)

    async def _relay(self, leader: str, call: Call) -> Answer:
        """Passes a call on, and again with the leader's newest round where the one known here is too old.

        A member whose heartbeats wait behind a snapshot knows old rounds alone.
        """
        dated = self._rounds.newest_round
        while True:
            message = RelayedCall(call.method, call.path, call.base_version, call.body, *dated)
            reply = await self._request(leader, message, ANSWER_TIMEOUT_S)
            if not isinstance(reply, RelayedAnswer):
                logger.error("{} answered a relayed call with {}", leader, type(reply).__name__)
                raise RelayError("not an answer")
            if reply.not_leading:
                raise NotLeading
            if not reply.too_old:
                return Answer(reply.status, reply.body)
            dated = (reply.term, reply.round)


async def _in_time(answering: Awaitable[Answer]) -> Answer:
    """The answer, if it comes within `ANSWER_TIMEOUT_S`; raises `TimeoutError`.

    A process that stood still in the midst of a call finds the answer before the timer: hence the look at the
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
