"""Encoding and decoding of the messages that standalone gateways send each other.

The first byte distinguishes four kinds: heartbeats, which quota usage may follow, and the quota requests,
grants and releases that gateways exchange with the owner of an account. Each customer is served by
a set of gateways; the owner is the one of them that holds the customer's account for the whole set.
"""

import math
import struct
import zlib
from collections.abc import Iterator, Sequence
from typing import NamedTuple

HEARTBEAT_FORMAT = struct.Struct(">cIIfIff")
USAGE_FORMAT = struct.Struct(">QHHHhh")
REQUEST_FORMAT = struct.Struct(">cHQHHHeeee")
GRANT_FORMAT = struct.Struct(">cH??ee")
RELEASE_FORMAT = struct.Struct(">cHQe")
MAX_HALF_FLOAT = 65504.0  # the largest finite 16-bit float
# The first byte of each kind of message.
HEARTBEAT_TAG, REQUEST_TAG, GRANT_TAG, RELEASE_TAG = b"B", b"A", b"G", b"R"
MAX_MESSAGE_BYTES = 256
# Demand and spent units are sent in thousandths of the plan's refill rate and burst size, in 16-bit integers.
USAGE_SCALE = 1000
# Spent units are negative where a request was smaller than estimated and the difference was credited to a
# quota of which nothing was spent.
MAX_SCALED_USAGE = 32767
MAX_USAGE_ENTRIES = (MAX_MESSAGE_BYTES - HEARTBEAT_FORMAT.size) // USAGE_FORMAT.size  # after a heartbeat


def plan_number(plan: str) -> int:
    """The number of a plan on the wire: a hash of its name, as its position in the settings may change."""
    return zlib.crc32(plan.encode()) & 0xFFFF


class Heartbeat(NamedTuple):
    """A heartbeat: one gateway's concurrency limit, attempts in flight, quota share and demand."""

    incarnation: int
    sequence: int
    limit: float
    out: int  # attempts in flight
    share: float
    demand: float  # requests a second


class QuotaUsage(NamedTuple):
    """Usage of one customer's quota at the sender.

    `plan` is a `plan_number`; the customer's set is `size` gateways from number `first` on.
    """

    customer: int
    plan: int
    size: int
    first: int
    demand: float  # units a second, as a fraction of the plan's refill rate
    spent: float  # units, as a fraction of the plan's burst size


class QuotaRequest(NamedTuple):
    """A quota request: asks the owner of an account whether a request of its customer may be forwarded.

    `plan` is a `plan_number`; the customer's set is `size` gateways from number `first` on.
    """

    token: int  # chosen by the sender to match the answer
    customer: int
    plan: int
    size: int
    first: int
    units: float
    demand: float  # units that arrived at the sender since its last quota request
    spent: float  # fraction of the burst that is spent, as the sender knows it
    ungranted: (
        float  # fraction of the burst that the sender spent without a grant since the owner's last answer
    )


class QuotaGrant(NamedTuple):
    """The owner's answer to a quota request; `demand` and `spent` are those of the whole set."""

    token: int
    granted: bool
    pooled: bool  # whether its units of the hard limit came from the owner's half
    demand: float  # as a fraction of the plan's refill rate
    spent: float  # as a fraction of the plan's burst size


class QuotaRelease(NamedTuple):
    """A quota release: the request that a token was granted for has ended."""

    token: int
    customer: int
    extra: float  # units used beyond those granted; negative where fewer were used


FORMATS: dict[bytes, tuple[struct.Struct, type[QuotaRequest] | type[QuotaGrant] | type[QuotaRelease]]] = {
    REQUEST_TAG: (REQUEST_FORMAT, QuotaRequest),
    GRANT_TAG: (GRANT_FORMAT, QuotaGrant),
    RELEASE_TAG: (RELEASE_FORMAT, QuotaRelease),
}
TAGS = {kind: tag for tag, (_, kind) in FORMATS.items()}


def clamp_to_half_floats(values: tuple[float, ...]) -> tuple[float, ...]:
    """The fields with each float clamped to the range of a half-precision number."""
    return tuple(max(-MAX_HALF_FLOAT, min(MAX_HALF_FLOAT, x)) if isinstance(x, float) else x for x in values)


def encode_quota(message: QuotaRequest | QuotaGrant | QuotaRelease) -> bytes:
    """Encodes a quota request, grant or release; floats beyond the range of 16 bits are clamped to it."""
    tag = TAGS[type(message)]
    return FORMATS[tag][0].pack(tag, *clamp_to_half_floats(message))


def decode_quota(data: bytes) -> QuotaRequest | QuotaGrant | QuotaRelease | None:
    """Decodes a quota request, grant or release; None where the bytes are none of these or malformed."""
    layout, kind = FORMATS.get(data[:1], (None, None))
    if layout is None or kind is None or len(data) != layout.size:
        return None
    message = kind(*layout.unpack(data)[1:])
    if not all(math.isfinite(x) for x in message) or (
        isinstance(message, QuotaRequest) and message.units < 0
    ):
        return None
    return message


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encodes a heartbeat."""
    return HEARTBEAT_FORMAT.pack(HEARTBEAT_TAG, *heartbeat)


def decode_heartbeat(data: bytes) -> Heartbeat | None:
    """Decodes the heartbeat at the beginning of a message; None where the bytes are no heartbeat."""
    if data[:1] != HEARTBEAT_TAG or len(data) < HEARTBEAT_FORMAT.size:
        return None
    heartbeat = Heartbeat(*HEARTBEAT_FORMAT.unpack_from(data)[1:])
    return heartbeat if all(math.isfinite(x) and x >= 0 for x in heartbeat) else None


def encode_usage(entries: Sequence[QuotaUsage]) -> bytes:
    """Encodes quota usage, to be appended to a heartbeat."""
    scaled = (
        (
            *entry[:4],
            *(max(-MAX_SCALED_USAGE, min(MAX_SCALED_USAGE, round(x * USAGE_SCALE))) for x in entry[4:]),
        )
        for entry in entries
    )
    return b"".join(USAGE_FORMAT.pack(*entry) for entry in scaled)


def decode_usage(data: bytes) -> Iterator[QuotaUsage]:
    """Decodes the quota usage after a heartbeat; yields nothing where the message is truncated."""
    usage = data[HEARTBEAT_FORMAT.size :]
    if len(usage) % USAGE_FORMAT.size == 0:
        for customer, plan, size, first, demand, spent in USAGE_FORMAT.iter_unpack(usage):
            yield QuotaUsage(customer, plan, size, first, demand / USAGE_SCALE, spent / USAGE_SCALE)
