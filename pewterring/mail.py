"""The bytes that gatekeepers tell each other: heartbeats and news of quotas. Nothing decides here."""

import math
import struct
from collections.abc import Iterator, Sequence
from typing import NamedTuple

BEAT_FORM = struct.Struct(">cIIfIff")
NEWS_FORM = struct.Struct(">QBHHHH")
BEAT, NEWS = b"B", b"N"  # how a heartbeat begins, and a message of news alone
MAIL_BYTES, NEWS_SCALE = 256, 1000  # demand and spending travel in thousandths of the plan's quota and burst
NEWS_ROOM = (MAIL_BYTES - BEAT_FORM.size) // NEWS_FORM.size  # news that fit behind a heartbeat


class Beat(NamedTuple):
    """One atomic snapshot of a gatekeeper: what it holds and wants."""

    incarnation: int
    sequence: int
    limit: float
    out: int
    share: float
    demand: float


class News(NamedTuple):
    """Use of one customer's quota, in parts of quota and burst; its plan and first by their numbers."""

    customer: int
    plan: int
    size: int
    first: int
    demand: float
    spent: float


def write_beat(beat: Beat) -> bytes:
    return BEAT_FORM.pack(BEAT, *beat)


def read_beat(data: bytes) -> Beat | None:
    """None where the bytes are no heartbeat."""
    if data[:1] != BEAT or len(data) < BEAT_FORM.size:
        return None
    beat = Beat(*BEAT_FORM.unpack_from(data)[1:])
    return beat if all(math.isfinite(x) and x >= 0 for x in beat) else None


def write_news(news: Sequence[News]) -> bytes:
    scaled = ((*n[:4], *(min(65535, round(x * NEWS_SCALE)) for x in n[4:])) for n in news)
    return b"".join(NEWS_FORM.pack(*entry) for entry in scaled)


def read_news(data: bytes) -> Iterator[News]:
    """The news in a message, behind its heartbeat or alone; none where it is cut."""
    start = 1 if data[:1] == NEWS else BEAT_FORM.size
    if len(data) > start and (len(data) - start) % NEWS_FORM.size == 0:
        for customer, plan, size, first, demand, spent in NEWS_FORM.iter_unpack(data[start:]):
            yield News(customer, plan, size, first, demand / NEWS_SCALE, spent / NEWS_SCALE)
