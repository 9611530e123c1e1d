"""Handler of live requests: drain check, choice of service, admission, and cancellation on disconnect.

Owns the admission slot of each request and releases it however the request ends.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pewterring.admission.service import ServiceAdmission
from pewterring.configuration.model import Route
from pewterring.gateway.active_configuration import ActiveConfiguration
from pewterring.gateway.admissions import GatewayAdmissions
from pewterring.gateway.answers import refuse, retry_after_s
from pewterring.gateway.drain import DRAIN_RETRY_AFTER_S
from pewterring.gateway.live_attempt import AdmittedRequest, LiveContext
from pewterring.gateway.live_request import LiveRequest
from pewterring.gateway.metrics import GatewayMetrics, Limit
from pewterring.gateway.request_headers import request_timeout_s, text_header
from pewterring.gateway.request_trace import RequestTrace
from pewterring.node.settings import RequestLogMode
from pewterring.routing.prompt import Prompt, read_prompt
from pewterring.transport.http_exchange import REQUEST_ID
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder


@dataclass(slots=True)
class LiveHandler:
    """Admits and serves live requests. `request_log` may change at run time."""

    context: LiveContext
    configuration: ActiveConfiguration
    admissions: GatewayAdmissions
    metrics: GatewayMetrics
    request_log: RequestLogMode
    rng: random.Random
    clock: Callable[[], float]

    async def handle(self, request: ServerRequest, responder: Responder, route: Route) -> None:
        """Answers one request, or refuses it with a status that guarantees that it has not run."""
        deadline = request.received_at + request_timeout_s(request, route)
        if not self.context.drain.accepts(self.clock(), deadline):
            self.metrics.count_limited(Limit.DRAIN)
            await refuse(responder, DRAIN_RETRY_AFTER_S)
            return
        service = self._choose_service(route)
        admission = self.admissions.of(service)
        self.metrics.requests += 1
        prompt = read_prompt(text_header(request, b"prompt-prefix"), text_header(request, b"token-usage"))
        trace = self._trace(request, route, prompt)
        if not admission.acquire(self.configuration.priority_ranks.rank(service, route.priority)):
            await self._refuse(responder, route, admission, trace)
            return
        connections = self.configuration.max_connections(service)
        await self._serve(
            AdmittedRequest(
                request, responder, route, service, prompt, deadline, admission, connections, trace
            )
        )

    async def _serve(self, admitted: AdmittedRequest) -> None:
        """Serves a request until it is answered, or its client disconnects, which cancels this task."""
        task = asyncio.current_task()
        assert task is not None
        trace = admitted.trace
        try:
            admitted.responder.on_disconnect(lambda: _cancel(task))
            limit = await LiveRequest(self.context, admitted).run()
            self.metrics.count_limited(limit)
            if trace is not None:
                trace.limit = limit
        finally:
            admitted.admission.release()
            if trace is not None:
                trace.log(self.clock())

    async def _refuse(
        self, responder: Responder, route: Route, admission: ServiceAdmission, trace: RequestTrace | None
    ) -> None:
        limit = self.metrics.count_refused(admission)
        if trace is not None:
            trace.limit = limit
            trace.log(self.clock())
        await refuse(responder, retry_after_s(route.target_latency_ms))

    def _trace(self, request: ServerRequest, route: Route, prompt: Prompt) -> RequestTrace | None:
        """Returns a trace for the request log, or None if the request log is off."""
        if self.request_log is RequestLogMode.OFF:
            return None
        request_id = text_header(request, REQUEST_ID) or ""
        now = self.clock()
        return RequestTrace(request_id, route, request.received_at, prompt.prompt_tokens, admitted_at=now)

    def _choose_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        names = [weighted.service for weighted in route.services]
        weights = [weighted.weight for weighted in route.services]
        return self.rng.choices(names, weights)[0]


def _cancel(task: "asyncio.Task[Any]") -> None:
    task.cancel()
