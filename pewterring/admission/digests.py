"""Digests: admission heartbeats of many processes, summed for each service, and their encoding."""

import math
import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pewterring.standalone.peer_messages import Heartbeat

GROUP_MAGIC = b"PG1"  # digest of one group of processes, sent between relays
FLEET_MAGIC = b"PF1"  # totals of the whole fleet, sent from a relay to the members of its group
LIMIT_SAMPLES = 7  # quantiles that represent the local limits of a group
MAX_BYTES = 1400  # size of one datagram: fits an Ethernet packet with all headers
HEAD = struct.Struct(">3sIIIH")  # magic, group, incarnation, sequence, number of entries
GROUP_ENTRY = struct.Struct(f">IH4f{LIMIT_SAMPLES}f")
FLEET_ENTRY = struct.Struct(">IH5f")


class Digest(NamedTuple):
    """Summed heartbeats of a group of processes for one service.

    `limits` are quantiles of the gateways' local limits; each represents the same number of gateways.
    `reserved` sums, over the gateways, the larger of the share and the attempts in flight. Processes that run
    batch items count in `batch_in_flight` only.
    """

    gateways: int
    limits: tuple[float, ...]
    in_flight: float
    reserved: float
    demand: float
    batch_in_flight: float


class Totals(NamedTuple):
    """Summed heartbeats of the whole fleet for one service; `limit` is the lower median of local limits."""

    gateways: int
    limit: float
    in_flight: float
    reserved: float
    demand: float
    batch_in_flight: float


class DigestMessage(NamedTuple):
    """The decoded content of one datagram: digests or totals by service number."""

    magic: bytes
    group: int
    incarnation: int
    sequence: int
    digests: Mapping[int, Digest]
    totals: Mapping[int, Totals]


def summarize(gateways: Iterable[Heartbeat], batch: Iterable[Heartbeat]) -> Digest:
    """Sums the heartbeats of one service, from gateways and from processes that run batch items."""
    heartbeats = list(gateways)
    limits = sorted(heartbeat.limit for heartbeat in heartbeats)
    return Digest(
        gateways=len(heartbeats),
        limits=_quantiles(limits),
        in_flight=sum(heartbeat.out for heartbeat in heartbeats),
        reserved=sum(max(heartbeat.share, heartbeat.out) for heartbeat in heartbeats),
        demand=sum(heartbeat.demand for heartbeat in heartbeats),
        batch_in_flight=sum(heartbeat.out for heartbeat in batch),
    )


def _quantiles(limits: list[float]) -> tuple[float, ...]:
    """Returns the middles of `LIMIT_SAMPLES` equal sections of a sorted list; a short list is unchanged."""
    count = len(limits)
    if count <= LIMIT_SAMPLES:
        return tuple(limits)
    return tuple(limits[(2 * index + 1) * count // (2 * LIMIT_SAMPLES)] for index in range(LIMIT_SAMPLES))


def merge(digests: Iterable[Digest]) -> Totals:
    """Sums the digests of disjoint groups."""
    groups = list(digests)
    return Totals(
        gateways=sum(group.gateways for group in groups),
        limit=_lower_median(groups),
        in_flight=sum(group.in_flight for group in groups),
        reserved=sum(group.reserved for group in groups),
        demand=sum(group.demand for group in groups),
        batch_in_flight=sum(group.batch_in_flight for group in groups),
    )


def _lower_median(groups: list[Digest]) -> float:
    """The lower median of the gateways' limits, as far as the quantiles tell; 0 without gateways."""
    weighted = sorted(
        (limit, group.gateways / len(group.limits)) for group in groups for limit in group.limits
    )
    half = sum(weight for _, weight in weighted) / 2
    cumulative = 0.0
    for limit, weight in weighted:
        cumulative += weight
        if cumulative >= half * (1 - 1e-9):
            return limit
    return 0.0


def write_group_digest(
    group: int, incarnation: int, sequence: int, digests: Mapping[int, Digest]
) -> list[bytes]:
    """Encodes the digests of a group in datagrams that its relay sends to the relays of other groups."""
    entries = []
    for number, digest in digests.items():
        unused = (-1.0,) * (LIMIT_SAMPLES - len(digest.limits))
        entries.append(
            GROUP_ENTRY.pack(
                number,
                digest.gateways,
                digest.in_flight,
                digest.reserved,
                digest.demand,
                digest.batch_in_flight,
                *digest.limits,
                *unused,
            )
        )
    return _pack_datagrams(GROUP_MAGIC, group, incarnation, sequence, entries)


def write_fleet_digest(
    group: int, incarnation: int, sequence: int, totals: Mapping[int, Totals]
) -> list[bytes]:
    """Encodes the totals of the fleet in datagrams that a relay sends to the members of its group."""
    entries = [FLEET_ENTRY.pack(number, *service_totals) for number, service_totals in totals.items()]
    return _pack_datagrams(FLEET_MAGIC, group, incarnation, sequence, entries)


def _pack_datagrams(
    magic: bytes, group: int, incarnation: int, sequence: int, entries: list[bytes]
) -> list[bytes]:
    """Packs entries of one size into as few datagrams of at most `MAX_BYTES` as hold them."""
    if not entries:
        return []
    max_entries = (MAX_BYTES - HEAD.size) // len(entries[0])
    chunks = [entries[first : first + max_entries] for first in range(0, len(entries), max_entries)]
    return [HEAD.pack(magic, group, incarnation, sequence, len(chunk)) + b"".join(chunk) for chunk in chunks]


def read_digest(data: bytes) -> DigestMessage | None:
    """Decodes a datagram; None if it is malformed or holds numbers that are not finite."""
    if len(data) < HEAD.size:
        return None
    magic, group, incarnation, sequence, count = HEAD.unpack_from(data)
    entry_format = {GROUP_MAGIC: GROUP_ENTRY, FLEET_MAGIC: FLEET_ENTRY}.get(magic)
    if entry_format is None or len(data) != HEAD.size + count * entry_format.size:
        return None
    digests: dict[int, Digest] = {}
    totals: dict[int, Totals] = {}
    for number, gateways, *values in entry_format.iter_unpack(data[HEAD.size :]):
        if not all(math.isfinite(value) for value in values):
            return None
        if magic == FLEET_MAGIC:
            totals[number] = Totals(gateways, *values)
        else:
            in_flight, reserved, demand, batch_in_flight, *limits = values
            known = tuple(limit for limit in limits if limit >= 0)
            digests[number] = Digest(gateways, known, in_flight, reserved, demand, batch_in_flight)
    return DigestMessage(magic, group, incarnation, sequence, digests, totals)
