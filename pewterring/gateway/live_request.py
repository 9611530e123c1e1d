"""One live request at a gateway: consecutive attempts at workers until its deadline.

A request that is not idempotent is not retried after an attempt that may have run. If a stream breaks after
its first event, it resumes at another worker after the last event sent to the client, if its route allows
that; otherwise the connection to the client is aborted.
"""

import asyncio

from pewterring.gateway.answers import refuse, retry_after_s
from pewterring.gateway.live_attempt import (
    AdmittedRequest,
    AttemptOutcome,
    LiveAttempt,
    LiveContext,
    Progress,
)
from pewterring.gateway.metrics import Limit
from pewterring.gateway.worker_protocol import client_headers, worker_request
from pewterring.routing.worker_state import WorkerState
from pewterring.transport.http_client import ExchangeError
from pewterring.transport.http_fetch import AnswerStream

MAX_SENDS = 4  # limit of all attempts; those that certainly did not run count only against this one
RETRY_PAUSE_S = 0.01  # after a declined attempt other than the first, before the next one
MIN_REMAINING_S = 0.005  # no attempt begins with less time left
RETRY_AFTER_FRACTION = 0.25  # Retry-After as a fraction of the latency target, if no worker accepted


class LiveRequest:
    """Serves one admitted request, in the task that handles it."""

    def __init__(self, context: LiveContext, admitted: AdmittedRequest) -> None:
        self._context = context
        self._admitted = admitted
        self._now = context.pool.now
        self._progress = Progress()
        self._excluded: set[str] = set()  # ids of workers that were already tried

    async def run(self) -> Limit | None:
        """Answers the client, unless it disconnects; returns the limit that prevented a worker's answer."""
        admitted, progress = self._admitted, self._progress
        choose, attempts = self._context.chooser.choose, 0
        while attempts < MAX_SENDS and self._is_time_left() and not admitted.responder.disconnected:
            worker = choose(self._now(), admitted.service, admitted.prompt, self._excluded)
            if worker is None:
                progress.limit = progress.limit or Limit.NO_WORKER
                break
            attempts += 1
            end = await self._attempt(worker)
            if end is AttemptOutcome.DONE:
                if admitted.trace is not None:
                    admitted.trace.done = True
                return None
            self._excluded.add(worker.record.id)
            if end is AttemptOutcome.MAY_HAVE_RUN:
                progress.possible_runs += 1
                if not self._may_run_again():
                    break
            elif attempts > 1:
                await asyncio.sleep(RETRY_PAUSE_S)
        return await self._answer_last_failure()

    def _is_time_left(self) -> bool:
        """Returns whether enough time is left before the deadline and the end of a drain."""
        ends_at = min(self._admitted.deadline, self._context.drain.ends_at)
        return ends_at - self._now() > MIN_REMAINING_S

    def _may_run_again(self) -> bool:
        route, progress = self._admitted.route, self._progress
        if not route.is_idempotent or progress.possible_runs >= route.max_attempts:
            return False
        return not progress.answer_begun or progress.last_event_id is not None

    async def _attempt(self, worker: WorkerState) -> AttemptOutcome:
        admitted = self._admitted
        message = worker_request(
            admitted.request, worker.record.id, admitted.deadline, self._progress.resume_after
        )
        try:
            stream = AnswerStream(
                self._context.pool, worker.record.address, message, admitted.max_connections
            )
        except ExchangeError:
            self._progress.limit = Limit.CONNECTIONS
            return AttemptOutcome.NOT_RUN
        return await LiveAttempt(self._context, admitted, self._progress, worker, stream).run()

    async def _answer_last_failure(self) -> Limit | None:
        """Answers after the last attempt; a 503 guarantees that none of the attempts ran."""
        responder, progress = self._admitted.responder, self._progress
        if not self._is_time_left():
            progress.limit = Limit.DEADLINE
        if progress.answer_begun:
            responder.abort()
        elif progress.failure is not None:
            head = progress.failure.head
            await responder.respond(head.status, client_headers(head), progress.failure.body)
        elif not progress.possible_runs:
            target_ms = self._admitted.route.target_latency_ms
            await refuse(responder, retry_after_s(RETRY_AFTER_FRACTION * target_ms))
        else:
            await responder.respond(502 if self._is_time_left() else 504, [])
        return progress.limit
