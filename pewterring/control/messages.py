"""Messages between control machines, besides those of consensus and of the feed."""

import msgspec


class JoinGroup(msgspec.Struct, frozen=True, tag=True):
    """Asks to be admitted to the control group; sent again until the member is a voter."""

    member: str
    forwarded: bool = False  # by a follower; it is not passed on again


class RelayedCall(msgspec.Struct, frozen=True, tag=True):
    """A call of the operator or a worker that reached a follower; `body` is base64."""

    method: str
    path: str
    base_version: str = ""  # header Base-Version
    body: bytes = b""


class RelayedAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answers `RelayedCall`. With `not_leading` nothing was done, and another machine is to be asked."""

    status: int
    body: bytes = b""
    not_leading: bool = False


CONTROL_MESSAGES = (JoinGroup, RelayedCall, RelayedAnswer)
