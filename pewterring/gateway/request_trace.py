"""What is noted of one live request on its way, and the line that is logged of it if it ended badly."""

from dataclasses import dataclass, field

from loguru import logger

from pewterring.configuration.model import Route
from pewterring.gateway.metrics import Limit
from pewterring.observability.log import EVENT
from pewterring.observability.request_log import RECORD_FORMAT, REQUEST_EVENT, Reason, RequestRecord

MOST = 0.5  # share of the time to the first event from which on one cause is named for it
BY_LIMIT = {
    Limit.SHARE: Reason.REFUSED,
    Limit.CEILING: Reason.REFUSED,
    Limit.DRAIN: Reason.REFUSED,
    Limit.NO_WORKER: Reason.NO_WORKER,
    Limit.CONNECTIONS: Reason.NO_CONNECTION,
    Limit.DEADLINE: Reason.DEADLINE,
}


@dataclass(slots=True)
class RequestTrace:
    """Times are of the steady clock; 0 where something has not happened."""

    request_id: str
    route: Route
    arrived_at: float
    tokens: int = 0
    admitted_at: float = 0.0
    sent_at: float = 0.0
    expected_read_s: float = 0.0
    expected_wait_s: float = 0.0
    to_read: int = 0
    worker: str = ""
    out: int = 0
    attempts: int = 0
    failure: str = ""
    first_at: float = 0.0
    event_at: float = 0.0
    longest_pause_s: float = 0.0
    done: bool = False
    status: int = 0
    limit: Limit | None = field(default=None)

    def sent(self, now: float, worker: str, to_read: int, read_s: float, wait_s: float, out: int) -> None:
        """An attempt begins."""
        self.attempts += 1
        self.sent_at, self.worker, self.out = now, worker, out
        self.to_read, self.expected_read_s, self.expected_wait_s = to_read, read_s, wait_s

    def event(self, now: float) -> None:
        """Events, or a whole answer, go to the client."""
        if not self.first_at:
            self.first_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.event_at)
        self.event_at = now

    def reason(self) -> Reason | None:
        """Why the request ended badly; None where it did not."""
        if not self.done:
            return self._reason_of_failure()
        if self.first_at - self.arrived_at > self.route.target_latency_ms / 1000:
            return self._reason_of_lateness()
        if 0.0 < self.route.token_gap_target_ms / 1000 < self.longest_pause_s:
            return Reason.WORKER_FAILED if self.attempts > 1 else Reason.PAUSE
        return None

    def _reason_of_failure(self) -> Reason:
        if self.first_at:
            return Reason.STREAM_BROKEN
        if self.limit is not None:
            return BY_LIMIT[self.limit]
        return Reason.WORKER_FAILED if self.failure else Reason.CLIENT_DISCONNECTED

    def _reason_of_lateness(self) -> Reason:
        if self.attempts > 1:
            return Reason.WORKER_FAILED
        took_s = self.first_at - self.arrived_at
        if self.expected_wait_s > MOST * took_s:
            return Reason.BEHIND_PREFILLS
        if self.expected_read_s > MOST * took_s:
            return Reason.PROMPT_NOT_CACHED
        return Reason.AT_WORKER

    def log(self, now: float) -> None:
        """Writes the line, if there is anything to tell."""
        reason = self.reason()
        if reason is None:
            return
        record = RequestRecord(
            format=RECORD_FORMAT,
            request=self.request_id,
            route=self.route.name,
            reason=reason,
            status=self.status,
            target_s=self.route.target_latency_ms / 1000,
            tokens=self.tokens,
            prefill_tokens=self.to_read,
            admitted_s=self._since(self.admitted_at),
            sent_s=self._since(self.sent_at),
            expected_wait_s=round(self.expected_wait_s, 4),
            first_s=self._since(self.first_at),
            end_s=self._since(now),
            pause_s=round(self.longest_pause_s, 4),
            attempts=self.attempts,
            worker=self.worker,
            in_flight=self.out,
            failure=self.failure,
        )
        logger.bind(**{EVENT: REQUEST_EVENT}, **record.log_fields()).info("")

    def _since(self, moment: float) -> float:
        return round(moment - self.arrived_at, 4) if moment else 0.0
