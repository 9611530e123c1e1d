"""Checksummed records, the unit of all files of this package.

A record is a header and a payload. The header holds a mark, the payload's length, the number of the batch
that the record was written in, and a CRC-32 of all the rest. The mark says whether the record is the last of
its batch.
"""

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

MARK_BYTE = b"\xf5"  # never occurs in UTF-8 text, so not in payloads of JSON
INNER_MARK = MARK_BYTE + b"r"
LAST_MARK = MARK_BYTE + b"L"
_FIELDS = struct.Struct(">2sII")  # mark, length, batch
_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Record:
    """One valid record and where the next one starts."""

    payload: bytes
    batch: int
    is_last: bool  # of its batch
    end: int


def encode_record(payload: bytes, batch: int = 0, is_last: bool = True) -> bytes:
    """The bytes of one record."""
    fields = _FIELDS.pack(LAST_MARK if is_last else INNER_MARK, len(payload), batch)
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
    mark, length, batch = _FIELDS.unpack_from(data, offset)
    end = start + length
    if mark not in (INNER_MARK, LAST_MARK) or end > len(data):
        return None
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _FIELDS.size)
    payload = data[start:end]
    if zlib.crc32(payload, zlib.crc32(data[offset : offset + _FIELDS.size])) != checksum:
        return None
    return Record(payload, batch, mark == LAST_MARK, end)


def has_later_batch(data: bytes, offset: int, batch: int) -> bool:
    """Whether behind `offset` there is a valid record of a batch after `batch`."""
    position = data.find(MARK_BYTE, offset)
    while position >= 0:
        record = read_record(data, position)
        if record is not None and record.batch > batch:
            return True
        position = data.find(MARK_BYTE, position + 1)
    return False
