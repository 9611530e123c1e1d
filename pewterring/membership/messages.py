"""The bytes of the membership protocol: one probe, answer or request with as many rumours as fit. Nothing
decides.

All numbers are big-endian. A datagram is `M`, a version, its kind, the sender's incarnation and life, a
sequence number, the member that it is about, then rumours of eleven bytes each. docs/membership.md has the
layout.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

HEAD = struct.Struct(">cBBIIIH")
RUMOUR = struct.Struct(">HIIB")
MARK, VERSION = b"M", 1
MOST_BYTES = 256
ROOM = (MOST_BYTES - HEAD.size) // RUMOUR.size  # rumours that fit in one datagram


class Kind(IntEnum):
    PING = 1
    ACK = 2
    ASK = 3  # ping `about` for me
    LEAVE = 4


class State(IntEnum):
    """In the order in which one overrides another of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumour(NamedTuple):
    member: int
    incarnation: int
    life: int  # a random number of each start: it tells a restart, and two under one name
    state: State


class Message(NamedTuple):
    kind: Kind
    incarnation: int
    life: int
    sequence: int
    about: int
    rumours: tuple[Rumour, ...] = ()


def write(message: Message) -> bytes:
    """At most MOST_BYTES; rumours past ROOM are left away."""
    head = HEAD.pack(MARK, VERSION, *message[:5])
    return head + b"".join(RUMOUR.pack(*rumour) for rumour in message.rumours[:ROOM])


def read(data: bytes) -> Message | None:
    """None where the bytes are not such a message, whole: nothing of it is believed then."""
    if not HEAD.size <= len(data) <= MOST_BYTES or (len(data) - HEAD.size) % RUMOUR.size:
        return None
    mark, version, kind, incarnation, life, sequence, about = HEAD.unpack_from(data)
    if mark != MARK or version != VERSION:
        return None
    try:
        rumours = tuple(Rumour(m, n, k, State(s)) for m, n, k, s in RUMOUR.iter_unpack(data[HEAD.size :]))
        return Message(Kind(kind), incarnation, life, sequence, about, rumours)
    except ValueError:
        return None
