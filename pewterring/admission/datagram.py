"""Admission heartbeats of one process for all services, as one datagram."""

import struct
import zlib
from collections.abc import Iterator, Mapping

from pewterring.standalone.peer_messages import HEARTBEAT_FORMAT

MAGIC = b"PA1"
GATEWAY, BATCH = 0, 1  # what kind of process speaks
HEAD = struct.Struct(">3sBH")
SERVICE = struct.Struct(">I")
ENTRY_BYTES = SERVICE.size + HEARTBEAT_FORMAT.size


def service_number(name: str) -> int:
    """What a service is called in heartbeats."""
    return zlib.crc32(name.encode())


def write_heartbeat(kind: int, beats: Mapping[int, bytes]) -> bytes:
    """One datagram: the kind of process, and by service number its beat."""
    parts = [HEAD.pack(MAGIC, kind, len(beats))]
    for number, beat in beats.items():
        parts.append(SERVICE.pack(number) + beat)
    return b"".join(parts)


def read_heartbeat(data: bytes) -> tuple[int, Iterator[tuple[int, bytes]]] | None:
    """The kind and the beats; None where the bytes are no heartbeat."""
    if len(data) < HEAD.size:
        return None
    magic, kind, count = HEAD.unpack_from(data)
    if magic != MAGIC or kind not in (GATEWAY, BATCH) or len(data) != HEAD.size + count * ENTRY_BYTES:
        return None
    return kind, _beats(data, count)


def _beats(data: bytes, count: int) -> Iterator[tuple[int, bytes]]:
    for n in range(count):
        start = HEAD.size + n * ENTRY_BYTES
        (number,) = SERVICE.unpack_from(data, start)
        yield number, data[start + SERVICE.size : start + ENTRY_BYTES]
