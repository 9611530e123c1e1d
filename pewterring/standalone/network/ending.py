"""How connections and exchanges can end, and the code that each ending reports to the policy."""

from enum import Enum

from pewterring.standalone.http.messages import Response
from pewterring.standalone.policy.interface import Code


class Ending(Enum):
    """The member names are keys of the status report; the values are texts for logs."""

    # An exchange with a worker
    SERVED = "complete response with status 200"
    TURNED_AWAY = "response 503 or 504 that says the request has not run"
    ERROR = "complete response with another status"
    REFUSED = "connection refused"
    NEVER_UP = "connection not established in time, or the worker no longer accepts new requests"
    NO_DESCRIPTOR = "no file descriptor left for a connection"
    BROKEN_EARLY = "connection lost before the request was completely written"
    RESET = "connection lost before the response began"
    CUT = "connection lost within the response"
    MALFORMED = "malformed response"
    STALLED = "response stalled before it was complete"
    NO_ROOM = "buffer limit for incomplete responses or client requests exceeded"
    TIMED_OUT = "timed out without a response"
    CANCELLED = "cancelled: the response is no longer needed"
    TOO_LATE = "not sent completely: the request had ended, used all its attempts or cannot be sent"
    UNKNOWN = "not sent: no such worker"
    # A connection between exchanges
    CLOSED = "closed by the other side without an error"
    SPOKE = "unexpected data from the other side"
    STALE = "idle for too long"
    SHED = "closed to free its file descriptor"
    LEFT = "closed: the other side is no longer in use"
    # A client's connection
    CLIENT_GONE = "client disconnected before its response"
    UNREADABLE = "malformed request from the client"
    UNFINISHED = "client request not complete in time"
    DONE = "closed after the last response"


# The code reported for an attempt; None where no attempt can end so. A request that may have reached a worker
# completely may have run: only endings before that point map to codes that rule this out.
CODES: dict[Ending, Code | None] = {
    Ending.SERVED: Code.OK,
    Ending.TURNED_AWAY: Code.RESOURCE_EXHAUSTED,
    Ending.ERROR: Code.INTERNAL,
    Ending.REFUSED: Code.UNAVAILABLE,
    Ending.NEVER_UP: Code.UNAVAILABLE,
    Ending.NO_DESCRIPTOR: Code.UNAVAILABLE,
    Ending.BROKEN_EARLY: Code.UNAVAILABLE,
    Ending.RESET: Code.ABORTED,
    Ending.CUT: Code.ABORTED,
    Ending.MALFORMED: Code.ABORTED,
    Ending.STALLED: Code.ABORTED,
    Ending.NO_ROOM: Code.ABORTED,
    Ending.TIMED_OUT: Code.DEADLINE_EXCEEDED,
    Ending.CANCELLED: Code.CANCELLED,
    Ending.TOO_LATE: Code.TOO_LATE,
    Ending.UNKNOWN: Code.UNAVAILABLE,
    Ending.CLOSED: None,
    Ending.SPOKE: None,
    Ending.STALE: None,
    Ending.SHED: None,
    Ending.LEFT: None,
    Ending.CLIENT_GONE: None,
    Ending.UNREADABLE: None,
    Ending.UNFINISHED: None,
    Ending.DONE: None,
}
# After these endings other connections to the same worker may be dead too, although that has not shown yet.
SUSPECT = frozenset({Ending.REFUSED, Ending.NEVER_UP, Ending.RESET})


def of_answer(response: Response) -> Ending:
    """Classifies a complete response of a worker."""
    if response.status == 200:
        return Ending.SERVED
    if response.status in (503, 504) and response.get(b"x-not-run") == b"1":
        return Ending.TURNED_AWAY
    return Ending.ERROR
