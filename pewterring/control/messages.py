"""Messages between control machines, apart from those of consensus and the feed, as JSON lines."""

import msgspec


class JoinGroup(msgspec.Struct, frozen=True, tag=True):
    """Requests admission to the control group; repeated until the member is a voter."""

    member: str
    forwarded: bool = False  # whether a follower forwarded it; it is not forwarded a second time


class RelayedCall(msgspec.Struct, frozen=True, tag=True):
    """A call of an operator or a worker that a follower forwards to the leader; `body` is base64.

    `term` and `round` identify the newest heartbeat round of the leader that the follower knew. The leader
    knows by its own clock when it sent that round, and so how long the call can have taken at most.
    """

    method: str
    path: str
    base_version: str = ""  # value of the header Base-Version
    body: bytes = b""
    term: int = 0
    round: int = 0  # leaders count from 1, so a call without a round is too old


class RelayedAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answers `RelayedCall`; `body` is base64.

    With `not_leading` nothing was done, and the call should be sent to another machine. With `too_old`
    nothing was done either, because the call may have been delayed for too long. `term` and `round` are then
    the leader's newest heartbeat round, with which the call may be sent again.
    """

    status: int
    body: bytes = b""
    not_leading: bool = False
    too_old: bool = False
    term: int = 0
    round: int = 0


CONTROL_MESSAGES = (JoinGroup, RelayedCall, RelayedAnswer)
