"""The session of a node with the control leader: finds the leader, subscribes, renews, and swaps the tables.

If a machine is not the leader, does not answer in time, or sends tables that are rejected, the session ends
and the search continues with the next machine. Meanwhile the node keeps serving with its current tables.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from loguru import logger

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.model import Configuration
from pewterring.configuration.reader import reading_steps
from pewterring.configuration.steps import complete_between_events
from pewterring.distribution.errors import FeedError, FeedGapError, StaleAnswerError
from pewterring.distribution.messages import (
    ANSWER_TIMEOUT_S,
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

RENEWAL_INTERVAL_S = 0.4  # also bounds how late a node learns that a machine has lost its leadership
CONNECT_TIMEOUT_S = 0.5  # bounds how long a machine that is down delays the search
SEARCH_PAUSE_S = 0.15  # between rounds through all known machines; limits their load during an election
MAX_REDIRECTS = 2  # followed without a pause; bounded because two machines may name each other

OpenChannel = Callable[[ChannelSettings, str, int, float], Awaitable[Channel]]
TablesHandler = Callable[[Tables, Tables], None]


@dataclass(frozen=True, slots=True)
class NodeReport:
    """What a node reports about itself when it subscribes and with each renewal."""

    record: Callable[[], NodeRecord]
    status: Callable[[], GroupStatus | None] = lambda: None  # of the group that this store leads, if any


@dataclass(frozen=True, slots=True)
class FeedEnvironment:
    """The randomness, clock and network of a subscriber; tests and simulations replace them."""

    rng: random.Random = field(default_factory=random.Random)
    clock: Callable[[], float] = time.monotonic  # monotonic time in seconds
    open_channel: OpenChannel = field(default_factory=lambda: connect)


def _ignore_tables(_old: Tables, _new: Tables) -> None:
    """The default handler, for users that read `FeedSubscriber.tables` when they need them."""


class FeedSubscriber:
    """Follows the control leader between `start` and `stop`; owns the background task for it.

    `on_tables(old, new)` is called on the event loop after each swap of `tables`. All methods must be called
    on the event loop.
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
        # Sessions share one limit on warnings, because a seed of another cluster is contacted repeatedly.
        self._channel_settings = ChannelSettings(codec, self._on_message, warnings=PeerWarnings())
        self._report = report
        self._on_tables = on_tables
        self._rng = environment.rng
        self._clock = environment.clock
        self._open_channel = environment.open_channel
        self._subscription = FeedSubscription()
        self._leader_ip = ""  # as named by the last machine contacted; empty if unknown
        self._change_missed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def tables(self) -> Tables:
        """The newest tables."""
        return self._subscription.tables

    def confirmed_age(self, now: float) -> float:
        """Returns the seconds since the tables were last known to be current; infinite before the first."""
        return now - self._subscription.confirmed_at

    async def start(self) -> None:
        """Starts following the leader in the background."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Ends the session and waits until it has ended."""
        for task in (self._task, self._reading):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    def reload(self, settings: NodeSettings) -> None:
        """Applies changed settings: new seeds are contacted from the next search on."""
        self._settings = settings

    async def _follow(self) -> None:
        """Searches for the leader and follows it until cancelled.

        Redirects are followed without a pause: with one, after a restart of all machines, a leader was known
        for 0.2 s before gateways contacted it.
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
        """Returns the control machines to contact: the leader named last, or else all in random order."""
        if self._leader_ip:
            leader_ip, self._leader_ip = self._leader_ip, ""
            return [leader_ip]
        known = {seed.ip for seed in self._settings.seeds} | set(self.tables.controls)
        order = sorted(known)
        self._rng.shuffle(order)
        return order

    async def _run_session(self, ip: str) -> None:
        """Runs one session with the control machine at `ip`; sets `_leader_ip` if it names a leader."""
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
                log.info("Feed session ended; searching for the control leader")

    async def _subscribe(self, channel: Channel) -> bool:
        """Requests and applies complete tables; returns False if the machine is not the leader."""
        self._change_missed.clear()  # before the request: a change may arrive in one segment with the answer
        requested_at = self._clock()
        request = Subscribe(self._report.record(), self._subscription.fingerprint)
        answer = await channel.request(request, ANSWER_TIMEOUT_S)
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
        """Rejects tables that were requested longer ago than `bounds.config_ms`.

        A new configuration reaches every node within that time. A gateway that was suspended during its start
        reads the answer from its socket before the time-out fires; without this check it becomes ready with
        stale tables and answers 404 for routes added in the meantime.

        Raises:
            StaleAnswerError: The answer took too long.
        """
        age_s = self._clock() - requested_at
        if age_s > self._settings.bounds.config_s:
            raise StaleAnswerError(age_s)

    async def _renew(self, channel: Channel) -> None:
        """Renews the session until the channel closes or the machine names another leader.

        Raises:
            FeedGapError: A change was missed, or the leader has other versions of the tables.
        """
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
        """Applies a change that the leader pushed."""
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
        """Calls `on_tables`, and has a large configuration read.

        An error in `on_tables` must not end the session, which all later updates depend on.
        """
        if self._subscription.unread is not None and (self._reading is None or self._reading.done()):
            self._reading = asyncio.get_running_loop().create_task(self._read_newest())
        try:
            self._on_tables(old, new)
        except Exception:  # noqa: BLE001 - an error in the node's own code is logged, and the session goes on
            logger.bind(event="table_update_failed").exception("Applying new tables failed")

    async def _read_newest(self) -> None:
        """Reads the newest large configuration between other events, and puts it in force."""
        while (document := self._subscription.unread) is not None:
            configuration = await self._read(document)
            old = self.tables
            self._notify(old, self._subscription.finish_reading(document, configuration))

    @staticmethod
    async def _read(document: bytes) -> Configuration | None:
        try:
            return await complete_between_events(reading_steps(document))
        except ConfigurationError as error:
            # Control validates documents, but a newer control may accept what this program cannot parse.
            log = logger.bind(event="configuration_unreadable", reason=str(error))
            log.warning("A configuration from control cannot be read; the former one stays in force")
            return None
