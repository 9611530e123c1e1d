"""Incremental HTTP/1.1 parsers (RFC 9112) without I/O, with bounded memory. Input may be split at any byte.

The parsers are strict against request smuggling: input that two implementations could read as different
messages (bare line ends, folded headers, contradicting lengths) is rejected as malformed.
"""

import re
from enum import Enum
from typing import Generic, TypeVar

from pewterring.standalone.http.messages import Headers, Malformed, Request, Response

MAX_HEAD = 16 * 1024  # bytes of a start line with its headers
MAX_BODY = 64 * 1024  # bytes of a body, the limit of the protocol
MAX_ANSWER = 1024 * 1024  # bytes of a worker's response body; workers exceed MAX_BODY several times over
MAX_CHUNK_LINE = 256  # bytes of a chunk's size with its extensions
MAX_EMPTY_LINES = 16  # before a message
MAX_INTERIM = 8  # interim (1xx) responses before the final one
TOKEN, TEXT = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+", rb"[\t\x20-\x7e\x80-\xff]*"
METHOD = re.compile(TOKEN)
TARGET = re.compile(rb"[\x21-\x7e]+")
VERSION = re.compile(rb"HTTP/1\.[0-9]")
STATUS = re.compile(rb"(HTTP/1\.[0-9]) ([1-5][0-9][0-9])(?: %b)?" % TEXT)
# Matches all headers at once. Folded lines do not match: they begin with white space, which no name contains.
HEADERS = re.compile(rb"(?:%b:%b(?:\r\n|\Z))*" % (TOKEN, TEXT))
# Also matches values with control characters.
LENIENT_HEADERS = re.compile(rb"(?:%b:[^\r\n\0]*(?:\r\n|\Z))*" % TOKEN)
CONTROL = re.compile(rb"[\0-\x08\n-\x1f\x7f]")
FRAMING = frozenset({b"content-length", b"transfer-encoding", b"connection"})
DIGITS = re.compile(rb"[0-9]{1,15}")
HEX = re.compile(rb"[0-9A-Fa-f]{1,8}")

MessageT = TypeVar("MessageT", Request, Response)


class State(Enum):
    """The section of a message that the parser reads next."""

    HEAD = "head"
    FIXED = "a body of known length"
    CHUNK_LINE = "a chunk's size"
    CHUNK = "a chunk"
    CHUNK_END = "a chunk's end"
    TRAILER = "trailers"
    UNTIL_CLOSE = "a body that ends with the connection"


