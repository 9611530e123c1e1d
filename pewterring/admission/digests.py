"""Digests of admission heartbeats: what many processes say of each service, summed, and their datagrams."""

import math
import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pewterring.standalone.peer_messages import Heartbeat

GROUP_MAGIC = b"PG1"  # of one group of processes, between relays
FLEET_MAGIC = b"PF1"  # of the whole fleet, from a relay to the members of its group
LIMIT_SAMPLES = 7  # quantiles that stand for the local limits of a group
MAX_BYTES = 1400  # of one datagram: fits an Ethernet packet with its headers
HEAD = struct.Struct(">3sIIIH")  # magic, group, incarnation, sequence, entries
GROUP_ENTRY = struct.Struct(f">IH4f{LIMIT_SAMPLES}f")
FLEET_ENTRY = struct.Struct(">IH5f")


class Digest(NamedTuple):
    """What a set of processes says of one service.

    `limits` are quantiles of the gateways' local limits, each standing for as many gateways as the others.
    `reserved` sums for each gateway the larger one of its share and its attempts out. Processes that run
    batch items count in `batch_out` only.
    """

    gateways: int
    limits: tuple[float, ...]
    out: float
    reserved: float
    demand: float
    batch_out: float


class Totals(NamedTuple):
    """What the whole fleet says of one service; `limit` is the lower median of local limits."""

    gateways: int
    limit: float
    out: float
    reserved: float
    demand: float
    batch_out: float


class DigestMessage(NamedTuple):
    """The content of one datagram: entries by service number."""

    magic: bytes
    group: int
    incarnation: int
    sequence: int
    digests: Mapping[int, Digest]
    totals: Mapping[int, Totals]


def summarize(gateways: Iterable[Heartbeat], batch: Iterable[Heartbeat]) -> Digest:
    """The digest of one service's beats."""
    beats = list(gateways)
    limits = sorted(beat.limit for beat in beats)
    return Digest(
        gateways=len(beats),
        limits=_quantiles(limits),
        out=sum(beat.out for beat in beats),
        reserved=sum(max(beat.share, beat.out) for beat in beats),
        demand=sum(beat.demand for beat in beats),
        batch_out=sum(beat.out for beat in batch),
    )


def _quantiles(limits: list[float]) -> tuple[float, ...]:
    """The middles of `LIMIT_SAMPLES` equal parts of a sorted list; few limits are given as they are."""
    count = len(limits)
    if count <= LIMIT_SAMPLES:
        return tuple(limits)
    return tuple(limits[(2 * part + 1) * count // (2 * LIMIT_SAMPLES)] for part in range(LIMIT_SAMPLES))


def merge(digests: Iterable[Digest]) -> Totals:
    """The totals over disjoint groups."""
    parts = list(digests)
    return Totals(
        gateways=sum(part.gateways for part in parts),
        limit=_lower_median(parts),
        out=sum(part.out for part in parts),
        reserved=sum(part.reserved for part in parts),
        demand=sum(part.demand for part in parts),
        batch_out=sum(part.batch_out for part in parts),
    )


def _lower_median(parts: list[Digest]) -> float:
    weighted = sorted((limit, part.gateways / len(part.limits)) for part in parts for limit in part.limits)
    half = sum(weight for _, weight in weighted) / 2
    passed = 0.0
    for limit, weight in weighted:
        passed += weight
        if passed >= half * (1 - 1e-9):
            return limit
    return 0.0


def write_group_digest(
    group: int, incarnation: int, sequence: int, digests: Mapping[int, Digest]
) -> list[bytes]:
    """Datagrams from a relay to the relays of other groups."""
    entries = []
    for number, digest in digests.items():
        unused = (-1.0,) * (LIMIT_SAMPLES - len(digest.limits))
        entries.append(
            GROUP_ENTRY.pack(
                number,
                digest.gateways,
                digest.out,
                digest.reserved,
                digest.demand,
                digest.batch_out,
                *digest.limits,
                *unused,
            )
        )
    return _datagrams(GROUP_MAGIC, group, incarnation, sequence, entries)


def write_fleet_digest(
    group: int, incarnation: int, sequence: int, totals: Mapping[int, Totals]
) -> list[bytes]:
    """Datagrams from a relay to the members of its group."""
    entries = [FLEET_ENTRY.pack(number, *total) for number, total in totals.items()]
    return _datagrams(FLEET_MAGIC, group, incarnation, sequence, entries)


def _datagrams(
    magic: bytes, group: int, incarnation: int, sequence: int, entries: list[bytes]
) -> list[bytes]:
    if not entries:
        return []
    fitting = (MAX_BYTES - HEAD.size) // len(entries[0])
    parts = [entries[first : first + fitting] for first in range(0, len(entries), fitting)]
    return [HEAD.pack(magic, group, incarnation, sequence, len(part)) + b"".join(part) for part in parts]


def read_digest(data: bytes) -> DigestMessage | None:
    """The message in a datagram; None where the bytes are no digest."""
    if len(data) < HEAD.size:
        return None
    magic, group, incarnation, sequence, count = HEAD.unpack_from(data)
    form = {GROUP_MAGIC: GROUP_ENTRY, FLEET_MAGIC: FLEET_ENTRY}.get(magic)
    if form is None or len(data) != HEAD.size + count * form.size:
        return None
    digests: dict[int, Digest] = {}
    totals: dict[int, Totals] = {}
    for number, gateways, *numbers in form.iter_unpack(data[HEAD.size :]):
        if not all(math.isfinite(value) for value in numbers):
            return None
        if magic == FLEET_MAGIC:
            totals[number] = Totals(gateways, *numbers)
        else:
            out, reserved, demand, batch_out, *limits = numbers
            known = tuple(limit for limit in limits if limit >= 0)
            digests[number] = Digest(gateways, known, out, reserved, demand, batch_out)
    return DigestMessage(magic, group, incarnation, sequence, digests, totals)
