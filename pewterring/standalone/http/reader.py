"""Incremental parsers of HTTP/1.1 (RFC 9112), sans-I/O and bounded. Fed bytes as they come, split anywhere.

They are strict: what two readers could take for different messages (bare line ends, folded headers, lengths
that contradict each other) is malformed, so that nothing can be smuggled past one of them to the other.
"""

import re
from enum import Enum
from typing import Generic, TypeVar

from pewterring.standalone.http.messages import Headers, Malformed, Request, Response

MAX_HEAD = 16 * 1024
MAX_BODY = 64 * 1024  # the protocol's bound
MAX_ANSWER = 1024 * 1024  # of an answer's body: workers go past that bound, several times over
MAX_CHUNK_LINE = 256
MAX_BLANK = 16  # empty lines before a message
MAX_INTERIM = 8  # interim answers before the one that counts
TOKEN, TEXT = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+", rb"[\t\x20-\x7e\x80-\xff]*"
METHOD = re.compile(TOKEN)
TARGET = re.compile(rb"[\x21-\x7e]+")
VERSION = re.compile(rb"HTTP/1\.[0-9]")
STATUS = re.compile(rb"(HTTP/1\.[0-9]) ([1-5][0-9][0-9])(?: %b)?" % TEXT)
# All headers of a head at once. A folded line begins with white space, which no name holds.
HEADERS = re.compile(rb"(?:%b:%b(?:\r\n|\Z))*" % (TOKEN, TEXT))
LOOSE = re.compile(rb"(?:%b:[^\r\n\0]*(?:\r\n|\Z))*" % TOKEN)  # with control characters in values
CONTROL = re.compile(rb"[\0-\x08\n-\x1f\x7f]")
FRAMING = frozenset({b"content-length", b"transfer-encoding", b"connection"})
DIGITS = re.compile(rb"[0-9]{1,15}")
HEX = re.compile(rb"[0-9A-Fa-f]{1,8}")

M = TypeVar("M", Request, Response)


class Part(Enum):
    HEAD = "head"
    FIXED = "a body of known length"
    CHUNK_LINE = "a chunk's size"
    CHUNK = "a chunk"
    CHUNK_END = "a chunk's end"
    TRAILER = "trailers"
    UNTIL_CLOSE = "a body that ends with the connection"


class Reader(Generic[M]):
    """The part that requests and responses share. `next` gives the whole messages one by one."""

    def __init__(self, most: int = MAX_BODY) -> None:
        self.most = most  # bytes of a body
        self.data = bytearray()
        self.scanned = 0
        self.part = Part.HEAD
        self.message: M | None = None
        self.left = 0
        self.body = bytearray()
        self.blank = 0  # empty lines before this message
        self.lines = 0  # bytes of its chunk lines and trailers: many tiny chunks are work without a body

    @property
    def started(self) -> bool:
        """Whether part of a message is there."""
        return self.message is not None or bool(self.data)

    def feed(self, data: bytes | bytearray | memoryview) -> None:
        self.data += data

    def next(self) -> M | None:
        """The next whole message, None while it is not there. Raises Malformed; the reader is spent then."""
        while True:
            match self.part:
                case Part.HEAD:
                    head = self.take_head()
                    if head is None:
                        return None
                    self.message = self.read_head(head)
                    if self.message is None:  # an interim answer
                        continue
                    self.part = self.framing(self.message)
                case Part.FIXED:
                    if len(self.data) < self.left:
                        return None
                    return self.whole(self.cut(self.left))
                case Part.CHUNK_LINE:
                    line = self.take_line(MAX_CHUNK_LINE)
                    if line is None:
                        return None
                    self.overhead(len(line))
                    size, _, extension = line.partition(b";")
                    size = size.rstrip(b" \t") if extension else size
                    if not HEX.fullmatch(size):
                        raise Malformed("a chunk's size is no number")
                    self.left = int(size, 16)
                    self.bound(len(self.body) + self.left)
                    self.part = Part.CHUNK if self.left else Part.TRAILER
                case Part.CHUNK:
                    if len(self.data) < self.left:
                        return None
                    self.body += self.cut(self.left)
                    self.left, self.part = 0, Part.CHUNK_END
                case Part.CHUNK_END:
                    if len(self.data) < 2:
                        return None
                    if self.cut(2) != b"\r\n":
                        raise Malformed("a chunk is longer than its size")
                    self.part = Part.CHUNK_LINE
                case Part.TRAILER:
                    line = self.take_line(MAX_HEAD)
                    if line is None:
                        return None
                    if not line:
                        return self.whole(bytes(self.body))
                    self.overhead(len(line))  # trailers are read and dropped
                    read_headers(line)
                case Part.UNTIL_CLOSE:
                    self.bound(len(self.data))
                    return None

    def take_head(self) -> bytes | None:
        while self.data.startswith(b"\r\n"):  # empty lines before a message are skipped, but not for ever
            del self.data[:2]
            self.blank += 1
            if self.blank > MAX_BLANK:
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
        return self.cut(end + 4)[:-4]

    def take_line(self, most: int) -> bytes | None:
        end = self.data.find(b"\r\n")
        if end > most or (end < 0 and len(self.data) > most + 1):
            raise Malformed("a line is too long")
        return None if end < 0 else self.cut(end + 2)[:-2]

    def overhead(self, size: int) -> None:
        self.lines += size + 2
        if self.lines > MAX_HEAD:
            raise Malformed("the chunks' lines or the trailers are too long", 431)

    def cut(self, size: int) -> bytes:
        piece = bytes(self.data[:size])
        del self.data[:size]
        return piece

    def bound(self, size: int) -> None:
        if size > self.most:
            raise Malformed("the body is too long", 413)

    def whole(self, body: bytes) -> M:
        message = self.message
        assert message is not None
        message.body = body
        self.message, self.part, self.left = None, Part.HEAD, 0
        self.blank = self.lines = 0
        self.body.clear()
        return message

    def read_head(self, head: bytes) -> M | None:
        raise NotImplementedError

    def framing(self, message: M) -> Part:
        raise NotImplementedError

    def lengths(self, message: M) -> Part | None:
        """How the headers frame the body; None where they say nothing of it."""
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
            return Part.CHUNK_LINE
        if length is None:
            return None
        self.bound(length)
        self.left = length
        return Part.FIXED


