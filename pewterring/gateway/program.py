"""The gateway process: front, readiness, feed of tables, admission heartbeats, start and stop."""

import asyncio
import contextlib
import math
import random
import secrets
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from pewterring.admission.datagram import GATEWAY
from pewterring.admission.digests import Totals
from pewterring.admission.shares import BEAT_S
from pewterring.batch.messages import BATCH_MESSAGES
from pewterring.configuration.model import ClientLimits, Configuration, Route, RouteType
from pewterring.configuration.priority_ranks import PriorityRanks
from pewterring.configuration.route_table import RouteTable
from pewterring.distribution.messages import FEED_MESSAGES, GATEWAY_PROGRAM, NodeRecord
from pewterring.distribution.subscriber import FeedEnvironment, FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.gateway.admissions import GatewayAdmissions
from pewterring.gateway.answers import Answer, failure
from pewterring.gateway.batch_calls import BatchCalls, BatchRequest, is_batch_call, longest_s
from pewterring.gateway.drain import Drain
from pewterring.gateway.live import LiveContext, LiveRequest
from pewterring.gateway.metrics import GatewayMetrics, GatewayState, Limit
from pewterring.gateway.prompt_exchange import PromptExchange
from pewterring.gateway.request_trace import RequestTrace
from pewterring.gateway.stalls import CHECK_INTERVAL_S, StallWatch
from pewterring.node.settings import NodeSettings, RequestLogMode
from pewterring.observability.metrics import CONTENT_TYPE, METRICS_PATH, render
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.heartbeats import AdmissionHeartbeats
from pewterring.routing.prompt import Prompt, read_prompt
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import REQUEST_ID
from pewterring.transport.http_request import RequestHead, ServerLimits, ServerRequest
from pewterring.transport.http_responder import Responder
from pewterring.transport.http_server import HttpServer
from pewterring.transport.lines import LinkPool, MessageCodec

NO_ROUTES = Configuration(0, (), {}, ClientLimits())
READY_PATH = "/v1/readyz"
LEAST_DRAIN_S = 2.6  # after SIGTERM: the platform looks each second and takes two misses
QUIET_S = 0.3  # without a request held, then the process ends
DRAIN_CHECK_INTERVAL_S = 0.05
ELSEWHERE_S = 0.02  # until a client that this process refuses as it ends may ask another gateway
START_WAIT_S, START_SHARE = 1.5, 0.4  # that a request waits for the first tables; of its time at most
NOT_SURE_S = 0.1  # until a client whose route this process may not know yet may ask another gateway
# Before the operator's limits are known none of them may be held against a client.
UNKNOWN_LIMITS = ServerLimits(256 * 1024, 16 * 1024 * 1024, header_timeout_s=10.0, idle_timeout_s=60.0)
IDLE_CONNECTIONS = 60  # connections to a worker where the operator gives no number


def server_limits(limits: ClientLimits) -> ServerLimits:
    """The operator's limits as the server takes them."""
    return ServerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


