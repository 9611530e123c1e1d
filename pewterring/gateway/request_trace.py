"""Trace of one live request: the times of its events, and the log record if it was late or failed."""

from dataclasses import dataclass, field
from typing import NamedTuple

from loguru import logger

from pewterring.configuration.model import Route
from pewterring.gateway.metrics import Limit
from pewterring.observability.log import EVENT
from pewterring.observability.request_log import RECORD_FORMAT, REQUEST_EVENT, Reason, RequestRecord

DOMINANT_FRACTION = 0.5  # of the time to first event: a cause that took more is logged as the reason
REASON_BY_LIMIT = {
    Limit.SHARE: Reason.REFUSED,
    Limit.CONCURRENCY: Reason.REFUSED,
    Limit.DRAIN: Reason.REFUSED,
    Limit.NO_WORKER: Reason.NO_WORKER,
    Limit.CONNECTIONS: Reason.NO_CONNECTION,
    Limit.DEADLINE: Reason.DEADLINE,
}


class AttemptStart(NamedTuple):
    """The start of an attempt, with what the gateway knew about the worker at that time."""

    sent_at: float
    worker: str
    uncached_tokens: int
    expected_prefill_s: float
    expected_wait_s: float  # for prompts sent to the worker earlier
    in_flight: int  # other requests of this gateway at the worker


NO_ATTEMPT = AttemptStart(0.0, "", 0, 0.0, 0.0, 0)


@dataclass(slots=True)
class RequestTrace:
    """Records the events of one request. Times are monotonic; 0 means that the event has not happened."""

    request_id: str
    route: Route
    received_at: float
    tokens: int = 0  # tokens of the prompt
    admitted_at: float = 0.0
    last_attempt: AttemptStart = NO_ATTEMPT
    attempts: int = 0
    failure: str = ""
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    done: bool = False  # the client has received its complete answer
    status: int = 0
    limit: Limit | None = field(default=None)

    def add_attempt(self, attempt: AttemptStart) -> None:
        """Records the start of an attempt."""
        self.attempts += 1
        self.last_attempt = attempt

    def add_event(self, now: float) -> None:
        """Records that events, or a complete answer, are sent to the client."""
        if not self.first_event_at:
            self.first_event_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now

    def reason(self) -> Reason | None:
        """Returns why the request was late or failed; None if it succeeded in time."""
        if not self.done:
            return self._reason_of_failure()
        if self.first_event_at - self.received_at > self.route.target_latency_ms / 1000:
            return self._reason_of_lateness()
        if 0.0 < self.route.token_gap_target_ms / 1000 < self.longest_pause_s:
            return Reason.WORKER_FAILED if self.attempts > 1 else Reason.PAUSE
        return None

    def _reason_of_failure(self) -> Reason:
        if self.first_event_at:
            return Reason.STREAM_BROKEN
        if self.limit is not None:
            return REASON_BY_LIMIT[self.limit]
        return Reason.WORKER_FAILED if self.failure else Reason.CLIENT_DISCONNECTED

    def _reason_of_lateness(self) -> Reason:
        if self.attempts > 1:
            return Reason.WORKER_FAILED
        took_s = self.first_event_at - self.received_at
        if self.last_attempt.expected_wait_s > DOMINANT_FRACTION * took_s:
            return Reason.BEHIND_PREFILLS
        if self.last_attempt.expected_prefill_s > DOMINANT_FRACTION * took_s:
            return Reason.PROMPT_NOT_CACHED
        return Reason.AT_WORKER

    def log(self, now: float) -> None:
        """Logs the request if it was late or failed."""
        reason = self.reason()
        if reason is None:
            return
        attempt = self.last_attempt
        record = RequestRecord(
            format=RECORD_FORMAT,
            request=self.request_id,
            route=self.route.name,
            reason=reason,
            status=self.status,
            target_s=self.route.target_latency_ms / 1000,
            tokens=self.tokens,
            prefill_tokens=attempt.uncached_tokens,
            admitted_s=self._since(self.admitted_at),
            sent_s=self._since(attempt.sent_at),
            expected_wait_s=round(attempt.expected_wait_s, 4),
            first_s=self._since(self.first_event_at),
            end_s=self._since(now),
            pause_s=round(self.longest_pause_s, 4),
            attempts=self.attempts,
            worker=attempt.worker,
            in_flight=attempt.in_flight,
            failure=self.failure,
        )
        logger.bind(**{EVENT: REQUEST_EVENT}, **record.log_fields()).info("")

    def _since(self, moment: float) -> float:
        return round(moment - self.received_at, 4) if moment else 0.0
