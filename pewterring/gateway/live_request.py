"""One live request at a gateway: attempts at workers, one after the other, within its time.

A request that may not run twice has one attempt that may have run. A stream that has begun goes on at another
worker behind the last event that the client has, where its route allows that; else it is cut.
"""

import asyncio

from pewterring.gateway.answers import refuse, retry_after_s
from pewterring.gateway.live_attempt import AdmittedRequest, AttemptEnd, LiveAttempt, LiveContext, Progress
from pewterring.gateway.metrics import Limit
from pewterring.gateway.worker_protocol import client_headers, worker_request
from pewterring.routing.worker_state import WorkerState
from pewterring.transport.http_client import ExchangeError
from pewterring.transport.http_fetch import AnswerStream

MAX_SENDS = 4  # attempts that certainly did not run count here only
RETRY_PAUSE_S = 0.01  # before a request goes elsewhere that no worker took
MIN_REMAINING_S = 0.005  # with less time left nothing is begun
RETRY_AFTER_FRACTION = 0.25  # of the latency target, where no worker took the request


class LiveRequest:
    """Carries one admitted request to its end, in the task that the request came in."""

    def __init__(self, context: LiveContext, admitted: AdmittedRequest) -> None:
        self._context = context
        self._admitted = admitted
        self._now = context.pool.now
        self._progress = Progress()
        self._excluded: set[str] = set()  # ids of workers that had an attempt

    async def run(self) -> Limit | None:
        """Answers the client, unless it goes away first; returns what kept it from a worker's answer."""
        admitted, progress = self._admitted, self._progress
        choose, sends = self._context.chooser.choose, 0
        while sends < MAX_SENDS and self._is_time_left() and not admitted.responder.disconnected:
            worker = choose(self._now(), admitted.service, admitted.prompt, self._excluded)
            if worker is None:
                progress.limit = progress.limit or Limit.NO_WORKER
                break
            sends += 1
            end = await self._attempt(worker)
            if end is AttemptEnd.DONE:
                if admitted.trace is not None:
                    admitted.trace.done = True
                return None
            self._excluded.add(worker.record.id)
            if end is AttemptEnd.MAY_HAVE_RUN:
                progress.runs += 1
                if not self._may_run_again():
                    break
            elif sends > 1:
                await asyncio.sleep(RETRY_PAUSE_S)
        return await self._give_up()

    def _is_time_left(self) -> bool:
        """Returns whether something may begin before the deadline, or before this process ends."""
        ends_at = min(self._admitted.deadline, self._context.drain.ends_at)
        return ends_at - self._now() > MIN_REMAINING_S

    def _may_run_again(self) -> bool:
        route, progress = self._admitted.route, self._progress
        if not route.is_idempotent or progress.runs >= route.max_attempts:
            return False
        return not progress.begun or progress.last_event_id is not None

    async def _attempt(self, worker: WorkerState) -> AttemptEnd:
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
            return AttemptEnd.NOT_RUN
        return await LiveAttempt(self._context, admitted, self._progress, worker, stream).run()

    async def _give_up(self) -> Limit | None:
        """Answers as far as the attempts allow: a 503 promises that none of them ran."""
        responder, progress = self._admitted.responder, self._progress
        if not self._is_time_left():
            progress.limit = Limit.DEADLINE
        if progress.begun:
            responder.abort()
        elif progress.failure is not None:
            head = progress.failure.head
            await responder.respond(head.status, client_headers(head), progress.failure.body)
        elif not progress.runs:
            target_ms = self._admitted.route.target_latency_ms
            await refuse(responder, retry_after_s(RETRY_AFTER_FRACTION * target_ms))
        else:
            await responder.respond(502 if self._is_time_left() else 504, [])
        return progress.limit