class RequestReader(Reader[Request]):
    def __init__(self) -> None:
        super().__init__()
        self.continued = False

    def wants_continue(self) -> bool:
        """True once for a request whose client waits for 100 before it sends the body."""
        waits = self.message is not None and not self.continued
        if not waits or self.message is None or self.message.get(b"expect") is None:
            return False
        self.continued = True
        return not self.data and not self.body

    def read_head(self, head: bytes) -> Request:
        first, _, rest = head.partition(b"\r\n")
        parts = first.split(b" ")
        if len(parts) != 3 or not METHOD.fullmatch(parts[0]) or not TARGET.fullmatch(parts[1]):
            raise Malformed("the request line cannot be read")
        if not VERSION.fullmatch(parts[2]):
            raise Malformed("not HTTP/1", 505 if parts[2].startswith(b"HTTP/") else 400)
        self.continued = False
        headers = read_headers(rest)
        return Request(parts[0], parts[1], headers, keep_alive=stays(parts[2], headers))

    def framing(self, message: Request) -> Part:
        return self.lengths(message) or Part.FIXED  # without either there is no body


class ResponseReader(Reader[Response]):
    """Reads answers; `bodiless` says that the request was one whose answers have no body (HEAD)."""

    def __init__(self, bodiless: bool = False, most: int = MAX_BODY) -> None:
        super().__init__(most)
        self.bodiless = bodiless
        self.interim = 0

    def read_head(self, head: bytes) -> Response | None:
        first, _, rest = head.partition(b"\r\n")
        line = STATUS.fullmatch(first)
        if line is None:
            raise Malformed("the status line cannot be read")
        status, headers = int(line[2]), read_answer_headers(rest)
        if status == 101:
            raise Malformed("an upgrade nobody asked for")
        if status < 200:
            self.interim += 1
            if self.interim > MAX_INTERIM:
                raise Malformed("nothing but interim answers")
            return None
        return Response(status, headers, keep_alive=stays(line[1], headers))

    def framing(self, message: Response) -> Part:
        framed = self.lengths(message)
        if self.bodiless or message.status in (204, 304):
            self.left = 0
            return Part.FIXED
        if framed is None:
            message.keep_alive = False
            return Part.UNTIL_CLOSE
        return framed

    def close(self) -> Response | None:
        """The connection has ended in good order: the answer that ends with it, if there is one."""
        if self.part != Part.UNTIL_CLOSE:
            return None
        self.bound(len(self.data))
        return self.whole(self.cut(len(self.data)))


def read_headers(lines: bytes) -> Headers:
    if not HEADERS.fullmatch(lines):
        raise Malformed("a header cannot be read")
    return split_headers(lines)


def split_headers(lines: bytes) -> Headers:
    parts = (line.partition(b":") for line in lines.split(b"\r\n") if line)
    return [(name.lower(), value.strip(b" \t")) for name, _, value in parts]


def read_answer_headers(lines: bytes) -> Headers:
    """Leaves away the fields that cannot be read (a worker's broken report of its load, say): the answer that
    they came with stands, as long as its framing can be read."""
    if HEADERS.fullmatch(lines):
        return split_headers(lines)
    if not LOOSE.fullmatch(lines):
        raise Malformed("a header cannot be read")
    headers = split_headers(lines)
    if any(name in FRAMING and CONTROL.search(value) for name, value in headers):
        raise Malformed("the framing cannot be read")
    return [header for header in headers if not CONTROL.search(header[1])]


def stays(version: bytes, headers: Headers) -> bool:
    """Whether the connection goes on after the message."""
    said = [value.lower() for name, value in headers if name == b"connection"]
    tokens = {token.strip() for value in said for token in value.split(b",")}
    return b"close" not in tokens and (version != b"HTTP/1.0" or b"keep-alive" in tokens)
