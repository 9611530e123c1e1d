"""What the HTTP/1.1 server and client share: headers, the writing of heads and chunks, and one connection.

Heads are read by h11. They are written here: what is written was read by h11 before or is the program's own,
and checking it a second time would only cost processor time.
"""

import asyncio
import socket
import struct
from collections.abc import Iterable
from http import HTTPStatus

from pewterring.standalone.http.messages import HOP_BY_HOP
from pewterring.standalone.network.connection import Connection

Headers = list[tuple[bytes, bytes]]  # names and values as sent

CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CLOSE_HEADER = (b"Connection", b"close")
CHUNKED_HEADER = (b"Transfer-Encoding", b"chunked")
MISDIRECTED = 421  # another process is at the address now
BODILESS_STATUSES = (204, 304)
WRITE_HIGH_WATER_BYTES = 64 * 1024  # above this, writers are asked to wait
LINGER_NONE = struct.pack("ii", 1, 0)  # closing resets

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


def first_values(headers: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """The first value of each header, by its name in lower case."""
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        fields.setdefault(name.lower(), value)
    return fields


def list_members(headers: Iterable[tuple[bytes, bytes]], wanted: bytes) -> set[bytes]:
    """The members, in lower case, of a header whose value is a comma-separated list."""
    values = [value for name, value in headers if name.lower() == wanted]
    return {member.strip().lower() for value in values for member in value.split(b",")}


def end_to_end_headers(headers: Headers) -> Headers:
    """The headers that may be passed on: not those of one connection, nor those that `Connection` names."""
    dropped = HOP_BY_HOP | list_members(headers, b"connection")
    return [header for header in headers if header[0].lower() not in dropped]


def encode_headers(headers: Headers) -> bytes:
    """The lines of the headers and the empty line after them."""
    lines = [b"%b: %b\r\n" % header for header in headers]
    lines.append(CRLF)
    return b"".join(lines)


def encode_answer_head(status: int, headers: Headers) -> bytes:
    """Status line and headers of an answer."""
    line = _STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status
    return line + encode_headers(headers)


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """A whole request. `headers` holds no framing; `Content-Length` is added where there is a body."""
    framing = [(b"Content-Length", b"%d" % len(body))] if body or method in ("POST", "PUT", "PATCH") else []
    line = f"{method} {target} HTTP/1.1\r\n".encode("latin-1")
    return line + encode_headers(headers + framing) + body


def encode_chunk(data: bytes) -> bytes:
    """One chunk. `data` is not empty: an empty chunk would be the last one."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class HttpConnection(Connection):
    """A connection that reads into the shared buffer and tells when its writers should wait."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of `asyncio.BufferedProtocol`."""
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    def reset(self) -> None:
        """Closes at once; what the other side has not got yet of our bytes is dropped."""
        connection = self.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.transport.abort()

    def received(self, data: memoryview) -> None:
        """Part of `Connection`."""
        self.data_received(bytes(data))

    def data_received(self, data: bytes) -> None:
        """Bytes came from the other side."""
        raise NotImplementedError
