"""Calls of a gateway to the batch stores: finds the leading store and retries until the budget is used up.

A call may be lost before or after a store has acted on it; `StoreReply.may_have_run` tells the two apart.
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

ATTEMPT_TIMEOUT_S = 1.2  # per attempt at one store; a commit takes a few milliseconds
RETRY_PAUSE_S = 0.06  # after each round through all stores; jittered by half of it in both directions

StoreCall = SubmitJob | ReadResults | ReadItem | EndJob
StoreAnswer = NotFound | ItemBody | ResultPage | JobAccepted | JobRejected | JobEnded


class StoreReply(NamedTuple):
    """The outcome of a call."""

    answer: StoreAnswer | None  # of the leader; None if the budget was used up
    may_have_run: bool  # whether an earlier attempt that got no answer may have taken effect


class StoreCaller:
    """Calls the stores until the leader answers. Remembers the last known leader and calls it first."""

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
        self._leader = ""  # IP of the store that last answered as leader or was named as leader

    async def call(self, message: StoreCall, budget_s: float) -> StoreReply:
        """Calls stores until the leader answers, for at most `budget_s` seconds."""
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
            elif self._note_named_leader(ip, answer):
                candidates = self._candidates()
                await asyncio.sleep(0)
        return StoreReply(None, may_have_run)

    def _note_named_leader(self, ip: str, answer: NotLeading) -> bool:
        """Remembers the leader that the store at `ip` names; returns whether it is another store."""
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
        """Returns the IPs to call in order: the last known leader, leaders in the tables, then all stores."""
        tables = self._tables()
        order = [self._leader] if self._leader else []
        order += [group.leader.partition("#")[0] for group in tables.groups if group.leader]
        stores = [node.ip for node in tables.nodes if node.program == STORE]
        self._rng.shuffle(stores)
        return iter(dict.fromkeys([*order, *stores]))
