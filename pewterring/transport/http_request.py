"""Parser for one HTTP/1.1 request on top of h11, without I/O."""

from dataclasses import dataclass

import h11

from pewterring.transport.http_common import Headers, first_values, list_members
from pewterring.transport.line_errors import TransportError

HEADER_OVERHEAD_BYTES = 4  # colon, space and line end of one header
REQUEST_LINE_OVERHEAD_BYTES = 14  # two spaces, the version, line end and the empty line
PARSER_LIMIT_BYTES = 1024 * 1024  # above any configured head limit, which is checked in this module
MAX_EMPTY_LINE_BYTES = 64  # empty lines accepted before a request line


class RequestRejectedError(TransportError):
    """A request that is rejected with the answer `status`."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size limits and timeouts for requests of a client."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request whose body may not have arrived yet."""

    target: str  # path and query as sent
    fields: dict[bytes, bytes]  # first value by name in lower case
    host: str  # lower case, without port

    def get(self, name: bytes) -> bytes | None:
        """The first value of the header whose name in lower case is `name`."""
        return self.fields.get(name)


@dataclass(slots=True)
class ServerRequest:
    """A request that was read completely."""

    method: str
    target: str  # path and query as sent
    headers: Headers  # names and values as sent
    fields: dict[bytes, bytes]  # first value by name in lower case
    host: str  # lower case, without port
    body: bytes
    received_at: float  # monotonic time in seconds at which its first byte was read
    keep_alive: bool
    http_version: bytes

    def get(self, name: bytes) -> bytes | None:
        """The first value of the header whose name in lower case is `name`."""
        return self.fields.get(name)


def host_name(value: bytes) -> str:
    """Returns the host of a `Host` header in lower case, without port."""
    text = value.decode("latin-1").strip().lower()
    if text.startswith("["):
        return text.partition("]")[0] + "]"
    return text.partition(":")[0]


class RequestReader:
    """Parses one request. Each request gets a new reader with the limits in force at that time."""

    def __init__(self, limits: ServerLimits, received_at: float) -> None:
        self._limits = limits
        self.received_at = received_at
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=PARSER_LIMIT_BYTES)
        self._head: h11.Request | None = None
        self._head_bytes = 0  # bytes read while the head is incomplete
        self._empty_line_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def has_head(self) -> bool:
        """Whether the head has been read."""
        return self._head is not None

    def head(self) -> RequestHead:
        """Returns the head; call only once it has been read."""
        assert self._head is not None
        fields = first_values(self._head.headers)
        return RequestHead(self._head.target.decode("ascii"), fields, host_name(fields.get(b"host", b"")))

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before it sends the body."""
        return self._head is not None and self._parser.they_are_waiting_for_100_continue

    @property
    def surplus(self) -> bytes:
        """Bytes after the request, which belong to the next one."""
        return self._parser.trailing_data[0]

    def feed(self, data: bytes) -> ServerRequest | None:
        """Parses received bytes; returns the request once complete. Raises RequestRejectedError."""
        if self._head is None:
            data = self._without_empty_lines(data)
            if not data:
                return None
            self._head_bytes += len(data)
        self._parser.receive_data(data)
        try:
            return self._read_events()
        except h11.RemoteProtocolError as error:
            raise RequestRejectedError(error.error_status_hint, str(error)) from error

    def _without_empty_lines(self, data: bytes) -> bytes:
        if self._head_bytes or data[0] not in b"\r\n":
            return data
        rest = data.lstrip(b"\r\n")
        self._empty_line_bytes += len(data) - len(rest)
        if self._empty_line_bytes > MAX_EMPTY_LINE_BYTES:
            raise RequestRejectedError(400, "nothing but empty lines")
        return rest

    def _read_events(self) -> ServerRequest | None:
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._check_incomplete_head()
                return None
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self._request()
            else:
                raise RequestRejectedError(400, f"unexpected {event!r}")

    def _check_incomplete_head(self) -> None:
        if self._head is None and self._head_bytes > self._limits.max_header_bytes:
            raise RequestRejectedError(431, "the head is too long")

    def _take_head(self, head: h11.Request) -> None:
        if head.http_version not in (b"1.1", b"1.0"):
            raise RequestRejectedError(400, "not HTTP/1.1")
        if self._head_bytes > self._limits.max_header_bytes:  # the count may include bytes of the body
            self._check_head(head)
        self._head = head
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.max_body_bytes:
                raise RequestRejectedError(413, "the body is too long")

    def _check_head(self, head: h11.Request) -> None:
        size = len(head.method) + len(head.target) + REQUEST_LINE_OVERHEAD_BYTES
        size += sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in head.headers)
        if size > self._limits.max_header_bytes:
            raise RequestRejectedError(431, "the head is too long")

    def _take_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            raise RequestRejectedError(413, "the body is too long")
        self._body.append(data)

    def _request(self) -> ServerRequest:
        head = self._head
        assert head is not None
        fields = first_values(head.headers)
        closes = b"connection" in fields and b"close" in list_members(head.headers, b"connection")
        return ServerRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=list(head.headers.raw_items()),
            fields=fields,
            host=host_name(fields.get(b"host", b"")),
            body=b"".join(self._body),
            received_at=self.received_at,
            keep_alive=head.http_version == b"1.1" and not closes,
            http_version=head.http_version,
        )
