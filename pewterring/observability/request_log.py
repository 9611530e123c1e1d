"""Log records of requests that were late, refused or failed: times, worker and reason of each.

A record is one `RequestRecord` as JSON, beside the fields that all log lines have. `pewterring inspect
requests` sums records up, those of other versions of this program too: fields keep their names in the log.
"""

from enum import StrEnum

import msgspec

REQUEST_EVENT = "request"
RECORD_FORMAT = 1  # of the fields below; a reader passes over records of other formats


class Reason(StrEnum):
    """What delayed or ended a request, as the gateway saw it."""

    REFUSED = "refused"  # at admission, or because the gateway shuts down
    NO_WORKER = "no_worker"  # no worker, or none left for another attempt
    NO_CONNECTION = "no_connection"  # all connections to the chosen workers were in use
    DEADLINE = "deadline"  # the request's time ended before a worker answered
    WORKER_FAILED = "worker_failed"  # an attempt before the last one failed or timed out
    STREAM_BROKEN = "stream_broken"  # after the first event, and it was not resumed
    PROMPT_NOT_CACHED = "prompt_not_kept"  # most of the time went into the prefill
    BEHIND_PREFILLS = "behind_prompts"  # prefills of requests that gateways had sent there before
    AT_WORKER = "at_worker"  # the worker took longer than all that was known of it explains
    PAUSE = "pause"  # between two events
    CLIENT_DISCONNECTED = "client_left"


class RequestRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One request. Seconds are since its first byte arrived; tokens are of the prompt."""

    format: int
    request: str
    route: str
    reason: Reason
    status: int = 0  # 0: none was sent
    target_s: float = msgspec.field(name="aim_s", default=0.0)  # of the first event; the log's name
    tokens: int = 0
    prefill_tokens: int = msgspec.field(name="to_read", default=0)  # expected; the log's name
    admitted_s: float = 0.0
    sent_s: float = 0.0  # to the last worker
    expected_wait_s: float = msgspec.field(name="waiting_s", default=0.0)  # for prefills; the log's name
    first_s: float = 0.0  # first event; 0: none
    end_s: float = 0.0
    pause_s: float = 0.0  # the longest between two events
    attempts: int = 0
    worker: str = ""
    in_flight: int = msgspec.field(name="out", default=0)  # other attempts at the worker; the log's name
    failure: str = ""  # of the last attempt that failed

    def log_fields(self) -> dict[str, object]:
        """All values by their names in the log, to be bound to the record's event."""
        names = zip(self.__struct_fields__, self.__struct_encode_fields__, strict=True)
        return {log_name: getattr(self, name) for name, log_name in names}
