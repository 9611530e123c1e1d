"""The bytes of the membership protocol: one probe, answer or request with as many updates as fit.

All numbers are big-endian. A datagram is `M`, a version, its kind, the sender's incarnation and start id, a
sequence number, the member that it is about, then updates of eleven bytes each. docs/membership.md has the
layout. Nothing is decided here; bytes that are no complete message are no message.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

HEADER = struct.Struct(">cBBIIIH")
UPDATE = struct.Struct(">HIIB")
MAGIC, VERSION = b"M", 1
MAX_DATAGRAM_BYTES = 256  # of the peers' datagrams, so that one always fits into one packet
MAX_UPDATES = (MAX_DATAGRAM_BYTES - HEADER.size) // UPDATE.size  # that fit in one datagram
MAX_NUMBER = 0xFFFFFFFF  # of an incarnation, a start id or a sequence


class Kind(IntEnum):
    """What a message is for."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # ping `about` for me
    LEAVE = 4


class State(IntEnum):
    """What is known of a member, in the order in which one overrides another of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(NamedTuple):
    """What one instance knows of a member, as it is disseminated."""

    member: int
    incarnation: int  # raised by the member itself, to refute what is said of a lower one
    start_id: int  # a random number of each start: it tells a restart, and two under one number
    state: State


class Message(NamedTuple):
    """One datagram. `incarnation` and `start_id` are the sender's."""

    kind: Kind
    incarnation: int
    start_id: int
    sequence: int  # an ack repeats its ping's
    about: int
    updates: tuple[MemberUpdate, ...] = ()


def encode(message: Message) -> bytes:
    """At most `MAX_DATAGRAM_BYTES`; updates past `MAX_UPDATES` are left out."""
    header = HEADER.pack(MAGIC, VERSION, *message[:5])
    return header + b"".join(UPDATE.pack(*update) for update in message.updates[:MAX_UPDATES])


def decode(data: bytes) -> Message | None:
    """None where the bytes are not one complete message: nothing of it is believed then."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES or (len(data) - HEADER.size) % UPDATE.size:
        return None
    magic, version, kind, incarnation, start_id, sequence, about = HEADER.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        return None
    try:
        updates = tuple(
            MemberUpdate(member, raised, started, State(state))
            for member, raised, started, state in UPDATE.iter_unpack(data[HEADER.size :])
        )
        return Message(Kind(kind), incarnation, start_id, sequence, about, updates)
    except ValueError:
        return None
