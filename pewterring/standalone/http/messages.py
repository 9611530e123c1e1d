"""HTTP request and response types, shared by the parsers and the serializers."""

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]  # names in lower case, in order of arrival

# Headers that belong to one connection or frame one message are never forwarded (RFC 9110, 7.6.1).
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
    """A message that cannot be parsed. `status` is that of the response to the client that sent it."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


class Message:
    """Common base of requests and responses."""

    __slots__ = ()
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of the first header called `name` (lower case), None without one."""
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
    headers: Headers, excluded: frozenset[bytes] = frozenset(), exempt: frozenset[bytes] = frozenset()
) -> Headers:
    """Returns the headers that may be forwarded.

    Hop-by-hop headers, those in `excluded` and those named by a Connection header are left out. Naming a
    header in Connection has no effect if it is in `exempt`.
    """
    hop_by_hop = HOP_BY_HOP | excluded
    for name, value in headers:
        if name == b"connection":
            hop_by_hop |= {token.strip().lower() for token in value.split(b",")} - exempt
    return [header for header in headers if header[0] not in hop_by_hop]
