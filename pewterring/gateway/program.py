"""The gateway program: builds the parts of a gateway, starts and stops them, and keeps them up to date.

Requests do not pass through here: they go from the front to the dispatcher, and from there to the handler of
live requests or of batch requests. What goes wrong here: a port cannot be had at the start, and tables that
are late, which the feed of tables retries and the metric of their age shows.
"""

import asyncio
import contextlib
import random
import secrets
import time
from collections.abc import Callable

from loguru import logger

from pewterring.admission.datagram import GATEWAY
from pewterring.admission.digests import Totals
from pewterring.admission.shares import HEARTBEAT_PERIOD_S
from pewterring.batch.messages import BATCH_MESSAGES
from pewterring.distribution.messages import FEED_MESSAGES, GATEWAY_PROGRAM, NodeRecord
from pewterring.distribution.subscriber import FeedEnvironment, FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.gateway.active_configuration import ActiveConfiguration
from pewterring.gateway.admissions import GatewayAdmissions
from pewterring.gateway.batch_calls import BatchCalls
from pewterring.gateway.batch_handler import BatchHandler
from pewterring.gateway.dispatch import Dispatcher, TableFreshness
from pewterring.gateway.drain import Drain
from pewterring.gateway.front import Front
from pewterring.gateway.live_attempt import LiveContext
from pewterring.gateway.live_handler import LiveHandler
from pewterring.gateway.metrics import GatewayMetrics, GatewayState
from pewterring.gateway.prompt_exchange import PromptExchange
from pewterring.gateway.readiness import ReadinessServer
from pewterring.gateway.stall_detector import CHECK_INTERVAL_S, StallDetector
from pewterring.node.settings import NodeSettings
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.heartbeats import AdmissionHeartbeats, HeartbeatHandlers
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.lines import LinkPool, MessageCodec

MIN_DRAIN_S = 2.6  # after SIGTERM: the platform checks readiness each second and takes two misses
QUIET_S = 0.3  # without a request in flight, then the process ends
DRAIN_CHECK_INTERVAL_S = 0.05


