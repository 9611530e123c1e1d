"""Log lines of requests that were late, refused or failed: times, worker and reason of each.

A line is one `RequestLine` as JSON, beside the fields that all lines have. `pewterring inspect requests` sums
lines up.
"""

from enum import StrEnum

import msgspec

REQUEST_EVENT = "request"
LINE_FORMAT = 1  # of the fields below; a reader passes over lines of other formats


class Reason(StrEnum):
    """What held a request up, as the gateway saw it."""

    REFUSED = "refused"  # at admission, or because the gateway ends
    NO_WORKER = "no_worker"  # no worker, or none left to try
    NO_CONNECTION = "no_connection"  # all connections to the chosen workers were in use
    DEADLINE = "deadline"  # the time was over before a worker answered
    WORKER_FAILED = "worker_failed"  # an attempt before the last one failed or fell silent
    STREAM_BROKEN = "stream_broken"  # after the first event, and it was not taken up again
    PROMPT_NOT_KEPT = "prompt_not_kept"  # most of the time went into reading the prompt
    BEHIND_PROMPTS = "behind_prompts"  # prompts that gateways had sent there before
    AT_WORKER = "at_worker"  # the worker took longer than all that was known of it explains
    PAUSE = "pause"  # between two events
    CLIENT_LEFT = "client_left"


class RequestLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One request. Seconds are since its first byte arrived; tokens are of the prompt."""

    format: int
    request: str
    route: str
    reason: Reason
    status: int = 0  # 0: none was sent
    aim_s: float = 0.0  # the route's objective for the first event
    tokens: int = 0
    to_read: int = 0  # tokens that the last worker was thought not to keep
    admitted_s: float = 0.0
    sent_s: float = 0.0  # to the last worker
    waiting_s: float = 0.0  # expected there for prompts sent before
    first_s: float = 0.0  # first event; 0: none
    end_s: float = 0.0
    pause_s: float = 0.0  # the longest between two events
    attempts: int = 0
    worker: str = ""
    out: int = 0  # this gateway's other attempts at the last worker
    failure: str = ""  # of the last attempt that failed
