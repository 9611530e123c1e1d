"""Calls of a gateway to the batch stores: to the one that leads, until it answers or time is over.

Any call may be lost before or after a store has acted on it; `StoreReply.may_have_run` tells the two apart.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from pewterring.batch.messages import (
    EndJob,
    ItemBody,
    JobAccepted,
    JobEnded,
    JobRejected,
    NotFound,
    NotLeading,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from pewterring.distribution.messages import STORE
from pewterring.distribution.tables import Tables
from pewterring.transport.lines import LinkPool, RequestNotSentError, TransportError

ATTEMPT_TIMEOUT_S = 1.2  # one attempt at one store; a commit takes some milliseconds
RETRY_PAUSE_S = 0.06  # after all stores were called, give or take half of it

StoreCall = SubmitJob | ReadResults | ReadItem | EndJob
StoreAnswer = NotFound | ItemBody | ResultPage | JobAccepted | JobRejected | JobEnded


class StoreReply(NamedTuple):
    """What came of a call."""

    answer: StoreAnswer | None  # the leader's; None once time is over
    may_have_run: bool  # whether a store that was called before may have acted


class StoreCaller:
    """Remembers which store led last, and calls it first."""

    def __init__(
        self,
        links: LinkPool,
        tables: Callable[[], Tables],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._links = links
        self._tables = tables
        self._rng = rng
        self._clock = clock
        self._leader = ""  # IP that answered or was named last

    async def call(self, message: StoreCall, budget_s: float) -> StoreReply:
        """Calls stores until the leader answers, for `budget_s` seconds at most."""
        ends_at = self._clock() + budget_s
        wait_s = message.wait_ms / 1000 if isinstance(message, ReadResults) else 0.0
        may_have_run = False
        candidates = self._candidates()
        while (left_s := ends_at - self._clock()) > 0:
            ip = next(candidates, "")
            if not ip:
                await asyncio.sleep(min(left_s, RETRY_PAUSE_S * (0.5 + self._rng.random())))
                candidates = self._candidates()
                continue
            try:
                answer = await self._links.request(ip, message, min(left_s, ATTEMPT_TIMEOUT_S + wait_s))
            except TransportError as error:
                self._forget(ip)
                may_have_run = may_have_run or not isinstance(error, RequestNotSentError)
                continue
            if isinstance(answer, StoreAnswer):
                self._leader = ip
                return StoreReply(answer, may_have_run)
            if not isinstance(answer, NotLeading):
                may_have_run = True
            elif self._follow(ip, answer):
                candidates = self._candidates()
                await asyncio.sleep(0)
        return StoreReply(None, may_have_run)

    def _follow(self, ip: str, answer: NotLeading) -> bool:
        """Takes the leader that a store names; returns whether it names another."""
        self._forget(ip)
        named = answer.leader.partition("#")[0]
        if not named or named == ip:
            return False
        self._leader = named
        return True

    def _forget(self, ip: str) -> None:
        if self._leader == ip:
            self._leader = ""

    def _candidates(self) -> Iterator[str]:
        """Yields IPs to call in turn: who led last, who is said to lead, then all stores."""
        tables = self._tables()
        order = [self._leader] if self._leader else []
        order += [group.leader.partition("#")[0] for group in tables.groups if group.leader]
        stores = [node.ip for node in tables.nodes if node.program == STORE]
        self._rng.shuffle(stores)
        return iter(dict.fromkeys([*order, *stores]))
