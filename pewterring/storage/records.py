"""Checksummed records, the unit of all files of this package.

A record is a header and a payload. The header holds a marker, the payload's length, the number of the batch
that the record was written in, and a CRC-32 of everything else. The marker says whether the record is the
last of its batch. Reading never raises: what is not a valid record is none, and whoever reads decides whether
that is damage.
"""

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

MARKER_BYTE = b"\xf5"  # never occurs in UTF-8 text, so not in payloads of JSON
INNER_MARKER = MARKER_BYTE + b"r"  # more records of the batch follow
LAST_MARKER = MARKER_BYTE + b"L"  # the batch is complete
_FIELDS = struct.Struct(">2sII")  # marker, length, batch
_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Record:
    """One valid record; `end` is the offset at which the next one starts."""

    payload: bytes
    batch: int
    is_last: bool  # of its batch
    end: int  # bytes


def encode_record(payload: bytes, batch: int = 0, is_last: bool = True) -> bytes:
    """The bytes of one record."""
    fields = _FIELDS.pack(LAST_MARKER if is_last else INNER_MARKER, len(payload), batch)
    checksum = zlib.crc32(payload, zlib.crc32(fields))
    return fields + _CHECKSUM.pack(checksum) + payload


def encode_batch(payloads: Sequence[bytes], batch: int) -> bytes:
    """The bytes of records that are written at once."""
    records = [encode_record(payload, batch, is_last=False) for payload in payloads[:-1]]
    records.append(encode_record(payloads[-1], batch))
    return b"".join(records)


def read_record(data: bytes, offset: int) -> Record | None:
    """The record at `offset`, or None where there is no valid one."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    marker, length, batch = _FIELDS.unpack_from(data, offset)
    end = start + length
    if marker not in (INNER_MARKER, LAST_MARKER) or end > len(data):
        return None
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _FIELDS.size)
    payload = data[start:end]
    if zlib.crc32(payload, zlib.crc32(data[offset : offset + _FIELDS.size])) != checksum:
        return None
    return Record(payload, batch, marker == LAST_MARKER, end)


def has_later_batch(data: bytes, offset: int, batch: int) -> bool:
    """Whether behind `offset` there is a valid record of a batch after `batch`.

    Such a record was written after the batch before it had been synced: what is unreadable at `offset` was
    then damaged later, and is not the trace of a write that a crash interrupted.
    """
    position = data.find(MARKER_BYTE, offset)
    while position >= 0:
        record = read_record(data, position)
        if record is not None and record.batch > batch:
            return True
        position = data.find(MARKER_BYTE, position + 1)
    return False
