"""Messages as small typed values, decoded once and encoded once."""

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]  # names in lower case, in the order they came

# What belongs to one connection or to the framing of one message is never passed on (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


class Malformed(ValueError):
    """A message that cannot be read; `status` is what a client that sent it is told."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


class Message:
    """What requests and responses share."""

    __slots__ = ()
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """The first value under a name given in lower case."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(slots=True)
class Request(Message):
    method: bytes
    target: bytes
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True


@dataclass(slots=True)
class Response(Message):
    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True


def end_to_end(
    headers: Headers, but: frozenset[bytes] = frozenset(), always: frozenset[bytes] = frozenset()
) -> Headers:
    """The headers that may be passed on: not those of one hop, nor those that Connection names, unless they
    are among `always`; none of `but`."""
    hop = HOP_BY_HOP | but
    for name, value in headers:
        if name == b"connection":
            hop |= {token.strip().lower() for token in value.split(b",")} - always
    return [header for header in headers if header[0] not in hop]