class GatewayProgram:
    """One gateway."""

    def __init__(
        self,
        settings: NodeSettings,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng or random.Random()
        self._life = secrets.token_hex(8)
        self._routes: RouteTable | None = None
        self._priority_ranks = PriorityRanks(NO_ROUTES)
        self._limits = UNKNOWN_LIMITS
        self._stopping = False
        self._metrics = GatewayMetrics()
        codec = MessageCodec((*FEED_MESSAGES, *BATCH_MESSAGES), settings.cluster)
        self._feed = FeedSubscriber(
            settings, codec, NodeReport(self._record), self._take_tables, FeedEnvironment(self._rng, clock)
        )
        links = LinkPool(codec, settings.internal_port, rng=self._rng, source_ip=settings.ip)
        self._links = links
        self._batch = BatchCalls(links, lambda: self._feed.tables, self._rng, clock)
        self._pool = WorkerPool(now=clock)
        self._chooser = WorkerChooser(settings.zone, self._rng, self._pool.is_connected)
        self._admissions = GatewayAdmissions(self._rng)
        self._heartbeats = AdmissionHeartbeats(
            settings.ip, settings.internal_port, GATEWAY, self._heard, self._heard_totals
        )
        self._prompts = PromptExchange(settings.ip, settings.internal_port + 1, self._chooser, self._rng)
        self._watch = StallWatch(self._prompts.tell_wait)
        self._drain = Drain()
        self._live = LiveContext(self._pool, self._chooser, self._watch, self._prompts.tell, self._drain)
        self._configured = asyncio.Event()
        self._front = HttpServer(self._handle, lambda: self._limits, clock, self._time_to_come)
        self._ready = HttpServer(self._handle_ready, lambda: server_limits(ClientLimits()), clock)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens the ports and follows the control leader. Raises OSError."""
        settings = self._settings
        assert settings.front is not None and settings.ready is not None
        await self._heartbeats.start()
        await self._prompts.start()
        await self._ready.start(settings.ready.ip, settings.ready.port)
        await self._front.start(settings.front.ip, settings.front.port)
        await self._feed.start()
        self._tasks = [asyncio.create_task(self._tick()), asyncio.create_task(self._check_workers())]
        logger.info("gateway {} listens on {}", settings.node_id, settings.front)

    async def drain(self) -> None:
        """Is not ready any more; takes what can end in time; returns when nothing is held or time is over."""
        self._stopping = True
        self._front.begin_drain()
        began = self._clock()
        self._drain.begin(began, self._settings.bounds.grace_s)
        quiet_since = began
        while (now := self._clock()) < self._drain.ends_at:
            if self._front.requests_held:
                quiet_since = now
            elif now - began >= LEAST_DRAIN_S and now - quiet_since >= QUIET_S:
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Closes everything."""
        await self._front.stop()
        await self._ready.stop()
        await self._feed.stop()
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._heartbeats.close()
        self._prompts.close()
        self._links.close()
        self._pool.close()

    def reload(self, settings: NodeSettings) -> None:
        """Takes settings that have changed: the seeds."""
        self._settings = settings
        self._feed.reload(settings)

    # Tables and heartbeats.

    def _record(self) -> NodeRecord:
        settings = self._settings
        return NodeRecord(settings.node_id, GATEWAY_PROGRAM, settings.ip, settings.zone, self._life)

    def _take_tables(self, old: Tables, new: Tables) -> None:
        if new.configuration is not old.configuration and new.configuration is not None:
            self._routes = RouteTable(new.configuration)
            self._priority_ranks = PriorityRanks(new.configuration)
            self._limits = server_limits(new.configuration.limits)
            self._configured.set()
        if new.nodes is not old.nodes:
            self._chooser.take_place(_place(self._settings, new))
        if new.workers is not old.workers or new.configuration is not old.configuration:
            self._chooser.update(new.workers, new.configuration)
            addresses = {worker.address for worker in new.workers.values()}
            for worker in old.workers.values():
                if worker.address not in addresses:
                    self._pool.close_address(worker.address)
        self._prompts.peers = tuple(node.ip for node in new.nodes if node.program == GATEWAY_PROGRAM)
        self._admissions.update(self._clock(), new, self._chooser)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            if self._chooser.has_silent:  # those that answer no more take their slots with them
                self._admissions.update(self._clock(), self._feed.tables, self._chooser)
            beats = self._admissions.tick(self._clock())
            self._heartbeats.send(beats, self._feed.tables.nodes)

    async def _check_workers(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._watch.check(self._clock())

    def _heard(self, kind: int, peer: int, number: int, beat: bytes) -> None:
        self._admissions.hear(self._clock(), kind, peer, number, beat)

    def _heard_totals(self, number: int, totals: Totals) -> None:
        self._admissions.hear_totals(self._clock(), number, totals)

    # Requests.

    async def _handle_ready(self, request: ServerRequest, responder: Responder) -> None:
        path = request.target.partition("?")[0]
        if path == METRICS_PATH:
            text = render(self._metrics.families(self._state()))
            await responder.respond(200, [(b"Content-Type", CONTENT_TYPE.encode())], text)
        elif path == READY_PATH:
            await responder.respond(200 if self._is_ready() else 503, [])
        else:
            await responder.respond(404, [])

    def _is_ready(self) -> bool:
        return self._routes is not None and not self._stopping

    def _state(self) -> GatewayState:
        return GatewayState(
            ready=self._is_ready(),
            requests_held=self._front.requests_held,
            client_connections=self._front.open_connections,
            worker_connections_made=self._pool.connections_made,
            tables=self._feed.tables,
            tables_age_s=self._feed.confirmed_age(self._clock()),
            admissions=self._admissions.by_service(),
        )

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        path = request.target.partition("?")[0]
        if is_batch_call(request.method, path):
            await self._serve_batch(request, responder, None)
            return
        if self._routes is None and not await self._wait_for_tables(request):
            await responder.respond(503, [(b"Retry-After", b"0.5")])
            return
        assert self._routes is not None
        route = self._routes.find(request.host, path)
        if route is None:
            await self._answer_unrouted(responder)
        elif route.route_type is RouteType.BATCH_JOB:
            await self._serve_batch(request, responder, route)
        else:
            await self._serve(request, responder, route)

    async def _answer_unrouted(self, responder: Responder) -> None:
        """404, unless a configuration that was acknowledged since the tables were current may have the route.

        Symptom answered: a gateway cut off from control denies a route that all others serve, and clients do
        not ask again after a 404.
        """
        if self._feed.confirmed_age(self._clock()) > self._settings.bounds.config_s:
            await responder.respond(503, [(b"Retry-After", b"%.2f" % NOT_SURE_S)])
            return
        self._metrics.unrouted += 1
        await responder.respond(404, [])

    async def _wait_for_tables(self, request: ServerRequest) -> bool:
        """A process that has just started is told the tables within a second or two; False if not in time.

        Symptom answered: all processes start at once, and clients are there before the first tables.
        """
        wait_s = min(START_WAIT_S, START_SHARE * self._time_s(request, None))
        with contextlib.suppress(TimeoutError):
            async with self._drain.timeout_at(self._clock() + wait_s):
                await self._configured.wait()
        return self._routes is not None

    async def _serve_batch(self, request: ServerRequest, responder: Responder, route: Route | None) -> None:
        """A submission where there is a route, else a call about a job."""
        call = self._batch_request(request, route)
        now = self._clock()
        if not self._drain.accepts(now, now + longest_s(call)):
            await self._send_elsewhere(responder)
            return
        self._metrics.batch_calls += 1
        try:
            async with self._drain.timeout_at(math.inf):
                answer = await (self._batch.submit(call, route) if route else self._batch.call(call))
        except TimeoutError:
            answer = failure(504, "this gateway ends before a store has answered")
        await self._answer(responder, answer)

    async def _send_elsewhere(self, responder: Responder) -> None:
        """Refuses what this process would not live to answer."""
        self._metrics.limited(Limit.DRAIN)
        await responder.respond(503, [(b"Retry-After", b"%.2f" % ELSEWHERE_S)])

    async def _answer(self, responder: Responder, answer: Answer) -> None:
        headers = [(name.encode(), value.encode()) for name, value in answer.headers]
        await responder.respond(answer.status, headers, answer.body)

    def _batch_request(self, request: ServerRequest, route: Route | None) -> BatchRequest:
        budget_s = self._time_s(request, route)
        return BatchRequest(
            method=request.method,
            target=request.target,
            host=request.host,
            request_id=(request.get(REQUEST_ID) or b"").decode("latin-1"),
            wait_ms=_number(request.get(b"wait-ms"), 0.0),
            budget_s=budget_s,
            body=request.body,
        )

    def _time_to_come(self, head: RequestHead) -> float:
        """A body that comes slowly counts into its request's time (CONFIG)."""
        route = self._routes.find(head.host, head.target.partition("?")[0]) if self._routes else None
        return self._time_s(head, route)

    @staticmethod
    def _time_s(request: ServerRequest | RequestHead, route: Route | None) -> float:
        """How long the request may take, from its first byte."""
        client_s = _number(request.get(b"request-timeout-ms"), 60_000.0) / 1000
        return min(client_s, route.timeout_ms / 1000) if route and route.timeout_ms > 0 else client_s

    async def _serve(self, request: ServerRequest, responder: Responder, route: Route) -> None:
        deadline = request.received_at + self._time_s(request, route)
        if not self._drain.accepts(self._clock(), deadline):
            await self._send_elsewhere(responder)
            return
        service = self._choose_service(route)
        admission = self._admissions.of(service)
        self._metrics.requests += 1
        prompt = read_prompt(_text(request.get(b"prompt-prefix")), _text(request.get(b"token-usage")))
        trace = self._trace(request, route, prompt)
        if not admission.acquire(self._priority_ranks.rank(service, route.priority)):
            limit = self._metrics.refused(admission)
            if trace is not None:
                trace.limit = limit
                trace.log(self._clock())
            after = b"%.2f" % max(0.05, min(1.0, route.target_latency_ms / 1000))
            await responder.respond(503, [(b"Retry-After", after)])
            return
        task = asyncio.current_task()
        assert task is not None
        responder.on_disconnect(lambda: _cancel(task))
        try:
            live = LiveRequest(
                self._live,
                request,
                responder,
                route,
                service,
                prompt,
                deadline,
                admission,
                self._connections(service),
                trace,
            )
            await live.run()
            self._metrics.limited(live.limit)
            if trace is not None:
                trace.limit = live.limit
        finally:
            admission.release()
            if trace is not None:
                trace.log(self._clock())

    def _trace(self, request: ServerRequest, route: Route, prompt: Prompt) -> RequestTrace | None:
        """Where bad requests are to be logged, what is noted of this one."""
        if self._settings.request_log is RequestLogMode.OFF:
            return None
        request_id = _text(request.get(REQUEST_ID)) or ""
        now = self._clock()
        return RequestTrace(request_id, route, request.received_at, prompt.prompt_tokens, admitted_at=now)

    def _choose_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        names = [part.service for part in route.services]
        weights = [part.weight for part in route.services]
        return self._rng.choices(names, weights)[0]

    def _connections(self, service: str) -> int:
        configuration = self._feed.tables.configuration
        known = configuration.services.get(service) if configuration else None
        return known.max_connections if known and known.max_connections else IDLE_CONNECTIONS


def _place(settings: NodeSettings, tables: Tables) -> float:
    """Where this gateway stands among those of its zone, from 0 to 1."""
    neighbours = sorted(
        node.node_id
        for node in tables.nodes
        if node.program == GATEWAY_PROGRAM and node.zone == settings.zone
    )
    if settings.node_id not in neighbours:
        return 0.0
    return neighbours.index(settings.node_id) / len(neighbours)


def _cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _number(value: bytes | None, default: float) -> float:
    try:
        number = default if value is None else float(value)
    except ValueError:
        return default
    return number if math.isfinite(number) else default
