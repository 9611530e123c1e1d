"""Checksummed records, used in all files of this package.

A record is a header and a payload. The header holds a marker, the payload's length, the number of the batch
that the record was written in, and a CRC-32 of everything else. The marker says whether the record is the
last of its batch. Reading never raises an error: it returns None for an invalid record, and the caller
decides whether that means corruption.
"""

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

MARKER_BYTE = b"\xf5"  # never occurs in UTF-8 text, hence not in JSON payloads
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
    is_last: bool  # whether it is the last record of its batch
    end: int  # offset in bytes


def encode_record(payload: bytes, batch: int = 0, is_last: bool = True) -> bytes:
    """Returns the encoding of one record."""
    fields = _FIELDS.pack(LAST_MARKER if is_last else INNER_MARKER, len(payload), batch)
    checksum = zlib.crc32(payload, zlib.crc32(fields))
    return fields + _CHECKSUM.pack(checksum) + payload


def encode_batch(payloads: Sequence[bytes], batch: int) -> bytes:
    """Returns the encoding of the records of one batch; `payloads` must not be empty."""
    records = [encode_record(payload, batch, is_last=False) for payload in payloads[:-1]]
    records.append(encode_record(payloads[-1], batch))
    return b"".join(records)


def read_record(data: bytes, offset: int) -> Record | None:
    """Returns the record at `offset`, or None if there is no valid record."""
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
    """Returns whether there is a valid record of a batch later than `batch` at or after `offset`.

    Such a record was written only after the earlier batches had been synced. The unreadable data at `offset`
    is then corruption and not the remains of a write that a crash interrupted.
    """
    position = data.find(MARKER_BYTE, offset)
    while position >= 0:
        record = read_record(data, position)
        if record is not None and record.batch > batch:
            return True
        position = data.find(MARKER_BYTE, position + 1)
    return False
