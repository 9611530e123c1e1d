"""Messages between control machines, besides those of consensus and of the feed, as JSON lines."""

import msgspec


class JoinGroup(msgspec.Struct, frozen=True, tag=True):
    """Requests to be admitted to the control group; sent again until the member is a voter."""

    member: str
    forwarded: bool = False  # by a follower; it is not forwarded again


class RelayedCall(msgspec.Struct, frozen=True, tag=True):
    """A call of the operator or a worker that reached a follower; `body` is base64.

    `term` and `round` are of the leader's last message to the follower before this one was made: the leader
    knows by its own clock when it sent that round, and so for how long at most the call was on the way.
    """

    method: str
    path: str
    base_version: str = ""  # header Base-Version
    body: bytes = b""
    term: int = 0
    round: int = 0  # leaders count from 1: a call without it is too old


class RelayedAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answers `RelayedCall`; `body` is base64.

    With `not_leading` nothing was done, and the call is to be sent to another machine. With `too_old` nothing
    was done either: the call may have been on the way for too long. `term` and `round` are then the leader's
    newest, with which it may be sent anew.
    """

    status: int
    body: bytes = b""
    not_leading: bool = False
    too_old: bool = False
    term: int = 0
    round: int = 0


CONTROL_MESSAGES = (JoinGroup, RelayedCall, RelayedAnswer)