class Reader(Generic[MessageT]):
    """Common base of the request and response parsers: `feed` adds input, `next` returns messages."""

    def __init__(self, max_body: int = MAX_BODY) -> None:
        self.max_body = max_body  # bytes
        self.data = bytearray()  # input that is not parsed yet
        self.scanned = 0  # bytes of data already searched for the end of the head
        self.state = State.HEAD
        self.message: MessageT | None = None
        self.remaining = 0  # bytes of the body or chunk that are read next
        self.body = bytearray()  # chunks joined so far
        self.empty_lines = 0  # before the current message
        # Bytes of chunk lines and trailers, bounded because max_body does not limit many tiny chunks.
        self.overhead = 0

    @property
    def started(self) -> bool:
        """Whether an incomplete message or unparsed input is buffered."""
        return self.message is not None or bool(self.data)

    def feed(self, data: bytes | bytearray | memoryview) -> None:
        self.data += data

    def next(self) -> MessageT | None:
        """Returns the next complete message, None if more input is needed.

        Raises Malformed, after which the reader cannot be used any more.
        """
        while True:
            match self.state:
                case State.HEAD:
                    head = self.take_head()
                    if head is None:
                        return None
                    self.message = self.read_head(head)
                    if self.message is None:  # an interim response
                        continue
                    self.state = self.framing(self.message)
                case State.FIXED:
                    if len(self.data) < self.remaining:
                        return None
                    return self.complete(self.take(self.remaining))
                case State.CHUNK_LINE:
                    line = self.take_line(MAX_CHUNK_LINE)
                    if line is None:
                        return None
                    self.add_overhead(len(line))
                    size, _, extension = line.partition(b";")
                    size = size.rstrip(b" \t") if extension else size
                    if not HEX.fullmatch(size):
                        raise Malformed("a chunk's size is no number")
                    self.remaining = int(size, 16)
                    self.check_body_size(len(self.body) + self.remaining)
                    self.state = State.CHUNK if self.remaining else State.TRAILER
                case State.CHUNK:
                    if len(self.data) < self.remaining:
                        return None
                    self.body += self.take(self.remaining)
                    self.remaining, self.state = 0, State.CHUNK_END
                case State.CHUNK_END:
                    if len(self.data) < 2:
                        return None
                    if self.take(2) != b"\r\n":
                        raise Malformed("a chunk is longer than its size")
                    self.state = State.CHUNK_LINE
                case State.TRAILER:
                    line = self.take_line(MAX_HEAD)
                    if line is None:
                        return None
                    if not line:
                        return self.complete(bytes(self.body))
                    self.add_overhead(len(line))  # trailers are checked and discarded
                    read_headers(line)
                case State.UNTIL_CLOSE:
                    self.check_body_size(len(self.data))
                    return None

    def take_head(self) -> bytes | None:
        while self.data.startswith(b"\r\n"):  # RFC 9112, 2.2: skipped up to a limit
            del self.data[:2]
            self.empty_lines += 1
            if self.empty_lines > MAX_EMPTY_LINES:
                raise Malformed("nothing but empty lines")
        end = self.data.find(b"\r\n\r\n", max(0, self.scanned - 3))
        if end < 0:
            self.scanned = len(self.data)
            if self.scanned > MAX_HEAD:
                raise Malformed("the head is too long", 431)
            return None
        if end > MAX_HEAD:
            raise Malformed("the head is too long", 431)
        self.scanned = 0
        return self.take(end + 4)[:-4]

    def take_line(self, max_length: int) -> bytes | None:
        end = self.data.find(b"\r\n")
        if end > max_length or (end < 0 and len(self.data) > max_length + 1):
            raise Malformed("a line is too long")
        return None if end < 0 else self.take(end + 2)[:-2]

    def add_overhead(self, size: int) -> None:
        self.overhead += size + 2
        if self.overhead > MAX_HEAD:
            raise Malformed("the chunks' lines or the trailers are too long", 431)

    def take(self, size: int) -> bytes:
        taken = bytes(self.data[:size])
        del self.data[:size]
        return taken

    def check_body_size(self, size: int) -> None:
        if size > self.max_body:
            raise Malformed("the body is too long", 413)

    def complete(self, body: bytes) -> MessageT:
        message = self.message
        assert message is not None
        message.body = body
        self.message, self.state, self.remaining = None, State.HEAD, 0
        self.empty_lines = self.overhead = 0
        self.body.clear()
        return message

    def read_head(self, head: bytes) -> MessageT | None:
        raise NotImplementedError

    def framing(self, message: MessageT) -> State:
        raise NotImplementedError

    def body_framing(self, message: MessageT) -> State | None:
        """Returns the state in which the body is read; None if neither length nor coding is given."""
        length: int | None = None
        coded = False
        for name, value in message.headers:
            if name == b"content-length":
                if not DIGITS.fullmatch(value):
                    raise Malformed("Content-Length is no number")
                if length is not None and length != int(value):
                    raise Malformed("the lengths contradict each other")
                length = int(value)
            elif name == b"transfer-encoding":
                if coded or value.lower() != b"chunked":
                    raise Malformed("a transfer coding other than chunked", 501)
                coded = True
        if coded and length is not None:
            raise Malformed("both a length and a transfer coding")
        if coded:
            return State.CHUNK_LINE
        if length is None:
            return None
        self.check_body_size(length)
        self.remaining = length
        return State.FIXED


