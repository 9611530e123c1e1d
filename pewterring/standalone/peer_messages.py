"""Encoding and decoding of the messages that gatekeepers send each other.

Heartbeats, with the use of quotas behind them, and the questions to the keeper of an account: the member of a
customer's set that holds the account's state for all of them. Nothing decides here.
"""

import math
import struct
import zlib
from collections.abc import Iterator, Sequence
from typing import NamedTuple

BEAT_FORM = struct.Struct(">cIIfIff")
NEWS_FORM = struct.Struct(">QHHHhh")
ASK_FORM, GRANT_FORM = struct.Struct(">cHQHHHeeee"), struct.Struct(">cH??ee")
BACK_FORM, HALF_MOST = struct.Struct(">cHQe"), 65504.0  # the largest number of two bytes
# How a message begins: a heartbeat, a question to the keeper of an account, its answer, the end of what it
# granted.
BEAT, ASK, GRANT, BACK = b"B", b"A", b"G", b"R"
MESSAGE_BYTES, NEWS_SCALE = (
    256,
    1000,
)  # demand and spending travel in thousandths of the plan's quota and burst
NEWS_MOST = 32767  # what fits; below nothing is what a true size gave back of a guessed one
NEWS_ROOM = (MESSAGE_BYTES - BEAT_FORM.size) // NEWS_FORM.size  # news that fit behind a heartbeat


def number(plan: str) -> int:
    """The number of a plan on the wire: a hash of its name, as its place in the settings may change."""
    return zlib.crc32(plan.encode()) & 0xFFFF


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


class Ask(NamedTuple):
    """May a request of this customer be sent on? Its plan by number; the token is the asker's own."""

    token: int
    customer: int
    plan: int
    size: int
    first: int
    units: float
    demand: float  # units asked of the asker since its last question
    spent: float  # what of the burst the asker takes for spent
    unasked: float  # what of it the asker has spent without leave since the keeper's last answer


class Grant(NamedTuple):
    """The keeper's answer to an `Ask`."""

    token: int
    granted: bool
    pooled: bool  # its units of the hard ceiling came from the keeper's half
    demand: float  # of the whole set, in parts of quota and burst
    spent: float


class Back(NamedTuple):
    """What the token was granted for is over; it took so many units more than it was granted for."""

    token: int
    customer: int
    extra: float


FORMS: dict[bytes, tuple[struct.Struct, type[Ask] | type[Grant] | type[Back]]] = {
    ASK: (ASK_FORM, Ask),
    GRANT: (GRANT_FORM, Grant),
    BACK: (BACK_FORM, Back),
}
KINDS = {kind: first for first, (_, kind) in FORMS.items()}


def halves(said: tuple[float, ...]) -> tuple[float, ...]:
    """The fields with each float clamped to the range of a half-precision number."""
    return tuple(max(-HALF_MOST, min(HALF_MOST, x)) if isinstance(x, float) else x for x in said)


def write_ask(said: Ask | Grant | Back) -> bytes:
    """Encodes a question to a keeper, its answer, or the end of what it granted."""
    first = KINDS[type(said)]
    return FORMS[first][0].pack(first, *halves(said))


def read_ask(data: bytes) -> Ask | Grant | Back | None:
    """Decodes what `write_ask` encodes; None where the bytes are none of these."""
    form, kind = FORMS.get(data[:1], (None, None))
    if form is None or kind is None or len(data) != form.size:
        return None
    said = kind(*form.unpack(data)[1:])
    if not all(math.isfinite(x) for x in said) or (isinstance(said, Ask) and said.units < 0):
        return None
    return said


def write_beat(beat: Beat) -> bytes:
    """Encodes a heartbeat."""
    return BEAT_FORM.pack(BEAT, *beat)


def read_beat(data: bytes) -> Beat | None:
    """Decodes the heartbeat at the beginning of a message; None where the bytes are no heartbeat."""
    if data[:1] != BEAT or len(data) < BEAT_FORM.size:
        return None
    beat = Beat(*BEAT_FORM.unpack_from(data)[1:])
    return beat if all(math.isfinite(x) and x >= 0 for x in beat) else None


def write_news(news: Sequence[News]) -> bytes:
    """Encodes the use of quotas, to be put behind a heartbeat."""
    scaled = (
        (*n[:4], *(max(-NEWS_MOST, min(NEWS_MOST, round(x * NEWS_SCALE))) for x in n[4:])) for n in news
    )
    return b"".join(NEWS_FORM.pack(*entry) for entry in scaled)


def read_news(data: bytes) -> Iterator[News]:
    """Decodes the news behind a heartbeat; yields none where they are cut."""
    behind = data[BEAT_FORM.size :]
    if len(behind) % NEWS_FORM.size == 0:
        for customer, plan, size, first, demand, spent in NEWS_FORM.iter_unpack(behind):
            yield News(customer, plan, size, first, demand / NEWS_SCALE, spent / NEWS_SCALE)
