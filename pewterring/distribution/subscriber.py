"""The node's side of the feed: finds the control leader, keeps a session there, swaps the tables."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from functools import partial

from loguru import logger

from pewterring.distribution.messages import (
    CompleteTables,
    GroupStatus,
    NodeRecord,
    Redirect,
    Renew,
    Renewed,
    Subscribe,
    TableChanges,
)
from pewterring.distribution.subscription import FeedError, FeedGapError, FeedSubscription, StaleAnswerError
from pewterring.distribution.tables import Tables
from pewterring.node.settings import NodeSettings
from pewterring.transport.channel import PeerWarnings
from pewterring.transport.lines import Channel, MessageCodec, MessageHandler, TransportError, connect

RENEW_S = 0.4  # between renewals
ANSWER_S = 0.9  # an answer of the leader later than this counts as lost
CONNECT_S = 0.5
RETRY_S = 0.15  # between tries to find the leader, once all known machines were asked
MOST_REDIRECTS = 2  # that are followed without a pause: machines may name each other

OpenChannel = Callable[[MessageCodec, str, int, float, MessageHandler], Awaitable[Channel]]


class FeedSubscriber:
    """Follows the control leader. `on_tables(old, new)` is called after each swap of `tables`."""

    def __init__(
        self,
        settings: NodeSettings,
        codec: MessageCodec,
        node_record: Callable[[], NodeRecord],
        status: Callable[[], GroupStatus | None] = lambda: None,
        on_tables: Callable[[Tables, Tables], None] = lambda old, new: None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        open_channel: OpenChannel | None = None,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._node_record = node_record
        self._status = status
        self._on_tables = on_tables
        self._rng = rng or random.Random()
        self._clock = clock
        # Warnings of all sessions are counted together: a seed of another cluster is asked again and again.
        self._open_channel = open_channel or partial(connect, warnings=PeerWarnings())
        self._subscription = FeedSubscription()
        self._leader = ""
        self._stale = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def tables(self) -> Tables:
        """The newest tables."""
        return self._subscription.tables

    def confirmed_age(self, now: float) -> float:
        """Seconds since the tables were known to be current; infinite before the first."""
        return now - self._subscription.confirmed_at

    async def start(self) -> None:
        """Starts following in the background."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Ends the session."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def reload(self, settings: NodeSettings) -> None:
        """Takes settings that have changed: other seeds are asked from the next search on."""
        self._settings = settings

    async def _follow(self) -> None:
        """Symptom answered: after a restart of all, a leader was known for 0.2 s before gateways asked it."""
        redirects = 0
        while True:
            for ip in self._candidates():
                await self._session(ip)
                if self._leader:
                    break
            redirects += 1
            if not self._leader or redirects > MOST_REDIRECTS:
                redirects = 0
                await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))

    def _candidates(self) -> list[str]:
        if self._leader:
            leader, self._leader = self._leader, ""
            return [leader]
        known = {seed.ip for seed in self._settings.seeds} | set(self.tables.controls)
        order = sorted(known)
        self._rng.shuffle(order)
        return order

    async def _session(self, ip: str) -> None:
        """One session with the control machine at `ip`, until it ends; sets `_leader` where it names one."""
        try:
            channel = await self._open_channel(
                self._codec, ip, self._settings.internal_port, CONNECT_S, self._pushed
            )
        except (TransportError, OSError):
            return
        try:
            if await self._subscribe(channel):
                await self._renew(channel)
        except (TransportError, FeedError) as error:
            logger.info("feed session with {} ended: {}", ip, error)
        finally:
            channel.close()

    async def _subscribe(self, channel: Channel) -> bool:
        self._stale.clear()  # before the question: a change may come in the same segment as the answer
        asked_at = self._clock()
        answer = await channel.request(Subscribe(node=self._node_record()), ANSWER_S)
        if isinstance(answer, Redirect):
            self._leader = answer.leader
            return False
        if not isinstance(answer, CompleteTables):
            return False
        self._check_age(asked_at)
        old = self.tables
        self._swap(old, self._subscription.replace_all(answer, asked_at))
        return True

    def _check_age(self, asked_at: float) -> None:
        """Refuses tables that were asked for longer ago than a configuration may take to be everywhere.

        Symptom answered: a gateway that was frozen while it started finds the answer in its socket before the
        timer, becomes ready, and refuses with 404 what was added in the meantime.
        """
        age_s = self._clock() - asked_at
        if age_s > self._settings.bounds.config_s:
            raise StaleAnswerError(f"the tables were asked for {age_s:.1f} s ago")

    async def _renew(self, channel: Channel) -> None:
        while not channel.closed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._stale.wait(), RENEW_S)
            if self._stale.is_set():
                raise FeedGapError("a change was missed")
            sent_at = self._clock()
            answer = await channel.request(Renew(node=self._node_record(), status=self._status()), ANSWER_S)
            if isinstance(answer, Redirect):
                self._leader = answer.leader
                return
            if not isinstance(answer, Renewed) or not self._subscription.confirm(answer, sent_at):
                raise FeedGapError("the leader holds other tables")

    def _pushed(self, channel: Channel, message: object) -> None:
        if not isinstance(message, TableChanges):
            return
        old = self.tables
        try:
            self._swap(old, self._subscription.apply_change(message))
        except FeedGapError:
            self._stale.set()

    def _swap(self, old: Tables, new: Tables) -> None:
        try:
            self._on_tables(old, new)
        except Exception:
            logger.exception("taking new tables failed")