class GatewayProgram:
    """One gateway. Owns its parts, and from `start` to `stop` the tasks of heartbeats and of stall checks."""

    def __init__(
        self,
        settings: NodeSettings,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self._rng = rng or random.Random()
        self._incarnation = secrets.token_hex(8)
        self._is_draining = False
        self._tasks: list[asyncio.Task[None]] = []
        self.configuration = ActiveConfiguration()
        self.metrics = GatewayMetrics()
        self.draining = Drain()
        self._build_links()
        self._build_routing()
        self._build_request_path()

    def _build_links(self) -> None:
        """Makes what connects the gateway to control and to the stores."""
        settings = self.settings
        codec = MessageCodec((*FEED_MESSAGES, *BATCH_MESSAGES), settings.cluster)
        self.feed = FeedSubscriber(
            settings,
            codec,
            NodeReport(self._record),
            self.take_tables,
            FeedEnvironment(self._rng, self.clock),
        )
        self._links = LinkPool(codec, settings.internal_port, rng=self._rng, source_ip=settings.ip)

    def _build_routing(self) -> None:
        """Makes what chooses workers and admits requests to them, and keeps gateways in step about both."""
        settings = self.settings
        self.pool = WorkerPool(now=self.clock)
        self.chooser = WorkerChooser(settings.zone, self._rng, self.pool.is_connected)
        self.admissions = GatewayAdmissions(self._rng)
        self._heartbeats = AdmissionHeartbeats(
            settings.ip,
            settings.internal_port,
            GATEWAY,
            HeartbeatHandlers(self._receive_heartbeat, self._receive_totals),
        )
        self._prompts = PromptExchange(settings.ip, settings.internal_port + 1, self.chooser, self._rng)
        self._stalls = StallDetector(self._prompts.announce_wait)

    def _build_request_path(self) -> None:
        """Makes what requests pass through, from the last stage up to the front."""
        context = LiveContext(
            self.pool, self.chooser, self._stalls, self._prompts.announce_prompt, self.draining
        )
        self.live = LiveHandler(
            context,
            self.configuration,
            self.admissions,
            self.metrics,
            self.settings.request_log,
            self._rng,
            self.clock,
        )
        calls = BatchCalls(self._links, lambda: self.feed.tables, self._rng, self.clock)
        self.batch = BatchHandler(calls, self.draining, self.metrics, self.clock)
        freshness = TableFreshness(
            lambda: self.feed.confirmed_age(self.clock()), lambda: self.settings.bounds.config_s
        )
        dispatcher = Dispatcher(
            self.configuration, freshness, self.draining, self.metrics, self.live, self.batch, self.clock
        )
        self.front = Front(self.configuration, dispatcher, self.clock)
        self.readiness = ReadinessServer(self.is_ready, self.metrics, self._state, self.clock)

    async def start(self) -> None:
        """Opens the ports and follows the control leader.

        Raises:
            OSError: A port cannot be had.
        """
        settings = self.settings
        assert settings.front is not None
        assert settings.ready is not None
        await self._heartbeats.start()
        await self._prompts.start()
        await self.readiness.start(settings.ready)
        await self.front.start(settings.front)
        await self.feed.start()
        self._tasks = [
            asyncio.create_task(self.send_heartbeats()),
            asyncio.create_task(self._check_stalls()),
        ]
        logger.bind(event="gateway_started", gateway=settings.node_id, address=str(settings.front)).info(
            "The gateway listens on its address."
        )

    async def drain(self) -> None:
        """Ends readiness, takes what can end in time; returns when nothing is in flight or time is over."""
        self._is_draining = True
        self.front.begin_drain()
        began_at = self.clock()
        self.draining.begin(began_at, self.settings.bounds.grace_s)
        quiet_since = began_at
        while (now := self.clock()) < self.draining.ends_at:
            if self.front.requests_in_flight:
                quiet_since = now
            elif now - began_at >= MIN_DRAIN_S and now - quiet_since >= QUIET_S:
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Closes all ports and connections, and ends the tasks."""
        await self.front.stop()
        await self.readiness.stop()
        await self.feed.stop()
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._heartbeats.close()
        self._prompts.close()
        self._links.close()
        self.pool.close()

    def reload(self, settings: NodeSettings) -> None:
        """Takes settings that have changed: the seeds, and which requests are logged."""
        self.settings = settings
        self.live.request_log = settings.request_log
        self.feed.reload(settings)

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send requests here."""
        return self.configuration.routes is not None and not self._is_draining

    def take_tables(self, old: Tables, new: Tables) -> None:
        """Puts newer tables in force: the feed calls it with those from before and the new ones."""
        if new.configuration is not old.configuration and new.configuration is not None:
            self.configuration.apply(new.configuration)
        if new.nodes is not old.nodes:
            self.chooser.set_position(_position(self.settings, new))
        if new.workers is not old.workers or new.configuration is not old.configuration:
            self.chooser.update(new.workers, new.configuration)
            self._close_stale_connections(old, new)
        self._prompts.peers = tuple(node.ip for node in new.nodes if node.program == GATEWAY_PROGRAM)
        self.admissions.update(self.clock(), new, self.chooser)

    def _close_stale_connections(self, old: Tables, new: Tables) -> None:
        addresses = {worker.address for worker in new.workers.values()}
        for worker in old.workers.values():
            if worker.address not in addresses:
                self.pool.close_address(worker.address)

    async def send_heartbeats(self) -> None:
        """Sends admission's heartbeats to the other gateways and stores, without end."""
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            if self.chooser.has_unresponsive:  # those that answer no more take their slots with them
                self.admissions.update(self.clock(), self.feed.tables, self.chooser)
            heartbeats = self.admissions.tick(self.clock())
            self._heartbeats.send(heartbeats, self.feed.tables.nodes)

    async def _check_stalls(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._stalls.check(self.clock())

    def _receive_heartbeat(self, kind: int, peer: int, service: int, heartbeat: bytes) -> None:
        self.admissions.receive(self.clock(), kind, peer, service, heartbeat)

    def _receive_totals(self, service: int, totals: Totals) -> None:
        self.admissions.receive_totals(self.clock(), service, totals)

    def _record(self) -> NodeRecord:
        settings = self.settings
        return NodeRecord(settings.node_id, GATEWAY_PROGRAM, settings.ip, settings.zone, self._incarnation)

    def _state(self) -> GatewayState:
        return GatewayState(
            ready=self.is_ready(),
            requests_in_flight=self.front.requests_in_flight,
            client_connections=self.front.open_connections,
            worker_connections_made=self.pool.connections_made,
            tables=self.feed.tables,
            tables_age_s=self.feed.confirmed_age(self.clock()),
            admissions=self.admissions.by_service(),
        )


def _position(settings: NodeSettings, tables: Tables) -> float:
    """Returns the position of this gateway among those of its zone, from 0 to 1."""
    neighbours = sorted(
        node.node_id
        for node in tables.nodes
        if node.program == GATEWAY_PROGRAM and node.zone == settings.zone
    )
    if settings.node_id not in neighbours:
        return 0.0
    return neighbours.index(settings.node_id) / len(neighbours)