class RequestReader(Reader[Request]):
    """Parses requests."""

    def __init__(self) -> None:
        super().__init__()
        self.continued = False

    def wants_continue(self) -> bool:
        """Whether the client waits for 100 Continue before it sends the body; True once for each request."""
        unanswered = self.message is not None and not self.continued
        if not unanswered or self.message is None or self.message.get(b"expect") is None:
            return False
        self.continued = True
        return not self.data and not self.body

    def read_head(self, head: bytes) -> Request:
        first, _, rest = head.partition(b"\r\n")
        request_line = first.split(b" ")
        if (
            len(request_line) != 3
            or not METHOD.fullmatch(request_line[0])
            or not TARGET.fullmatch(request_line[1])
        ):
            raise Malformed("the request line cannot be read")
        if not VERSION.fullmatch(request_line[2]):
            raise Malformed("not HTTP/1", 505 if request_line[2].startswith(b"HTTP/") else 400)
        self.continued = False
        headers = read_headers(rest)
        return Request(
            request_line[0], request_line[1], headers, keep_alive=keeps_alive(request_line[2], headers)
        )

    def framing(self, message: Request) -> State:
        return self.body_framing(message) or State.FIXED  # without a length or coding a request has no body


class ResponseReader(Reader[Response]):
    """Parses responses. `bodiless`: the method of the request has no response bodies (HEAD)."""

    def __init__(self, bodiless: bool = False, max_body: int = MAX_BODY) -> None:
        super().__init__(max_body)
        self.bodiless = bodiless
        self.interim = 0

    def read_head(self, head: bytes) -> Response | None:
        first, _, rest = head.partition(b"\r\n")
        status_line = STATUS.fullmatch(first)
        if status_line is None:
            raise Malformed("the status line cannot be read")
        status, headers = int(status_line[2]), read_response_headers(rest)
        if status == 101:
            raise Malformed("101 Switching Protocols without an upgrade request")
        if status < 200:
            self.interim += 1
            if self.interim > MAX_INTERIM:
                raise Malformed("too many interim responses")
            return None
        return Response(status, headers, keep_alive=keeps_alive(status_line[1], headers))

    def framing(self, message: Response) -> State:
        state = self.body_framing(message)
        if self.bodiless or message.status in (204, 304):
            self.remaining = 0
            return State.FIXED
        if state is None:
            message.keep_alive = False
            return State.UNTIL_CLOSE
        return state

    def close(self) -> Response | None:
        """Returns the response whose body ends with the connection, None without one.

        To be called when the peer has closed the connection in an orderly way.
        """
        if self.state != State.UNTIL_CLOSE:
            return None
        self.check_body_size(len(self.data))
        return self.complete(self.take(len(self.data)))


def read_headers(lines: bytes) -> Headers:
    """Parses header lines strictly. Raises Malformed."""
    if not HEADERS.fullmatch(lines):
        raise Malformed("a header cannot be read")
    return split_headers(lines)


def split_headers(lines: bytes) -> Headers:
    fields = (line.partition(b":") for line in lines.split(b"\r\n") if line)
    return [(name.lower(), value.strip(b" \t")) for name, _, value in fields]


def read_response_headers(lines: bytes) -> Headers:
    """Parses the headers of a response and drops those with control characters in their value.

    A malformed load report of a worker must not invalidate the response that carries it. Raises Malformed if
    such a header frames the message.
    """
    if HEADERS.fullmatch(lines):
        return split_headers(lines)
    if not LENIENT_HEADERS.fullmatch(lines):
        raise Malformed("a header cannot be read")
    headers = split_headers(lines)
    if any(name in FRAMING and CONTROL.search(value) for name, value in headers):
        raise Malformed("the framing cannot be read")
    return [header for header in headers if not CONTROL.search(header[1])]


def keeps_alive(version: bytes, headers: Headers) -> bool:
    """Whether the connection stays open after the message."""
    connection_values = [value.lower() for name, value in headers if name == b"connection"]
    tokens = {token.strip() for value in connection_values for token in value.split(b",")}
    return b"close" not in tokens and (version != b"HTTP/1.0" or b"keep-alive" in tokens)
