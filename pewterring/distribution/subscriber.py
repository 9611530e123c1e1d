"""The node's session with the control leader: finds it, subscribes, renews, and swaps the tables.

What may go wrong: a machine that is not the leader, does not answer in time or sends tables that are not
taken ends the session, and the search goes on with the next one. Meanwhile the node serves by the tables that
it has.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from loguru import logger

from pewterring.distribution.errors import FeedError, FeedGapError, StaleAnswerError
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
from pewterring.distribution.subscription import FeedSubscription
from pewterring.distribution.tables import Tables
from pewterring.node.settings import NodeSettings
from pewterring.transport.channel import PeerWarnings
from pewterring.transport.lines import Channel, ChannelSettings, MessageCodec, TransportError, connect

RENEWAL_INTERVAL_S = 0.4  # a machine that lost the leadership says so at the next renewal, at the latest
ANSWER_TIMEOUT_S = 0.9  # an answer of the leader later than this counts as lost
CONNECT_TIMEOUT_S = 0.5  # a machine that is down delays the search by no more
SEARCH_PAUSE_S = 0.15  # between searches through all known machines: spares them while none leads
MAX_REDIRECTS = 2  # that are followed without a pause: machines may name each other

OpenChannel = Callable[[ChannelSettings, str, int, float], Awaitable[Channel]]
TablesHandler = Callable[[Tables, Tables], None]


@dataclass(frozen=True, slots=True)
class NodeReport:
    """What a node says of itself when it subscribes and with each renewal."""

    record: Callable[[], NodeRecord]
    status: Callable[[], GroupStatus | None] = lambda: None  # of the group that a store leads


@dataclass(frozen=True, slots=True)
class FeedEnvironment:
    """Randomness, time and network below a subscriber; tests and simulations replace them."""

    rng: random.Random = field(default_factory=random.Random)
    clock: Callable[[], float] = time.monotonic  # seconds, steady
    open_channel: OpenChannel = field(default_factory=lambda: connect)


def _ignore_tables(_old: Tables, _new: Tables) -> None:
    """For a subscriber whose user reads `tables` when it needs them."""


class FeedSubscriber:
    """Follows the control leader from `start` to `stop`; owns the task that does so.

    `on_tables(old, new)` is called on the event loop after each swap of `tables`. All other methods are
    called on the event loop too.
    """

    def __init__(
        self,
        settings: NodeSettings,
        codec: MessageCodec,
        report: NodeReport,
        on_tables: TablesHandler = _ignore_tables,
        environment: FeedEnvironment | None = None,
    ) -> None:
        environment = environment or FeedEnvironment()
        self._settings = settings
        # Warnings of all sessions count together: a seed of another cluster is contacted again and again.
        self._channel_settings = ChannelSettings(codec, self._on_message, warnings=PeerWarnings())
        self._report = report
        self._on_tables = on_tables
        self._rng = environment.rng
        self._clock = environment.clock
        self._open_channel = environment.open_channel
        self._subscription = FeedSubscription()
        self._leader_ip = ""  # as the last machine named it; empty where none is known
        self._change_missed = asyncio.Event()
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
        """Ends the session and waits until it has ended."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def reload(self, settings: NodeSettings) -> None:
        """Takes settings that have changed: other seeds are contacted from the next search on."""
        self._settings = settings

    async def _follow(self) -> None:
        """Searches the leader and follows it, until it is cancelled.

        Symptom answered: after a restart of all, a leader was known for 0.2 s before gateways contacted it.
        """
        redirects = 0
        while True:
            for ip in self._candidates():
                await self._run_session(ip)
                if self._leader_ip:
                    break
            redirects += 1
            if not self._leader_ip or redirects > MAX_REDIRECTS:
                redirects = 0
                await asyncio.sleep(SEARCH_PAUSE_S * (0.5 + self._rng.random()))

    def _candidates(self) -> list[str]:
        """The control machines to ask: the leader that was named, or else all in random order."""
        if self._leader_ip:
            leader_ip, self._leader_ip = self._leader_ip, ""
            return [leader_ip]
        known = {seed.ip for seed in self._settings.seeds} | set(self.tables.controls)
        order = sorted(known)
        self._rng.shuffle(order)
        return order

    async def _run_session(self, ip: str) -> None:
        """One session with the control machine at `ip`, until it ends; sets `_leader_ip` if one is named."""
        try:
            channel = await self._open_channel(
                self._channel_settings, ip, self._settings.internal_port, CONNECT_TIMEOUT_S
            )
        except (TransportError, OSError):
            return
        with contextlib.closing(channel):
            try:
                if await self._subscribe(channel):
                    await self._renew(channel)
            except (TransportError, FeedError) as error:
                log = logger.bind(event="feed_session_ended", control_ip=ip, reason=str(error))
                log.info("Feed session with a control machine ended; the leader is searched again")

    async def _subscribe(self, channel: Channel) -> bool:
        """Takes complete tables; False where the machine is not the leader."""
        self._change_missed.clear()  # before the request: a change may come in the same segment as the answer
        requested_at = self._clock()
        answer = await channel.request(Subscribe(node=self._report.record()), ANSWER_TIMEOUT_S)
        if isinstance(answer, Redirect):
            self._leader_ip = answer.leader
            return False
        if not isinstance(answer, CompleteTables):
            return False
        self._check_age(requested_at)
        old = self.tables
        self._notify(old, self._subscription.replace_all(answer, requested_at))
        return True

    def _check_age(self, requested_at: float) -> None:
        """Refuses tables requested longer ago than a configuration may take to reach every node.

        Symptom answered: a gateway that was frozen while it started finds the answer in its socket before the
        timer, becomes ready, and refuses with 404 what was added in the meantime.
        """
        age_s = self._clock() - requested_at
        if age_s > self._settings.bounds.config_s:
            raise StaleAnswerError(age_s)

    async def _renew(self, channel: Channel) -> None:
        """Renews the session until it ends or the leader names another."""
        while not channel.closed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._change_missed.wait(), RENEWAL_INTERVAL_S)
            if self._change_missed.is_set():
                raise FeedGapError("a change was missed")
            sent_at = self._clock()
            renewal = Renew(node=self._report.record(), status=self._report.status())
            answer = await channel.request(renewal, ANSWER_TIMEOUT_S)
            if isinstance(answer, Redirect):
                self._leader_ip = answer.leader
                return
            if not isinstance(answer, Renewed) or not self._subscription.confirm(answer, sent_at):
                raise FeedGapError("the leader has other tables")

    def _on_message(self, _channel: Channel, message: object) -> None:
        """Takes a change that the leader pushed."""
        if not isinstance(message, TableChanges):
            return
        old = self.tables
        try:
            new = self._subscription.apply_change(message)
        except FeedGapError:
            self._change_missed.set()
        else:
            self._notify(old, new)

    def _notify(self, old: Tables, new: Tables) -> None:
        """Calls `on_tables`; a fault there must not end the session, on which all later tables depend."""
        try:
            self._on_tables(old, new)
        except Exception:  # noqa: BLE001 - a fault of the node's own code: logged, and the session goes on
            logger.bind(event="table_update_failed").exception("Taking new tables failed")
