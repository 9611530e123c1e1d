"""Encoding of one process's admission heartbeats for all services in one datagram."""

import struct
import zlib
from collections.abc import Iterator, Mapping

from pewterring.standalone.peer_messages import HEARTBEAT_FORMAT

MAGIC = b"PA1"
GATEWAY, BATCH = 0, 1  # kinds of sending processes
HEAD = struct.Struct(">3sBH")
SERVICE = struct.Struct(">I")
ENTRY_BYTES = SERVICE.size + HEARTBEAT_FORMAT.size


def service_number(name: str) -> int:
    """Returns the number that identifies a service in heartbeats: a checksum of its name."""
    return zlib.crc32(name.encode())


def write_heartbeat(kind: int, heartbeats: Mapping[int, bytes]) -> bytes:
    """Encodes the kind of the sending process, and its heartbeat for each service number."""
    chunks = [HEAD.pack(MAGIC, kind, len(heartbeats))]
    for number, heartbeat in heartbeats.items():
        chunks.append(SERVICE.pack(number) + heartbeat)
    return b"".join(chunks)


def read_heartbeat(data: bytes) -> tuple[int, Iterator[tuple[int, bytes]]] | None:
    """Decodes the kind of process and its (service number, heartbeat) pairs; None if malformed."""
    if len(data) < HEAD.size:
        return None
    magic, kind, count = HEAD.unpack_from(data)
    if magic != MAGIC or kind not in (GATEWAY, BATCH) or len(data) != HEAD.size + count * ENTRY_BYTES:
        return None
    return kind, _entries(data, count)


def _entries(data: bytes, count: int) -> Iterator[tuple[int, bytes]]:
    for index in range(count):
        start = HEAD.size + index * ENTRY_BYTES
        (number,) = SERVICE.unpack_from(data, start)
        yield number, data[start + SERVICE.size : start + ENTRY_BYTES]
