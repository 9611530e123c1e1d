"""How connections and exchanges can end, and the code that each ending reports to the policy."""

from enum import Enum

from pewterring.standalone.http.messages import Response
from pewterring.standalone.policy.interface import Code


class Ending(Enum):
    """The member names are keys of the status report; the values are texts for logs."""

    # An exchange with a worker
    SERVED = "a whole 200"
    TURNED_AWAY = "a 503 or 504 that says it has not run"
    ERROR = "any other whole answer"
    REFUSED = "the connection was refused"
    NEVER_UP = "the connection did not come up in time, or its worker was to get nothing new by then"
    NO_DESCRIPTOR = "no descriptor was left for a connection"
    BROKEN_EARLY = "it broke before the last byte of the request was written"
    RESET = "it broke before an answer began"
    CUT = "it broke within an answer"
    MALFORMED = "the answer could not be read"
    STALLED = "the answer began and its rest did not come"
    NO_ROOM = "no memory was left for the rest of the answer, or of a client's request"
    TIMED_OUT = "nothing came in time"
    CANCELLED = "given up, as the answer is no longer wanted"
    TOO_LATE = "never begun, or not whole: its request was over, had all its attempts or cannot be sent"
    UNKNOWN = "never begun: no such worker"
    # A connection between exchanges
    CLOSED = "the other side closed it in good order"
    SPOKE = "the other side spoke out of turn"
    STALE = "it stood idle for too long"
    SHED = "its descriptor was needed"
    LEFT = "the other side is no longer wanted"
    # A client's connection
    CLIENT_GONE = "the client went away before its answer"
    UNREADABLE = "the client's request could not be read"
    UNFINISHED = "the client's request did not come whole in time"
    DONE = "the last answer on it was given"


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
