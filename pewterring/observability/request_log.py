"""Log records of requests that were late, rejected or failed: times, worker and reason of each.

A log line has the fields of one `RequestRecord` in addition to the fields of every line. `pewterring inspect
requests` summarizes records, also those that other versions wrote: field names in the log must not change.
"""

from enum import StrEnum

import msgspec

REQUEST_EVENT = "request"
RECORD_FORMAT = 1  # version of the fields of `RequestRecord`; readers skip other formats


class Reason(StrEnum):
    """What delayed or ended a request, from the gateway's point of view."""

    REFUSED = "refused"  # at admission, or because the gateway shuts down
    NO_WORKER = "no_worker"  # no worker available, for the first or another attempt
    NO_CONNECTION = "no_connection"  # all connections to the selected workers were in use
    DEADLINE = "deadline"  # the request timed out before a worker responded
    WORKER_FAILED = "worker_failed"  # an attempt failed or timed out
    STREAM_BROKEN = "stream_broken"  # the stream failed after its first event and was not resumed
    PROMPT_NOT_CACHED = "prompt_not_kept"  # most of the time was spent on the prefill of the prompt
    BEHIND_PREFILLS = "behind_prompts"  # waited for prefills of requests that the worker got earlier
    AT_WORKER = "at_worker"  # the worker was slow for a reason that the gateway cannot see
    PAUSE = "pause"  # too long between two events of the stream
    CLIENT_DISCONNECTED = "client_left"


class RequestRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One request. Times are seconds since its first byte arrived unless noted; tokens are prompt tokens."""

    format: int
    request: str
    route: str
    reason: Reason
    status: int = 0  # of the HTTP response; 0: none was sent
    target_s: float = msgspec.field(name="aim_s", default=0.0)  # latency target of the first event
    tokens: int = 0
    prefill_tokens: int = msgspec.field(name="to_read", default=0)  # expected prefill, without cached tokens
    admitted_s: float = 0.0
    sent_s: float = 0.0  # when it was sent to the last worker
    expected_wait_s: float = msgspec.field(name="waiting_s", default=0.0)  # duration: for earlier prefills
    first_s: float = 0.0  # when the first event arrived; 0: none did
    end_s: float = 0.0
    pause_s: float = 0.0  # duration: longest time between two events
    attempts: int = 0
    worker: str = ""
    in_flight: int = msgspec.field(name="out", default=0)  # this gateway's other attempts at the worker
    failure: str = ""  # of the last failed attempt

    def log_fields(self) -> dict[str, object]:
        """Returns all values by their field names in the log, which `name=` sets where they differ."""
        names = zip(self.__struct_fields__, self.__struct_encode_fields__, strict=True)
        return {log_name: getattr(self, name) for name, log_name in names}
