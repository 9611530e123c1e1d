"""Parser for one HTTP/1.1 answer, without I/O: h11 parses the head, the body is returned as it arrives."""

import re
from dataclasses import dataclass
from enum import Enum, auto

import h11

from pewterring.transport.http_common import BODILESS_STATUSES, CRLF, Headers, first_values, list_members

MAX_HEAD_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 16 * 1024
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;.*)?")
_PLAIN_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,6})", re.IGNORECASE)

# h11 parses an answer only after a request was sent. The real request is encoded elsewhere, so the parser
# gets a request that has the same effect on the answer's framing.
_HEAD_REQUEST = h11.Request(method="HEAD", target="/", headers=[("Host", "worker")])
_OTHER_REQUEST = h11.Request(method="GET", target="/", headers=[("Host", "worker")])
_END_OF_REQUEST = h11.EndOfMessage()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, without interim (1xx) answers."""

    status: int
    headers: Headers  # names and values as sent
    fields: dict[bytes, bytes]  # first value by name in lower case

    def get(self, name: bytes) -> bytes | None:
        """The first value of the header whose name in lower case is `name`."""
        return self.fields.get(name)

    @property
    def framed(self) -> bool:
        """Whether the headers determine where the body ends; otherwise it ends when the connection closes."""
        return b"transfer-encoding" in self.fields or b"content-length" in self.fields

    @property
    def keep_alive_s(self) -> int | None:
        """Keep-alive timeout announced by the server, in seconds, or None."""
        match = _KEEP_ALIVE_TIMEOUT.search(self.fields.get(b"keep-alive", b""))
        return int(match[1]) if match else None


class Framing(Enum):
    """How the end of a body is recognised."""

    LENGTH = auto()
    CHUNKED = auto()
    CLOSE = auto()


class _ChunkState(Enum):
    LINE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()


def _only_chunk(data: bytes) -> bytes:
    """Data of the chunk if `data` is exactly one chunk, as in most reads of event streams; else empty."""
    line = _PLAIN_CHUNK_LINE.match(data)
    if line is None or not data.endswith(CRLF):
        return b""
    start, size = line.end(), int(line[1], 16)
    return data[start : start + size] if len(data) == start + size + len(CRLF) else b""


class _ChunkedBody:
    """Decodes the chunked encoding. On malformed input `error` describes the problem."""

    __slots__ = ("_pending", "_remaining_bytes", "_state", "_trailer_bytes", "complete", "error")

    def __init__(self) -> None:
        self.complete = False
        self.error: str | None = None
        self._state = _ChunkState.LINE
        self._remaining_bytes = 0  # bytes of the current chunk still to come
        self._pending = b""  # an incomplete line
        self._trailer_bytes = 0

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns the body's bytes in `data` and the bytes after the end of the body."""
        if self._pending:
            data, self._pending = self._pending + data, b""
        if self._state is _ChunkState.LINE:
            chunk_data = _only_chunk(data)
            if chunk_data:
                return chunk_data, b""
        pieces: list[bytes] = []
        position, size = 0, len(data)
        while position < size and self.error is None and not self.complete:
            if self._state is _ChunkState.DATA:
                piece = data[position : position + self._remaining_bytes]
                pieces.append(piece)
                position += len(piece)
                self._remaining_bytes -= len(piece)
                if not self._remaining_bytes:
                    self._state = _ChunkState.DATA_END
                continue
            end = data.find(CRLF, position)
            if end < 0:
                self._keep_partial_line(data[position:])
                break
            self._take_line(data[position:end])
            position = end + len(CRLF)
        return b"".join(pieces), data[position:] if self.complete else b""

    def _keep_partial_line(self, line: bytes) -> None:
        if len(line) > MAX_CHUNK_LINE_BYTES:
            self.error = "a line between chunks is too long"
        elif self._state is _ChunkState.DATA_END and line != b"\r":
            self.error = "a chunk is longer than its size"
        self._pending = line

    def _take_line(self, line: bytes) -> None:
        if self._state is _ChunkState.LINE:
            self._take_size(line)
        elif self._state is _ChunkState.DATA_END:
            self._state = _ChunkState.LINE
            if line:
                self.error = "a chunk is longer than its size"
        elif not line:
            self.complete = True
        else:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_TRAILER_BYTES:
                self.error = "the trailers are too long"

    def _take_size(self, line: bytes) -> None:
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            self.error = "a chunk's size is not a number"
            return
        self._remaining_bytes = int(match[1], 16)
        self._state = _ChunkState.DATA if self._remaining_bytes else _ChunkState.TRAILER


class AnswerReader:
    """Parses one answer. What was parsed before `error` was set stays valid."""

    def __init__(self, method: str) -> None:
        self.head: AnswerHead | None = None
        self.complete = False
        self.reusable = False  # whether the connection may carry another request, once the answer is complete
        self.surplus = False  # whether bytes came after the answer
        self.error: str | None = None
        self._method = method
        self._parser: h11.Connection | None = _parser_after_request(method)
        self._framing = Framing.CLOSE
        self._remaining_bytes = 0
        self._chunks = _ChunkedBody()

    def feed(self, data: bytes) -> bytes:
        """Parses received bytes and returns those of the body."""
        if not data:
            return b""
        if self.head is None:
            data = self._feed_head(data)
            if self.head is None or self.error is not None:
                return b""
        return self._feed_body(data)

    def end_of_input(self) -> None:
        """Handles an orderly end of the input, which completes an answer without framing headers."""
        if self.head is not None and self._framing is Framing.CLOSE and self.error is None:
            self.complete = True
        elif not self.complete and self.error is None:
            self.error = "the connection closed early"

    def _feed_head(self, data: bytes) -> bytes:
        parser = self._parser
        assert parser is not None
        parser.receive_data(data)
        try:
            event = parser.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = parser.next_event()
        except h11.RemoteProtocolError as error:
            self.error = str(error)
            return b""
        if not isinstance(event, h11.Response):
            return b""
        surplus_bytes = parser.trailing_data[0]
        self._parser = None
        self._take_head(event)
        return surplus_bytes

    def _take_head(self, event: h11.Response) -> None:
        headers = event.headers
        fields = first_values(headers)
        self.head = AnswerHead(event.status_code, list(headers.raw_items()), fields)
        closes = b"connection" in fields and b"close" in list_members(headers, b"connection")
        self.reusable = event.http_version == b"1.1" and not closes
        if self._method == "HEAD" or event.status_code in BODILESS_STATUSES:
            self._framing = Framing.LENGTH
        elif b"transfer-encoding" in fields:
            self._framing = Framing.CHUNKED
            self.reusable = self.reusable and b"content-length" not in fields  # two lengths: one is wrong
        elif b"content-length" in fields:
            self._framing, self._remaining_bytes = Framing.LENGTH, int(fields[b"content-length"])
        else:
            self.reusable = False

    def _feed_body(self, data: bytes) -> bytes:
        if self._framing is Framing.CLOSE:
            return data
        if self._framing is Framing.CHUNKED:
            body, surplus_bytes = self._chunks.feed(data)
            self.complete, self.error = self._chunks.complete, self._chunks.error
        else:
            body, surplus_bytes = data[: self._remaining_bytes], data[self._remaining_bytes :]
            self._remaining_bytes -= len(body)
            self.complete = not self._remaining_bytes
        self.surplus = bool(surplus_bytes)
        return body


def _parser_after_request(method: str) -> h11.Connection:
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    parser.send(_HEAD_REQUEST if method == "HEAD" else _OTHER_REQUEST)
    parser.send(_END_OF_REQUEST)
    return parser
