"""Handler of batch requests: accepts or refuses them during a drain, and forwards them to the stores."""

import math
from collections.abc import Callable

from pewterring.configuration.model import Route
from pewterring.gateway.answers import failure, refuse, send_answer
from pewterring.gateway.batch_calls import BatchCalls, BatchRequest, max_duration_s
from pewterring.gateway.drain import DRAIN_RETRY_AFTER_S, Drain
from pewterring.gateway.metrics import GatewayMetrics, Limit
from pewterring.gateway.request_headers import number_header, request_timeout_s, text_header
from pewterring.transport.http_exchange import REQUEST_ID
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder


class BatchHandler:
    """Answers batch requests. `calls` forwards them to the stores."""

    def __init__(
        self, calls: BatchCalls, drain: Drain, metrics: GatewayMetrics, clock: Callable[[], float]
    ) -> None:
        self.calls = calls
        self._drain = drain
        self._metrics = metrics
        self._clock = clock

    async def handle(self, request: ServerRequest, responder: Responder, route: Route | None) -> None:
        """Answers a job submission if `route` is given, otherwise a call to read or end a job."""
        call = _batch_request(request, route)
        now = self._clock()
        if not self._drain.accepts(now, now + max_duration_s(call)):
            self._metrics.count_limited(Limit.DRAIN)
            await refuse(responder, DRAIN_RETRY_AFTER_S)
            return
        self._metrics.batch_calls += 1
        try:
            async with self._drain.timeout_at(math.inf):
                answer = await (self.calls.submit(call, route) if route else self.calls.call(call))
        except TimeoutError:
            answer = failure(504, "this gateway ends before a store has answered")
        await send_answer(responder, answer)


def _batch_request(request: ServerRequest, route: Route | None) -> BatchRequest:
    return BatchRequest(
        method=request.method,
        target=request.target,
        host=request.host,
        request_id=text_header(request, REQUEST_ID) or "",
        wait_ms=number_header(request, b"wait-ms", 0.0),
        budget_s=request_timeout_s(request, route),
        body=request.body,
    )
