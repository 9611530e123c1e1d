"""The gateway program: builds the components of a gateway, starts and stops them, and updates their tables.

Requests do not pass through this module: they go from the front to the dispatcher, and from there to the live
handler or the batch handler. If a port is not available, `start` fails. If tables are late, the table feed
retries, and the metric of their age shows it.
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

MIN_DRAIN_S = 2.6  # the platform probes readiness each second and needs two failures to stop routing here
IDLE_BEFORE_EXIT_S = 0.3  # time without requests in flight after which the drain ends
DRAIN_CHECK_INTERVAL_S = 0.05


class GatewayProgram:
    """One gateway. Owns its components and, from `start` to `stop`, the heartbeat and stall check tasks."""

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
        """Creates the connections to control and to the stores."""
        settings = self.settings
        codec = MessageCodec((*FEED_MESSAGES, *BATCH_MESSAGES), settings.cluster)
        self.feed = FeedSubscriber(
            settings,
            codec,
            NodeReport(self._node_record),
            self.apply_tables,
            FeedEnvironment(self._rng, self.clock),
        )
        self._links = LinkPool(codec, settings.internal_port, rng=self._rng, source_ip=settings.ip)

    def _build_routing(self) -> None:
        """Creates worker selection, admission, and the exchange of both states with other gateways."""
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
        """Creates the stages of request handling, from the handlers up to the front."""
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
        self.readiness = ReadinessServer(self.is_ready, self.metrics, self._collect_state, self.clock)

    async def start(self) -> None:
        """Opens the ports and follows the control leader.

        Raises:
            OSError: A port is not available.
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
        """Reports not ready, and waits until the gateway is idle or the drain has ended."""
        self._is_draining = True
        self.front.begin_drain()
        began_at = self.clock()
        self.draining.begin(began_at, self.settings.bounds.grace_s)
        idle_since = began_at
        while (now := self.clock()) < self.draining.ends_at:
            if self.front.requests_in_flight:
                idle_since = now
            elif now - began_at >= MIN_DRAIN_S and now - idle_since >= IDLE_BEFORE_EXIT_S:
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Closes all ports and connections, and cancels the tasks."""
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
        """Applies changed settings: the seeds and the request log mode."""
        self.settings = settings
        self.live.request_log = settings.request_log
        self.feed.reload(settings)

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send requests here."""
        return self.configuration.routes is not None and not self._is_draining

    def apply_tables(self, previous: Tables, new: Tables) -> None:
        """Applies new tables; called by the feed with the previous and the new ones."""
        if new.configuration is not previous.configuration and new.configuration is not None:
            self.configuration.apply(new.configuration)
        if new.nodes is not previous.nodes:
            self.chooser.set_position(_position_in_zone(self.settings, new))
        if new.workers is not previous.workers or new.configuration is not previous.configuration:
            self.chooser.update(new.workers, new.configuration)
            self._close_stale_connections(previous, new)
        self._prompts.peers = tuple(node.ip for node in new.nodes if node.program == GATEWAY_PROGRAM)
        self.admissions.update(self.clock(), new, self.chooser)

    def _close_stale_connections(self, previous: Tables, new: Tables) -> None:
        addresses = {worker.address for worker in new.workers.values()}
        for worker in previous.workers.values():
            if worker.address not in addresses:
                self.pool.close_address(worker.address)

    async def send_heartbeats(self) -> None:
        """Sends admission heartbeats to the other gateways and the stores until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            if self.chooser.has_unresponsive:  # slots of workers that no longer answer no longer count
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

    def _node_record(self) -> NodeRecord:
        settings = self.settings
        return NodeRecord(settings.node_id, GATEWAY_PROGRAM, settings.ip, settings.zone, self._incarnation)

    def _collect_state(self) -> GatewayState:
        return GatewayState(
            ready=self.is_ready(),
            requests_in_flight=self.front.requests_in_flight,
            client_connections=self.front.open_connections,
            worker_connections_made=self.pool.connections_made,
            tables=self.feed.tables,
            tables_age_s=self.feed.confirmed_age(self.clock()),
            admissions=self.admissions.by_service(),
        )


def _position_in_zone(settings: NodeSettings, tables: Tables) -> float:
    """Returns this gateway's position among the gateways of its zone, as a fraction from 0 to 1."""
    zone_gateways = sorted(
        node.node_id
        for node in tables.nodes
        if node.program == GATEWAY_PROGRAM and node.zone == settings.zone
    )
    if settings.node_id not in zone_gateways:
        return 0.0
    return zone_gateways.index(settings.node_id) / len(zone_gateways)
